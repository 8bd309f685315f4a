//! Idempotency keys. Each key has one home, a member that remembers it for [`WINDOW`].
//!
//! A caller that got no answer sends the same request with the same key again, perhaps to
//! another entry instance. If both ran, the customer would pay twice. So before a request with a
//! key runs, the key's home has to grant it, and it grants each key to one request only.
//!
//! When the set of members changes, keys get new homes that don't know what the old ones granted.
//! Every member that was the key's home within the window is asked. If one of them is gone or
//! doesn't answer, the key can't be checked and the request is refused.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pomelohitch_core::id::MemberId;
use pomelohitch_peer::Call;
use pomelohitch_peer::permits::{Claim, ClaimStep, Verdict};
use pomelohitch_permits::Monotonic;
use pomelohitch_permits::home::Epoch;
use pomelohitch_permits::resource::home_of;
use pomelohitch_route::once::{Answer, Keys, WINDOW};

use crate::freshness;
use crate::node::Node;

/// Timeout for the answers of a key's homes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The keys granted by this process as a home, and the recent sets of members.
#[derive(Debug, Default)]
pub(super) struct KeyHome {
    keys: Keys,
    /// Sets of members, each with the time when it became current; the newest last.
    epochs: VecDeque<(Monotonic, Epoch)>,
    /// Whether `epochs` has all sets since the window began.
    has_all: bool,
    started: Monotonic,
}

/// A key that was granted to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    key: Box<str>,
    request: Box<str>,
    homes: BTreeSet<MemberId>,
}

impl KeyHome {
    pub(super) fn enter(&mut self, epoch: &Epoch, now: Monotonic) {
        if self.epochs.back().is_some_and(|(_, last)| last == epoch) {
            return;
        }
        if self.epochs.is_empty() {
            self.started = now;
            self.has_all = !epoch.has_ended;
            if self.has_all {
                self.add_join_epochs(epoch, now);
            }
        }
        self.epochs.push_back((now, epoch.clone()));
    }

    /// Adds the earlier sets of members. While no member has ever ended, these follow from the
    /// order of the joins.
    fn add_join_epochs(&mut self, epoch: &Epoch, now: Monotonic) {
        let mut joins: Vec<_> = epoch.members.iter().collect();
        joins.sort_by_key(|(_, incarnation)| **incarnation);
        let mut members = BTreeMap::new();
        for (id, incarnation) in joins {
            members.insert(id.clone(), *incarnation);
            let epoch = Epoch {
                offset: *incarnation,
                members: members.clone(),
                has_ended: false,
            };
            self.epochs.push_back((now, epoch));
        }
    }

    /// Drops sets of members that no member can have used within the window.
    fn evict_old_epochs(&mut self, now: Monotonic) {
        let window = WINDOW + freshness::BOUND;
        while let Some((replaced_at, _)) = self.epochs.get(1) {
            if *replaced_at + window > now {
                break;
            }
            self.epochs.pop_front();
        }
        self.has_all |= now >= self.started + window;
    }

    /// All members that were the home of `key` within the window; `None` if one of them is gone.
    fn homes(&mut self, key: &str, now: Monotonic) -> Option<BTreeSet<MemberId>> {
        self.evict_old_epochs(now);
        let (_, current) = self.epochs.back()?;
        let mut homes = BTreeSet::new();
        for (_, epoch) in &self.epochs {
            let home = home_of(&key, epoch.members.keys())?;
            if current.members.get(home) != epoch.members.get(home) {
                return None;
            }
            homes.insert(home.clone());
        }
        Some(homes)
    }

    /// Whether this process was the only home of `key` during the whole window.
    fn knows_all(&mut self, own: &MemberId, key: &str, now: Monotonic) -> bool {
        self.evict_old_epochs(now);
        let is_home =
            |(_, epoch): &(Monotonic, Epoch)| home_of(&key, epoch.members.keys()) == Some(own);
        self.has_all && self.epochs.iter().all(is_home)
    }

