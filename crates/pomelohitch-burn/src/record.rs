//! One minute's counts as a record of the stream.

use pomelohitch_core::id::{Incarnation, MemberId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::Minute;
use crate::counts::Tally;

/// The stream of the platform's log that holds the counts.
pub const BURN_STREAM: &str = "burn";

/// The data of a record does not decode.
#[derive(Debug, Snafu)]
#[snafu(display("could not decode a record of the {BURN_STREAM} stream: {source}"))]
pub struct DecodeError {
    source: serde_json::Error,
}

/// The result of this module.
pub type Result<T, E = DecodeError> = std::result::Result<T, E>;

/// The answers of one entry instance in one minute.
///
/// Each run of an entry instance numbers its records consecutively, so that a missing record is
/// detected and a record that was appended twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry instance.
    pub member: MemberId,
    /// The run of the entry instance.
    pub incarnation: Incarnation,
    /// Sequence number of the record in its run, from 0.
    pub seq: u64,
    /// The minute of the answers.
    pub minute: Minute,
    /// Whether this is the last record of its run, written in a graceful shutdown.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub last: bool,
    /// The counts by service and team; empty if there were no answers.
    pub rows: Vec<Row>,
}

/// The counts of answers of one service to one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// The counts.
    #[serde(flatten)]
    pub tally: Tally,
}

impl Record {
    /// Encodes the record as JSON.
    ///
    /// # Panics
    /// Never: no type of a record has a serialization that can fail.
    #[must_use]
    pub fn encode(&self) -> Box<str> {
        serde_json::to_string(self)
            .expect("records have string keys and no type whose serialization fails")
            .into()
    }

    /// Decodes a record from JSON.
    ///
    /// # Errors
    /// If `data` is not a record in the format of this version.
    pub fn decode(data: &str) -> Result<Record> {
        serde_json::from_str(data).context(DecodeSnafu)
    }
}
