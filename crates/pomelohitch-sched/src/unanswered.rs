//! Starts that were given up without an answer and may still be carried out.
//!
//! An order without an answer may be carried out seconds later. What rules that out, such as the
//! start's deadline, a stop or expired leases, holds for one incarnation of the endpoint: the next one
//! under the same id begins with a clock at zero and knows no stops. The starts are therefore
//! remembered until they can't be carried out any more, and later incarnations are told to reject
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::Steady;
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::order::STOP_RESEND_INTERVAL;

/// An unanswered order isn't carried out later than this after it was sent.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// How long after an unanswered start a lasting task isn't started elsewhere. Callers notice a longer
/// interruption of its service.
const LASTING_HOLD: Duration = Duration::from_secs(5);
/// How long after a change of leader an ordinary task isn't started elsewhere whose start the former
/// leader has recorded. Nearly all of these starts were answered.
const RECORDED_HOLD: Duration = Duration::from_secs(2);

/// How long after a start that may still be carried out its task isn't started elsewhere, while the
/// endpoint is gone or silent: it may be back under its id and carry the start out.
///
/// With `is_recorded` the start is known from a former leader's record only, and may have been
/// answered.
#[must_use]
pub fn hold(is_lasting: bool, is_recorded: bool) -> Duration {
    match (is_lasting, is_recorded) {
        (true, _) => LASTING_HOLD,
        (false, true) => RECORDED_HOLD,
        (false, false) => MAX_ORDER_DELAY,
    }
}

/// A start that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Task of the run.
    pub task: TaskId,
    /// Run number.
    pub run: RunNumber,
    /// When it was sent.
    pub sent_at: Steady,
    /// Incarnation that certainly won't carry it out; 0 if there is none.
    pub rejected_by: u64,
    /// Until then, the task isn't started elsewhere once that incarnation may have ended.
    pub held_until: Steady,
}

/// The starts that were given up, by endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnansweredStarts {
    by_endpoint: BTreeMap<EndpointId, Vec<Remembered>>,
    /// Tasks that aren't started elsewhere now.
    held: BTreeSet<TaskId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Remembered {
    start: Start,
    stop_sent_at: Option<Steady>,
}

impl UnansweredStarts {
    /// Remembers a start that was sent to `endpoint`.
    pub fn add(&mut self, endpoint: EndpointId, start: Start) {
        let starts = self.by_endpoint.entry(endpoint).or_default();
        starts.push(Remembered {
            start,
            stop_sent_at: None,
        });
    }

    /// The starts that the incarnation `born` of `endpoint` has to be told to reject now.
    pub fn take_due(&mut self, endpoint: &EndpointId, born: u64, now: Steady) -> Vec<Start> {
        let starts = self.by_endpoint.get_mut(endpoint).into_iter().flatten();
        let due = starts.filter(|r| {
            let is_recent = |at| now.saturating_sub(at) < STOP_RESEND_INTERVAL;
            r.start.rejected_by != born && !r.stop_sent_at.is_some_and(is_recent)
        });
        let due = due.map(|r| {
            r.stop_sent_at = Some(now);
            r.start
        });
        due.collect()
    }

    /// Handles that the incarnation `born` of `endpoint` has acknowledged a stop.
    pub fn rejected(&mut self, endpoint: &EndpointId, born: u64, task: TaskId, run: RunNumber) {
        let starts = self.by_endpoint.get_mut(endpoint).into_iter().flatten();
        for r in starts.filter(|r| r.start.task == task && r.start.run <= run) {
            r.start.rejected_by = born;
            r.stop_sent_at = None;
        }
    }

    /// Updates which tasks are held: those with a start of which the incarnation that rejected it may
    /// have ended, so that the next one may carry it out. `is_up` tells whether an incarnation of an
    /// endpoint answers. Returns the starts whose tasks weren't held before.
    pub fn update_held(
        &mut self,
        now: Steady,
        is_up: impl Fn(&EndpointId, u64) -> bool,
    ) -> Vec<(EndpointId, Start)> {
        let starts = self.by_endpoint.iter().flat_map(|(id, starts)| {
            let is_held =
                |s: &Start| now <= s.held_until && s.rejected_by != 0 && !is_up(id, s.rejected_by);
            let starts = starts.iter().map(|r| r.start);
            starts.filter(is_held).map(move |s| (id.clone(), s))
        });
        let starts: Vec<_> = starts.collect();
        let held = starts.iter().map(|(_, s)| s.task).collect();
        let before = std::mem::replace(&mut self.held, held);
        let is_new = |(_, s): &(EndpointId, Start)| !before.contains(&s.task);
        starts.into_iter().filter(is_new).collect()
    }

    /// Whether the task isn't started elsewhere now.
    #[must_use]
    pub fn is_held(&self, task: TaskId) -> bool {
        self.held.contains(&task)
    }

    /// Whether `endpoint` may still carry out a start that was given up.
    #[must_use]
    pub fn has(&self, endpoint: &EndpointId) -> bool {
        self.by_endpoint.contains_key(endpoint)
    }

    /// Forgets the starts that can't be carried out any more.
    pub fn prune(&mut self, now: Steady) {
        self.by_endpoint.retain(|_, starts| {
            starts.retain(|r| now.saturating_sub(r.start.sent_at) <= MAX_ORDER_DELAY);
            !starts.is_empty()
        });
    }
}