    fn on_claim(&mut self, own: &MemberId, claim: &Claim, now: Monotonic) -> Verdict {
        match claim.step {
            ClaimStep::Release => {
                self.keys.release(&claim.key, &claim.request);
                Verdict::Granted
            }
            ClaimStep::Begin if claim.asks_all || self.knows_all(own, &claim.key, now) => {
                match self.keys.grant(&claim.key, &claim.request, now) {
                    Answer::Granted => Verdict::Granted,
                    Answer::Taken => Verdict::Taken,
                    Answer::Full => Verdict::Unknown,
                }
            }
            ClaimStep::Begin => Verdict::Unknown,
        }
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
    if inner.homes.epoch().offset != claim.epoch {
        return Verdict::Unknown;
    }
    inner.keys.on_claim(&node.settings.member, claim, now)
}

/// Asks all members that were the home of `key` within the window whether `request` may run.
///
/// # Errors
/// With `Taken` or `Unknown` if it may not.
pub fn claim(node: &Node, key: &str, request: &str) -> Result<Granted, Verdict> {
    let granted = ask_homes(node, key, request)?;
    match granted {
        (homes, Verdict::Granted) => Ok(Granted {
            key: key.into(),
            request: request.into(),
            homes,
        }),
        (homes, verdict) => {
            let granted = Granted {
                key: key.into(),
                request: request.into(),
                homes,
            };
            release(node, &granted);
            Err(verdict)
        }
    }
}

fn ask_homes(
    node: &Node,
    key: &str,
    request: &str,
) -> Result<(BTreeSet<MemberId>, Verdict), Verdict> {
    let permits = &node.permits;
    let (claim, homes) = {
        let mut inner = permits.lock();
        let now = permits.now();
        inner.refresh(node, now);
        let homes = inner.keys.homes(key, now).ok_or(Verdict::Unknown)?;
        let claim = Claim {
            member: node.settings.member.clone(),
            incarnation: inner.view_inputs.incarnation,
            epoch: inner.homes.epoch().offset,
            key: key.into(),
            request: request.into(),
            step: ClaimStep::Begin,
            asks_all: inner.keys.has_all,
        };
        (claim, homes)
    };
    let verdict = ask_each(node, &claim, &homes);
    Ok((homes, verdict))
}

/// Asks each home and returns the worst verdict.
fn ask_each(node: &Node, claim: &Claim, homes: &BTreeSet<MemberId>) -> Verdict {
    let (tx, rx) = mpsc::channel();
    for home in homes {
        let tx = tx.clone();
        let on_answer = move |verdict: Option<Verdict>| {
            // The receiver is gone if the asking thread timed out.
            let _ = tx.send(verdict.unwrap_or(Verdict::Unknown));
        };
        if *home == node.settings.member {
            on_answer(Some(on_claim(node, claim)));
        } else {
            let call = Call::Claim(claim.clone(), Box::new(on_answer));
            node.permits.call(home.clone(), call);
        }
    }
    drop(tx);
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let verdicts = homes.iter().map(|_| {
        let left = deadline.saturating_duration_since(Instant::now());
        rx.recv_timeout(left).unwrap_or(Verdict::Unknown)
    });
    // Waits for every answer: a home that granted the key has to be notified if the request
    // doesn't run.
    verdicts.fold(Verdict::Granted, worse_verdict)
}

fn worse_verdict(one: Verdict, other: Verdict) -> Verdict {
    match (one, other) {
        (Verdict::Taken, _) | (_, Verdict::Taken) => Verdict::Taken,
        (Verdict::Unknown, _) | (_, Verdict::Unknown) => Verdict::Unknown,
        (Verdict::Granted, Verdict::Granted) => Verdict::Granted,
    }
}

/// Releases a key whose request certainly didn't run, so that another request with it may run.
pub fn release(node: &Node, granted: &Granted) {
    let epoch = node.permits.lock().homes.epoch().offset;
    let claim = Claim {
        member: node.settings.member.clone(),
        incarnation: 0,
        epoch,
        key: granted.key.clone(),
        request: granted.request.clone(),
        step: ClaimStep::Release,
        asks_all: false,
    };
    for home in &granted.homes {
        if *home == node.settings.member {
            let _ = on_claim(node, &claim);
        } else {
            // If the message is lost, the key stays taken for the window: further requests with it
            // are refused, none runs twice.
            let call = Call::Claim(claim.clone(), Box::new(|_| {}));
            node.permits.call(home.clone(), call);
        }
    }
}
