//! Changes by operators: withdrawing keys, maintenance orders and draining this entry instance.

use std::io::Read as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pomelohitch_core::id::{KeyHash, Offset};
use pomelohitch_core::record::{Body, MaintainOrder};
use pomelohitch_core::{Rejection, Verdict};
use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use signal_hook::consts::SIGTERM;
use tracing::{info, warn};

use crate::node::{Node, ProposeError};
use crate::withdraw;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024;
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of a key hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;

#[derive(Deserialize)]
struct Withdraw {
    hash: KeyHash,
}

/// Progress of a withdrawal.
#[derive(Debug, Serialize)]
struct Withdrawn {
    /// Its offset in the log; `None` if it couldn't be appended yet. The append is retried.
    offset: Option<Offset>,
    /// Number of entry instances.
    members: usize,
    /// Number of entry instances that refuse the key now or within a heartbeat.
    reached: usize,
}

/// The outcome of a change.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
enum Outcome {
    /// It was accepted; each entry instance applies it when it reads the record.
    InForce {
        /// Its offset in the log.
        offset: Offset,
    },
    /// The fold rejected it.
    NotInForce {
        /// The rule that it violates.
        rejection: Rejection,
    },
    /// The log refused the append.
    LogRefused {
        /// Advice for the operator.
        fix: &'static str,
    },
    /// It may or may not take effect.
    NotKnown {
        /// Advice for the operator.
        fix: &'static str,
    },
}

/// Withdraws a key at once, here and at the peers that can be reached, even while the log is down.
pub(super) fn withdraw_key(node: &Node, req: &Request) -> Response {
    let Some(Withdraw { hash }) = parse_body(req) else {
        return bad_request("send {\"hash\": HASH}, the key's hash, never the key");
    };
    let is_hash = hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hash {
        return bad_request("the hash isn't 64 hexadecimal digits");
    }
    let key: KeyHash = hash.to_ascii_lowercase().into();
    info!(hash = %key, "an operator withdrew a key");
    let withdrawal = withdraw::withdraw_key(node, &key);
    let status = if withdrawal.offset.is_some() {
        200
    } else {
        503
    };
    let withdrawn = Withdrawn {
        offset: withdrawal.offset,
        members: withdrawal.members,
        reached: withdrawal.reached,
    };
    Response::json(&withdrawn).with_status_code(status)
}

/// Starts, pauses or resumes maintenance.
pub(super) fn maintain(node: &Node, req: &Request) -> Response {
    let Some(order) = parse_body::<MaintainOrder>(req) else {
        return bad_request("send an order as docs/ADMIN.md describes it");
    };
    info!(?order, "an operator ordered maintenance");
    propose(
        node,
        Body::Maintain(order),
        "send it again when the log is back",
    )
}

/// Starts the graceful shutdown of this entry instance, as SIGTERM does. A second signal would
/// abort it, so only the first request raises one.
pub(super) fn drain(drain_requested: &AtomicBool) -> Response {
    if drain_requested.swap(true, Ordering::AcqRel) {
        return Response::text("draining already\n").with_status_code(202);
    }
    info!("an operator drains this entry instance");
    match signal_hook::low_level::raise(SIGTERM) {
        Ok(()) => Response::text("draining\n").with_status_code(202),
        Err(error) => {
            warn!(%error, "could not raise SIGTERM for the drain");
            drain_requested.store(false, Ordering::Release);
            Response::text("send SIGTERM to the process\n").with_status_code(500)
        }
    }
}

fn propose(node: &Node, body: Body, fix: &'static str) -> Response {
    let (status, outcome) = match node.propose(body, PROPOSE_TIMEOUT) {
        Ok(decided) => match decided.verdict {
            Verdict::Rejected(rejection) => (409, Outcome::NotInForce { rejection }),
            Verdict::Accepted | Verdict::Repeat(_) => {
                let offset = decided.offset;
                (200, Outcome::InForce { offset })
            }
        },
        Err(ProposeError::NotAppended { .. }) => (503, Outcome::LogRefused { fix }),
        Err(ProposeError::NoVerdict { .. }) => (504, Outcome::NotKnown { fix }),
    };
    Response::json(&outcome).with_status_code(status)
}

fn parse_body<T: DeserializeOwned>(req: &Request) -> Option<T> {
    let mut buf = Vec::new();
    let body = req.data()?;
    body.take(MAX_BODY_BYTES).read_to_end(&mut buf).ok()?;
    serde_json::from_slice(&buf).ok()
}

fn bad_request(fix: &str) -> Response {
    Response::text(format!("{fix}\n")).with_status_code(400)
}
