//! Authenticates operators.
//!
//! Operators have keys of their own, of which the settings hold only hashes. Several hashes may be
//! configured, so that a key can be replaced without interruption: restart the entry instances with
//! the old and the new hash, distribute the new key, then restart them with the new hash only.

use pomelohitch_core::key;
use rouille::Request;

use crate::settings::Settings;

/// Whether the request has a valid operator key.
///
/// Compares every hash, each in constant time, so that response times reveal nothing about the
/// hashes.
#[must_use]
pub fn is_known(settings: &Settings, req: &Request) -> bool {
    let presented = req
        .header("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(presented) = presented else {
        return false;
    };
    let hashes = settings.admin_key_hash.iter();
    hashes.fold(false, |known, hash| key::matches(presented, hash) | known)
}
