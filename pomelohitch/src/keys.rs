//! `pomelohitch keys`: creates and withdraws keys.

use std::sync::Arc;

use pomelohitch_core::id::{KeyHash, Offset};
use pomelohitch_core::record::WithdrawKey;
use pomelohitch_core::{Body, key};
use pomelohitch_platform::Log;
use serde::Serialize;

use crate::entry::AdminClient;
use crate::exit::Exit;
use crate::output::Output;
use crate::propose::{self, explain, propose};

/// Prefix of every key, by which scanners for leaked secrets recognise it.
const PREFIX: &str = "pmh_";

/// A key and its hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NewKey {
    /// The key; it is shown once and not stored.
    pub key: Box<str>,
    /// Hash of the key, for a fleet file or the daemon's settings.
    pub hash: KeyHash,
}

/// Length of a key hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Returns whether `text` has the format of a key hash.
#[must_use]
pub fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Creates a key with 244 random bits (two version 4 UUIDs of 122).
#[must_use]
pub fn new() -> NewKey {
    let (a, b) = (uuid::Uuid::new_v4(), uuid::Uuid::new_v4());
    let key = format!("{PREFIX}{}{}", a.simple(), b.simple());
    let hash = key::hash(&key);
    NewKey {
        key: key.into(),
        hash,
    }
}

/// Renders a new key.
#[must_use]
pub fn show_new(new: &NewKey) -> Output {
    let NewKey { key, hash } = new;
    let text = format!(
        "key   {key}\nhash  {hash}\n\
         Give the key to the team; it isn't stored. Add the hash to `keys` of the team's fleet file \
         and publish.\n"
    );
    Output::new(Exit::Done, text, new)
}

/// The outcome of a withdrawal in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Withdrawn {
    /// The withdrawal is in force: an entry instance refuses the key once it has read this offset.
    InForce {
        /// Offset of the record.
        offset: Offset,
    },
    /// The log can't be reached or refused the append, or the fold rejects the withdrawal.
    NotInForce {
        /// Why, and what to do.
        reason: Box<str>,
    },
    /// The withdrawal may or may not come into force.
    NotKnown {
        /// Why the outcome is unknown.
        reason: Box<str>,
    },
}

/// Withdraws the key with `hash` permanently, even if a fleet file lists it.
#[must_use]
pub fn withdraw(log: &Arc<Log>, hash: KeyHash, options: &propose::Options) -> Withdrawn {
    let mut follower = propose::fleet_follower(log);
    if let Err(error) = propose::catch_up(&mut follower, options) {
        let reason = format!("{error}").into();
        return Withdrawn::NotInForce { reason };
    }
    let body = Body::WithdrawKey(WithdrawKey { key: hash });
    match propose(log, &mut follower, body, options) {
        propose::Outcome::InForce { offset } => Withdrawn::InForce { offset },
        propose::Outcome::Rejected { rejection, .. } => Withdrawn::NotInForce {
            reason: explain(&rejection).into(),
        },
        propose::Outcome::NotAppended { error } => Withdrawn::NotInForce {
            reason: error.to_string().into(),
        },
        propose::Outcome::NotKnown { error, .. } => Withdrawn::NotKnown {
            reason: error.map_or_else(|| "no verdict in time".into(), |e| e.to_string().into()),
        },
    }
}

/// The answer of an entry instance to the request to refuse a key without waiting for the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "at-once", rename_all = "kebab-case")]
pub enum ImmediateRefusal {
    /// The entry instance refuses the key and notifies its peers.
    Refused,
    /// No entry instance is reachable, or it answered with an error.
    Failed {
        /// The error.
        reason: Box<str>,
    },
}

/// Asks an entry instance to refuse the key with `hash` immediately, which works without the log.
#[must_use]
pub fn refuse_immediately(client: &AdminClient, hash: &str) -> ImmediateRefusal {
    let body = serde_json::json!({ "hash": hash }).to_string();
    match client.post("withdraw key", "/v1/admin/keys/withdraw", &body) {
        // The entry instance refuses the key with each of these statuses; 503 and 504 are about
        // the append of the withdrawal to the log.
        Ok((200 | 503 | 504, _)) => ImmediateRefusal::Refused,
        Ok((status, body)) => ImmediateRefusal::Failed {
            reason: format!("status {status}: {body}").into(),
        },
        Err(error) => ImmediateRefusal::Failed {
            reason: error.to_string().into(),
        },
    }
}

#[derive(Serialize)]
struct WithdrawalReport<'a> {
    #[serde(flatten)]
    withdrawn: &'a Withdrawn,
    #[serde(flatten)]
    immediate: Option<&'a ImmediateRefusal>,
}

/// Renders the outcome of a withdrawal, and the answer of an entry instance if one was asked.
#[must_use]
pub fn show_withdrawn(withdrawn: &Withdrawn, immediate: Option<&ImmediateRefusal>) -> Output {
    let mut output = show_log_outcome(withdrawn);
    let immediate_text = match immediate {
        Some(ImmediateRefusal::Refused) => {
            "refused at once by an entry instance, which tells the others\n".to_owned()
        }
        Some(ImmediateRefusal::Failed { reason }) => format!("not refused at once: {reason}\n"),
        None => String::new(),
    };
    output.text.insert_str(0, &immediate_text);
    Output::new(
        output.exit,
        output.text,
        &WithdrawalReport {
            withdrawn,
            immediate,
        },
    )
}

fn show_log_outcome(withdrawn: &Withdrawn) -> Output {
    const FALLBACK_HINT: &str = "With the log down, give --admin-url and the operators' key: an entry \
                           instance then refuses the key at once and tells the others.";
    let (exit, text) = match withdrawn {
        Withdrawn::InForce { offset } => (
            Exit::Done,
            format!("withdrawn since offset {offset}; remove the hash from the fleet file too\n"),
        ),
        Withdrawn::NotInForce { reason } => (
            Exit::Unreachable,
            format!("not withdrawn: {reason}\n{FALLBACK_HINT}\n"),
        ),
        Withdrawn::NotKnown { reason } => (
            Exit::NotKnown,
            format!("not known: {reason}; withdraw it again, which is harmless\n{FALLBACK_HINT}\n"),
        ),
    };
    Output::new(exit, text, withdrawn)
}
