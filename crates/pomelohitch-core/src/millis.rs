//! Serialises a [`Duration`] as whole milliseconds; for `#[serde(with = "...")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Writes `duration` in milliseconds, saturating at `u64::MAX`.
///
/// # Errors
/// If the serializer fails.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a duration in milliseconds.
///
/// # Errors
/// If the input isn't an unsigned integer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
