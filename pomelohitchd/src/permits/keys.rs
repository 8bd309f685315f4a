//! Idempotency keys. Each key has one home, a member that remembers it for [`WINDOW`].
//!
//! A caller that got no answer sends the same request with the same key again, perhaps to
//! another entry instance. If both ran, the customer would pay twice. So before a request with a
//! key runs, the key's home has to grant it, and it grants each key to one request only. The member
//! that has the request claims the key once it has a runner and permits, reports the use right before
//! the first byte is sent, or releases the key. Until then, other requests with the key wait: only
//! after the use they are refused as repeats.
//!
//! When the set of members changes, keys get new homes that don't know what the old ones granted.
//! Every member that was the key's home within the window is asked. If one of them is gone or
//! doesn't answer, the key can't be checked and the request is refused.
//!
//! * [`home`]: the keys that this process grants.
//! * [`notices`]: uses and releases, sent until the home acknowledges them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pomelohitch_core::id::MemberId;
use pomelohitch_peer::Call;
use pomelohitch_peer::permits::{Claim, ClaimStep, Verdict};
use pomelohitch_route::once::WINDOW;
use snafu::Snafu;

use crate::node::Node;

pub mod home;
pub mod notices;

pub use home::KeyHome;
use home::{Gone, HomesOfKey};

/// Timeout for the answer of a home. The request's runner and permits are held meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// A granted key isn't used later than this, so that its home still remembers it for some time
/// after the use.
const MAX_GRANT_AGE: Duration = WINDOW.checked_div(2).expect("the divisor isn't 0");

/// Why a key isn't granted to a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Another request with the key was sent within the window.
    #[snafu(display("a request with this idempotency key was sent to the endpoint before"))]
    Taken {
        /// The home that knows of it.
        peer: MemberId,
    },
    /// Another request has the key and isn't sent, or the home has another set of members.
    #[snafu(display("another request with this idempotency key may be sent"))]
    Pending {
        /// The home that answered so.
        peer: MemberId,
    },
    /// A home didn't answer.
    #[snafu(display("no answer from the home of this idempotency key"))]
    Silent {
        /// The home.
        peer: MemberId,
    },
    /// A home has ended, and its records may be lost.
    #[snafu(display("the home of this idempotency key has left"))]
    HomeGone {
        /// The home.
        peer: MemberId,
        /// Whether it may join again soon.
        may_rejoin: bool,
    },
    /// A home doesn't know all requests of the window, or can't remember more keys.
    #[snafu(display("the home of this idempotency key can't rule out a repeat"))]
    Unsure {
        /// The home.
        peer: MemberId,
    },
    /// This entry instance knows no members yet.
    #[snafu(display("no member is known"))]
    NoMembers,
}

/// Result of a claim.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The member at which the claim failed.
    #[must_use]
    pub fn peer(&self) -> Option<&MemberId> {
        match self {
            Error::Taken { peer }
            | Error::Pending { peer }
            | Error::Silent { peer }
            | Error::HomeGone { peer, .. }
            | Error::Unsure { peer } => Some(peer),
            Error::NoMembers => None,
        }
    }

    /// Whether another attempt may succeed within seconds.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Error::Pending { .. } | Error::Silent { .. } => true,
            Error::HomeGone { may_rejoin, .. } => *may_rejoin,
            Error::Taken { .. } | Error::Unsure { .. } | Error::NoMembers => false,
        }
    }

    /// Value of the label `verdict` of the metric `key_claims`.
    fn label(&self) -> &'static str {
        match self {
            Error::Taken { .. } => "taken",
            Error::Pending { .. } => "pending",
            Error::Silent { .. } => "silent",
            Error::HomeGone { .. } => "home-gone",
            Error::Unsure { .. } => "unsure",
            Error::NoMembers => "no-members",
        }
    }
}

/// A key that was granted to an attempt to claim it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    key: Box<str>,
    attempt: Box<str>,
    /// The members that were asked for it; each may have granted it.
    homes: BTreeSet<MemberId>,
    /// Time at which the claim began.
    claimed_at: Instant,
}

impl Granted {
    /// Whether the key may still be used. The homes forget it some time later.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.claimed_at.elapsed() < MAX_GRANT_AGE
    }
}

/// Answers a peer's claim.
#[must_use]
pub fn on_claim(node: &Node, claim: &Claim) -> Verdict {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.refresh(node, now);
    // A member with another set of members may ask the wrong homes.
    let needs_grant = matches!(claim.step, ClaimStep::Begin | ClaimStep::Check);
    if needs_grant && inner.homes.epoch().offset != claim.epoch {
        return Verdict::Pending;
    }
    inner.keys.on_claim(&node.settings.member, claim, now)
}

