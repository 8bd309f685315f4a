//! Stalled runs.
//!
//! An endpoint may keep answering polls while the tasks on it make no progress. Its tasks would be
//! late, and it would get more of them, since tasks are packed onto the fullest endpoints. Polls
//! show this: the percentage of a working run changes within some tens of milliseconds.

use std::time::Duration;

use tracing::warn;

use super::Cell;
use crate::endpoint::PollReply;
use crate::id::{EndpointId, RunNumber, TaskId};

/// A run without progress for this long counts as stalled. A resumed run restores its checkpoint
/// first, which takes up to 0.6 s.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Time for which an endpoint with a stalled run gets no new tasks, counted from the last poll that
/// showed one.
const STALLED_AVOID_TIME: Duration = Duration::from_secs(3);
/// Maximum number of endpoints that a stalled task leaves. If it stalls on the next one too, the
/// task itself is at fault and isn't moved again.
const MAX_ENDPOINTS_LEFT: usize = 2;

impl Cell {
    /// Stops stalled runs at an endpoint, so that their tasks start on another one.
    pub(super) fn stop_stalled(&mut self, id: &EndpointId, answer: &PollReply) {
        let listed = answer.running.iter().map(|r| (r.task, r.number));
        let stalled: Vec<_> = listed
            .filter(|&(task, run)| self.is_stalled(task, run, answer))
            .collect();
        if stalled.is_empty() || !self.may_avoid(id) {
            return;
        }
        warn!(endpoint = %id, runs = stalled.len(), "runs stalled");
        self.avoid(id, STALLED_AVOID_TIME);
        for (task, run) in stalled {
            self.move_stalled_run(id, task, run);
        }
    }

    /// Whether a run has made no progress for `STALLED_AFTER`. Exempt are lasting tasks, which show
    /// no progress, members of gangs, which wait for one another, and fillers, which pacing may
    /// halt.
    fn is_stalled(&self, task: TaskId, run: RunNumber, answer: &PollReply) -> bool {
        let Some(step) = self.step(task) else {
            return false;
        };
        let is_plain = !step.is_lasting && !step.is_gang && !step.is_filler;
        let run = self.run(task, run).filter(|_| is_plain);
        run.is_some_and(|r| {
            let since = r.view.progressed_at.max(r.view.seen_at.unwrap_or_default());
            r.view.seen_at.is_some() && answer.answered_at.saturating_sub(since) >= STALLED_AFTER
        })
    }

    /// Whether few enough of the service's other endpoints are avoided to avoid this one too.
    fn may_avoid(&mut self, id: &EndpointId) -> bool {
        let now = self.now.steady;
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let is_avoided = endpoint.avoided_until > now;
        let Some(report) = &endpoint.report else {
            return false;
        };
        self.avoidance.update(now, || {
            let listed = self.endpoints.values();
            listed.filter_map(|e| Some((&e.report.as_ref()?.service, e.avoided_until > now)))
        });
        let is_allowed = self.avoidance.allows(&report.service, is_avoided);
        if is_allowed && !is_avoided {
            self.avoidance.add(&report.service);
        }
        is_allowed
    }

    /// Stops a stalled run so that its task starts elsewhere, unless it has stalled on too many
    /// endpoints.
    fn move_stalled_run(&mut self, id: &EndpointId, task: TaskId, run: RunNumber) {
        let job = self.jobs.get_mut(&task.job);
        let Some(t) = job.and_then(|j| j.progress.task_mut(task)) else {
            return;
        };
        if !t.failed_at.contains(id) {
            t.failed_at.push(id.clone());
        }
        if t.failed_at.len() <= MAX_ENDPOINTS_LEFT {
            self.stop(task, run, "it has stalled");
        }
    }
}
