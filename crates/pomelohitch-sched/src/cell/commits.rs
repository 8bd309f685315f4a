//! Releases actions once their records are durable.

use std::collections::BTreeSet;

use super::{Batch, Cell};
use crate::Steady;
use crate::id::{RunNumber, TaskId};
use crate::order::{Action, Order, Outcome, Refusal};
use crate::progress::Task;

impl Cell {
    /// Handles that `batch` is durable, and returns those of its actions that are still valid.
    pub fn committed(&mut self, batch: Batch) -> Vec<Action> {
        for (id, state) in batch.job_states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.durable_state = job.durable_state.max(state);
            }
        }
        let interval = self.poll_interval();
        for (id, born, last_end) in batch.last_ends {
            if let Some(endpoint) = self.endpoints.get_mut(&id)
                && endpoint.born == born
            {
                endpoint.last_durable = endpoint.last_durable.max(last_end);
                let answered_at = endpoint.answered_at.unwrap_or_default();
                let due = answered_at + interval;
                endpoint.poll.expedite(due.max(self.now.steady));
            }
        }
        let mut actions = batch.actions;
        for action in &mut actions {
            self.renew_start(action);
        }
        let gangs = self.gangs_with_void_start(&actions);
        let mut due = Vec::new();
        for mut action in actions {
            let is_void = is_member_of(&action, &gangs) || self.is_void(&action);
            if !is_void && self.set_start_deadline(&mut action) {
                self.record_stop_sent(&action);
                due.push(action);
            } else {
                self.revert_action(action);
            }
        }
        due
    }

    /// Gangs of which at least one start is void, by their first tasks. The other members aren't
    /// started either, since they would wait for the missing one until they time out.
    fn gangs_with_void_start(&self, actions: &[Action]) -> BTreeSet<TaskId> {
        let starts = actions.iter().filter_map(|action| {
            let task = started_task(action)?;
            let is_gang = self.step(task).is_some_and(|s| s.is_gang);
            (is_gang && self.is_void(action)).then_some(TaskId { index: 0, ..task })
        });
        starts.collect()
    }

    /// Reverts the effects of an action that isn't carried out, such as the capacity used by a
    /// start.
    fn revert_action(&mut self, action: Action) {
        match action {
            Action::Order { target, order, .. } => {
                self.ordered(&target, &order, &Outcome::Refused(Refusal::Unsent));
            }
            Action::Operate { instance, at, .. } => self.instances.operation_dropped(&instance, at),
            _ => {}
        }
    }

    /// Records the time at which a stop is sent.
    fn record_stop_sent(&mut self, action: &Action) {
        let now = self.now.steady;
        if let Action::Order {
            order: Order::Stop { task, run },
            ..
        } = action
            && let Some(r) = self.run_mut(*task, *run)
        {
            r.view.stop_sent_at = Some(now);
        }
    }

    /// Sets the deadline of a start by the endpoint's clock. Returns false if that clock isn't
    /// known because the endpoint is gone or has restarted since the decision.
    fn set_start_deadline(&mut self, action: &mut Action) -> bool {
        let Action::Order {
            target,
            order:
                Order::Start {
                    task,
                    run,
                    deadline,
                    ..
                },
            ..
        } = action
        else {
            return true;
        };
        let (now, valid) = (self.now.steady, self.settings.start_validity);
        // A start also grants a lease up to its deadline.
        if self.lease_limit().is_none_or(|limit| now + valid > limit) {
            return false;
        }
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            return false;
        };
        let Some(until) = endpoint.clock_ahead(now, valid) else {
            return false;
        };
        endpoint.lease_requested(until);
        *deadline = until;
        if let Some(r) = self.run_mut(*task, *run) {
            r.view.void_after = Some(until);
            r.view.sent_at = Some(now);
        }
        true
    }

    /// Renews the decision time of a start that waited too long for its record, if its endpoint may
    /// still run it. The record is durable now, and a new start would have to wait for another one.
    fn renew_start(&self, action: &mut Action) {
        let now = self.now.steady;
        let Action::Order {
            target,
            order: Order::Start { task, spec, .. },
            at,
            ..
        } = action
        else {
            return;
        };
        let is_old = now.saturating_sub(*at) > self.settings.start_send_timeout;
        let job = self.jobs.get(&task.job);
        let is_wanted = job.is_some_and(|j| !j.progress.state.is_final());
        let endpoint = self.endpoints.get(&target.id);
        let service = self.service_of(spec);
        let fits = endpoint.is_some_and(|e| e.born == target.born && self.is_usable(e, &service));
        if is_old && is_wanted && fits {
            *at = now;
        }
    }

    /// Whether an action is no longer valid. An operation is void if it waited too long for its
    /// record, since work may have started on the instance meanwhile. A start is void if it waited
    /// too long, its run was given up or stopped, another run of its task is done, its zone is
    /// evacuated, or the capacity of its endpoint has shrunk or isn't known to be current.
    fn is_void(&self, action: &Action) -> bool {
        let is_old =
            |at: Steady| self.now.steady.saturating_sub(at) > self.settings.start_send_timeout;
        match action {
            Action::Order {
                target,
                order: Order::Start { task, run, .. },
                at,
                ..
            } => {
                let endpoint = self.endpoints.get(&target.id);
                let is_unavailable =
                    endpoint.is_some_and(|e| self.is_evacuated(e) || e.is_overcommitted());
                is_old(*at)
                    || is_unavailable
                    || !self.has_current_entries()
                    || self.is_superfluous(*task, *run)
            }
            Action::Operate { at, .. } => is_old(*at),
            _ => false,
        }
    }

    /// Whether a run whose start isn't sent yet is no longer wanted.
    fn is_superfluous(&self, task: TaskId, run: RunNumber) -> bool {
        let is_done = |t: &Task| t.is_done;
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.progress.task(task)).is_none_or(is_done)
            || self.run(task, run).is_none_or(|r| r.view.is_stopping())
    }
}

/// The task that an action starts, if it is a start.
fn started_task(action: &Action) -> Option<TaskId> {
    match action {
        Action::Order {
            order: Order::Start { task, .. },
            ..
        } => Some(*task),
        _ => None,
    }
}

/// Whether an action starts a member of one of `gangs`.
fn is_member_of(action: &Action, gangs: &BTreeSet<TaskId>) -> bool {
    started_task(action).is_some_and(|task| gangs.contains(&TaskId { index: 0, ..task }))
}
