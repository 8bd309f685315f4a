//! Runs that are gone without an end of their own, most of them with their endpoints.

use std::time::Duration;

use tracing::warn;

use super::Cell;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::loss::{Loss, LossCause, LossCounts};
use crate::progress::{Phase, Run};

impl Cell {
    /// A run is surely gone.
    pub(super) fn run_lost(&mut self, task: TaskId, run: RunNumber, loss: Loss) {
        let Some(endpoint) = self.run(task, run).map(|r| r.endpoint.clone()) else {
            return;
        };
        if !self.forget_run(task, run) {
            return;
        }
        let Loss {
            cause, why, born, ..
        } = loss;
        warn!(%task, run, endpoint = %endpoint, born, ?cause, why, beside = loss.beside,
            worked_ms = loss.worked.as_millis(), "run lost");
        *self.lost.entry(cause).or_default() += 1;
        self.close_done(task.job);
        self.index(task.job);
    }

    /// A run that was started, or may have been, isn't at its endpoint any more.
    pub(super) fn run_missing(&mut self, task: TaskId, run: RunNumber, why: &'static str) {
        let Some(r) = self.run(task, run) else {
            return;
        };
        let missing = Loss::of_run(LossCause::Missing, why, r.born);
        let loss = r.view.loss.unwrap_or(missing);
        self.run_lost(task, run, loss);
    }

    /// A run's start was surely not carried out.
    pub(super) fn run_not_started(&mut self, task: TaskId, run: RunNumber, why: &'static str) {
        let born = self.run(task, run).map_or(0, |r| r.born);
        self.run_lost(task, run, Loss::of_run(LossCause::NotStarted, why, born));
    }

    /// What the end of an endpoint's incarnation is put down to.
    pub(super) fn cause_of_end(&self, id: &EndpointId) -> LossCause {
        let report = self.endpoints.get(id).and_then(|e| e.report.as_ref());
        let is_draining = report.is_some_and(|r| r.is_draining);
        if is_draining || self.instances.endpoints_under_way().contains(id) {
            LossCause::Planned
        } else {
            LossCause::Crash
        }
    }

    /// The runs that an endpoint takes with it.
    pub(super) fn losses_at(
        &self,
        id: &EndpointId,
        cause: LossCause,
        why: &'static str,
    ) -> Vec<(TaskId, RunNumber, Loss)> {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Vec::new();
        };
        let beside = endpoint.runs.len().saturating_sub(1);
        let lost = endpoint.runs.keys().filter_map(|&(task, number)| {
            let run = self.run(task, number)?;
            let cause = if is_unsent(run) {
                LossCause::NotStarted
            } else {
                cause
            };
            let loss = Loss {
                cause,
                why,
                born: endpoint.born,
                worked: worked(run, endpoint),
                beside,
            };
            Some((task, number, run.view.loss.unwrap_or(loss)))
        });
        lost.collect()
    }

    /// How many runs were lost since this was last asked, by cause.
    pub fn take_losses(&mut self) -> LossCounts {
        std::mem::take(&mut self.lost)
    }
}

/// Whether a run's start is decided but wasn't sent yet.
fn is_unsent(run: &Run) -> bool {
    run.view.phase == Phase::Ordered && run.view.sent_at.is_none()
}

/// For how long a run had been seen at work when its endpoint was last heard.
fn worked(run: &Run, endpoint: &Endpoint) -> Duration {
    let (seen, heard) = (run.view.seen_at, endpoint.heard_at);
    let worked = seen
        .zip(heard)
        .map(|(seen, heard)| heard.saturating_sub(seen));
    worked.unwrap_or_default()
}
