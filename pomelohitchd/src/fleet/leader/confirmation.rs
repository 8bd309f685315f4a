//! When a leadership was last confirmed, shared by the threads of the leader.
//!
//! The store confirms it with each append of its epoch, the members by their acknowledgements of
//! heartbeats; see [`pomelohitch_sched::confirmation`]. Times are those of the requests: a later
//! leader may have taken over before their answers arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::confirmation::Confirmations;
use tracing::{info, warn};

use super::core::millis;
use crate::fleet::wire::Leader;

/// Confirmations of one leadership.
#[derive(Debug)]
pub struct Confirmation {
    /// Milliseconds of the steady clock.
    store_ms: AtomicU64,
    /// Milliseconds of the steady clock; 0 if the members haven't confirmed it.
    members_ms: AtomicU64,
    quorum: AtomicUsize,
}

impl Confirmation {
    /// A leadership that the store has confirmed by a request sent at `at`. `quorum` is the smallest
    /// number of members by which it or an earlier one may be confirmed.
    #[must_use]
    pub fn new(at: Steady, quorum: usize) -> Confirmation {
        Confirmation {
            store_ms: AtomicU64::new(millis(at)),
            members_ms: AtomicU64::new(0),
            quorum: AtomicUsize::new(quorum),
        }
    }

    /// Records that the store has accepted an append that was sent at `sent_at`.
    pub fn confirmed_by_store(&self, sent_at: Steady) {
        self.store_ms.fetch_max(millis(sent_at), Ordering::AcqRel);
    }

    /// Records that a majority of the members has acknowledged heartbeats that were sent at `sent_at`
    /// or later.
    pub fn confirmed_by_members(&self, sent_at: Steady) {
        self.members_ms.fetch_max(millis(sent_at), Ordering::AcqRel);
    }

    /// As of when the store has confirmed the leadership.
    #[must_use]
    pub fn store_at(&self) -> Steady {
        Duration::from_millis(self.store_ms.load(Ordering::Acquire))
    }

    /// As of when a majority of the members has confirmed the leadership; zero if none has.
    #[must_use]
    pub fn members_at(&self) -> Steady {
        Duration::from_millis(self.members_ms.load(Ordering::Acquire))
    }

    /// As of when the leadership was confirmed.
    #[must_use]
    pub fn at(&self) -> Steady {
        self.store_at().max(self.members_at())
    }

    /// Smallest number of members by which this leadership or an earlier one may be confirmed.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.quorum.load(Ordering::Acquire)
    }

    /// Sets [`Confirmation::quorum`].
    pub fn set_quorum(&self, quorum: usize) {
        self.quorum.store(quorum, Ordering::Release);
    }
}

/// Follows the members' answers to the heartbeats of one leader.
#[derive(Debug)]
pub struct ConfirmationWatch {
    confirmation: Arc<Confirmation>,
    /// Smallest number of members by which an earlier leader may still be confirmed; `None` once none
    /// can be.
    former_quorum: Option<usize>,
    /// When a warning is due that earlier leaders may still be confirmed; `None` before the first
    /// update, and zero once it was given.
    warn_at: Option<Steady>,
}

/// Time after which a leader warns that earlier ones may still be confirmed. Members that answer have
/// acknowledged it by then.
const UNBOUNDED_WARNING_AFTER: Duration = Duration::from_secs(10);

impl ConfirmationWatch {
    /// Begins to follow the answers to a new leader.
    #[must_use]
    pub fn new(leader: &Leader, confirmation: &Arc<Confirmation>) -> ConfirmationWatch {
        ConfirmationWatch {
            confirmation: confirmation.clone(),
            former_quorum: Some(leader.quorum),
            warn_at: None,
        }
    }

    /// Updates the confirmation with the answers so far. Returns true when from now on no earlier
    /// leader can be confirmed.
    ///
    /// `now` has to be read before it is checked that this process, which counts as one of the
    /// members, knows no later leader.
    pub fn update(&mut self, answers: &Confirmations<SocketAddr>, now: Steady) -> bool {
        if let Some(at) = answers.confirmed_at(now) {
            self.confirmation.confirmed_by_members(at);
        }
        let unacknowledged = answers.unacknowledged();
        let quorum = self.former_quorum;
        let is_bounded = quorum.is_some_and(|quorum| unacknowledged < quorum);
        if is_bounded {
            info!(unacknowledged, quorum, "no earlier leader can be confirmed");
            self.former_quorum = None;
        }
        self.warn_if_unbounded(unacknowledged, now);
        let quorums = [Some(answers.quorum()), self.former_quorum];
        let smallest = quorums.into_iter().flatten().min();
        self.confirmation.set_quorum(smallest.unwrap_or_default());
        is_bounded
    }

    /// Warns once if earlier leaders may still be confirmed long after the takeover.
    fn warn_if_unbounded(&mut self, unacknowledged: usize, now: Steady) {
        let due = *self.warn_at.get_or_insert(now + UNBOUNDED_WARNING_AFTER);
        if let Some(quorum) = self.former_quorum
            && !due.is_zero()
            && now >= due
        {
            warn!(
                unacknowledged,
                quorum, "earlier leaders may still be confirmed"
            );
            self.warn_at = Some(Steady::ZERO);
        }
    }
}
