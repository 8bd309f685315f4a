//! Runs that stand still.
//!
//! An endpoint may go on answering while the tasks on it make no progress. Its work would be late
//! for as long as that lasts, and being the fullest it would be given more. Its looks show it: the
//! percentage of a run that works changes within some tens of milliseconds.

use std::time::Duration;

use tracing::warn;

use super::Cell;
use crate::endpoint::PollReply;
use crate::id::{EndpointId, RunNumber, TaskId};

/// A run without progress for so long stands still. A resumed one restores its checkpoint first,
/// which takes up to 0.6 s.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// An endpoint with such a run gets no work for so long, and again with each look that shows one.
const STALLED_AVOIDED: Duration = Duration::from_secs(3);
/// A task is taken elsewhere so often; if it stands still there too, the fault is its own.
const MOST_ENDPOINTS: usize = 2;
/// If more than this part of a service's endpoints are avoided, it is not they that are at fault.
const MOST_AVOIDED: f64 = 0.3;

impl Cell {
    /// Stops runs at an endpoint that stand still, so that they start elsewhere.
    pub(super) fn stop_stalled(&mut self, id: &EndpointId, look: &PollReply) {
        let listed = look.running.iter().map(|r| (r.task, r.number));
        let stalled: Vec<_> = listed
            .filter(|&(task, run)| self.is_stalled(task, run, look))
            .collect();
        if stalled.is_empty() || !self.may_avoid(id) {
            return;
        }
        warn!(endpoint = %id, runs = stalled.len(), "runs stand still");
        self.avoid(id, STALLED_AVOIDED);
        for (task, run) in stalled {
            self.leave_endpoint(id, task, run);
        }
    }

    /// Lasting tasks have no progress to show, members of a gang wait for one another, and fillers
    /// are halted by pacing.
    fn is_stalled(&self, task: TaskId, run: RunNumber, look: &PollReply) -> bool {
        let Some(step) = self.step(task) else {
            return false;
        };
        let is_plain = !step.is_lasting && !step.is_gang && !step.is_filler;
        let run = self.run(task, run).filter(|_| is_plain);
        run.is_some_and(|r| {
            let since = r.view.progressed_at.max(r.view.seen_at.unwrap_or_default());
            r.view.seen_at.is_some() && look.answered_at.saturating_sub(since) >= STALLED_AFTER
        })
    }

    fn may_avoid(&self, id: &EndpointId) -> bool {
        let now = self.now.steady;
        let service = |e: &crate::endpoint::Endpoint| e.report.as_ref().map(|r| r.service.clone());
        let own = self.endpoints.get(id).and_then(service);
        let peers = self.endpoints.iter().filter(|(_, e)| service(e) == own);
        let (mut all, mut avoided) = (0_u32, 0_u32);
        for (peer, endpoint) in peers {
            all += 1;
            avoided += u32::from(peer != id && endpoint.avoided_until > now);
        }
        f64::from(avoided) <= f64::from(all) * MOST_AVOIDED
    }

    fn leave_endpoint(&mut self, id: &EndpointId, task: TaskId, run: RunNumber) {
        let job = self.jobs.get_mut(&task.job);
        let Some(t) = job.and_then(|j| j.progress.task_mut(task)) else {
            return;
        };
        if !t.failed_at.contains(id) {
            t.failed_at.push(id.clone());
        }
        if t.failed_at.len() <= MOST_ENDPOINTS {
            self.stop(task, run, "it stands still");
        }
    }
}