/// Claims `key` at all members that were its home within the window.
///
/// # Errors
/// If one of them doesn't grant it; those that have, or may have, are told to release it.
pub fn claim(node: &Arc<Node>, key: &str, deadline: Instant) -> Result<Granted> {
    let mut granted = attempt(key);
    let claimed = ask_homes(node, &mut granted, ClaimStep::Begin, deadline);
    let label = claimed.as_ref().err().map_or("granted", Error::label);
    metrics::counter!("key_claims", "verdict" => label).increment(1);
    match claimed {
        Ok(()) => Ok(granted),
        Err(error) => {
            release(node, &granted);
            Err(error)
        }
    }
}

/// Asks the homes of `key` whether it might be granted now, so that a repeat is refused before it
/// waits for a runner.
///
/// # Errors
/// If it wouldn't be granted.
pub fn check(node: &Arc<Node>, key: &str, deadline: Instant) -> Result<()> {
    ask_homes(node, &mut attempt(key), ClaimStep::Check, deadline)
}

fn attempt(key: &str) -> Granted {
    Granted {
        key: key.into(),
        attempt: uuid::Uuid::new_v4().to_string().into(),
        homes: BTreeSet::new(),
        claimed_at: Instant::now(),
    }
}

/// Asks the homes one after the other, in the same order for all requests: two requests that each
/// hold the key at one of two homes would both wait for the other.
fn ask_homes(node: &Node, granted: &mut Granted, step: ClaimStep, deadline: Instant) -> Result<()> {
    let (claim, homes) = address(node, granted, step)?;
    for (home, since) in homes {
        granted.homes.insert(home.clone());
        let claim = Claim {
            since,
            ..claim.clone()
        };
        match ask(node, &home, claim, deadline) {
            Some(Verdict::Granted) => {}
            Some(Verdict::Taken) => return TakenSnafu { peer: home }.fail(),
            Some(Verdict::Unknown) => return UnsureSnafu { peer: home }.fail(),
            Some(Verdict::Pending) => return PendingSnafu { peer: home }.fail(),
            None => return SilentSnafu { peer: home }.fail(),
        }
    }
    Ok(())
}

/// The claim, and the members to send it to.
fn address(node: &Node, granted: &Granted, step: ClaimStep) -> Result<(Claim, HomesOfKey)> {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.refresh(node, now);
    let homes = inner.keys.homes(&granted.key, now).map_err(|gone| {
        gone.map_or(Error::NoMembers, |Gone { home, may_rejoin }| {
            let peer = home;
            Error::HomeGone { peer, may_rejoin }
        })
    })?;
    let claim = Claim {
        incarnation: inner.view_inputs.incarnation,
        epoch: inner.homes.epoch().offset,
        asks_all: inner.keys.has_all,
        ..claim_of(node, granted, step)
    };
    Ok((claim, homes))
}

fn claim_of(node: &Node, granted: &Granted, step: ClaimStep) -> Claim {
    Claim {
        member: node.settings.member.clone(),
        key: granted.key.clone(),
        attempt: granted.attempt.clone(),
        step,
        ..Claim::default()
    }
}

/// A home's verdict; `None` if it doesn't answer in time.
fn ask(node: &Node, home: &MemberId, claim: Claim, deadline: Instant) -> Option<Verdict> {
    if *home == node.settings.member {
        return Some(on_claim(node, &claim));
    }
    let (tx, rx) = mpsc::channel();
    let on_answer = move |verdict: Option<Verdict>| {
        // The receiver is gone if the asking thread timed out.
        let _ = tx.send(verdict);
    };
    let call = Call::Claim(claim, Box::new(on_answer));
    node.permits.call(home.clone(), call);
    let left = deadline.saturating_duration_since(Instant::now());
    rx.recv_timeout(left.min(ANSWER_TIMEOUT)).ok().flatten()
}

/// Releases a key whose request certainly didn't run, so that another request with it may run.
pub fn release(node: &Arc<Node>, granted: &Granted) {
    notify(node, granted, ClaimStep::Release);
}

/// Reports that the key's request is being sent. Called right before its first byte is.
pub fn report_use(node: &Arc<Node>, granted: &Granted) {
    notify(node, granted, ClaimStep::Use);
}

fn notify(node: &Arc<Node>, granted: &Granted, step: ClaimStep) {
    for home in &granted.homes {
        notices::send(node, home.clone(), claim_of(node, granted, step));
    }
}
