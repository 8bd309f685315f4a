//! Hashing and comparison of team API keys.
//!
//! Only hashes of keys are published, stored and compared. Keys are long and random, so a fast
//! unsalted hash is enough to protect them.

use subtle::ConstantTimeEq;

use crate::id::KeyHash;

/// Returns the hash of `key`, in lower-case hexadecimal, as fleet files list it.
#[must_use]
pub fn hash(key: &str) -> KeyHash {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

/// Whether the hash of `key` is `expected`. The comparison runs in constant time.
#[must_use]
pub fn matches(key: &str, expected: &str) -> bool {
    hash(key).as_bytes().ct_eq(expected.as_bytes()).into()
}
