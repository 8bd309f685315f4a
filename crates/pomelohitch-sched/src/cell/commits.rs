//! What may be carried out once its records are durable.

use std::collections::BTreeSet;

use super::{Batch, Cell};
use crate::Steady;
use crate::id::TaskId;
use crate::order::{Action, Order, Outcome, Refusal};

impl Cell {
    /// Takes in that `batch` is durable, and returns what may be carried out now.
    pub fn committed(&mut self, batch: Batch) -> Vec<Action> {
        for (id, state) in batch.shown {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.shown = job.shown.max(state);
            }
        }
        let gap = self.look_gap();
        for (id, born, noted) in batch.noted {
            if let Some(endpoint) = self.endpoints.get_mut(&id)
                && endpoint.born == born
            {
                endpoint.last_durable = endpoint.last_durable.max(noted);
                let heard_at = endpoint.answered_at.unwrap_or_default();
                let due = heard_at + gap;
                endpoint.poll.expedite(due.max(self.now.steady));
            }
        }
        let mut actions = batch.actions;
        for action in &mut actions {
            self.decide_again(action);
        }
        let gangs = self.void_gangs(&actions);
        let mut due = Vec::new();
        for mut action in actions {
            let is_void = is_of(&action, &gangs) || self.is_void(&action);
            if !is_void && self.limit_start(&mut action) {
                self.note_stop(&action);
                due.push(action);
            } else {
                self.drop_action(action);
            }
        }
        due
    }

    /// Gangs of which some start is void, by their first tasks. The other members would wait for it in
    /// vain.
    fn void_gangs(&self, actions: &[Action]) -> BTreeSet<TaskId> {
        let starts = actions.iter().filter_map(|action| {
            let task = started(action)?;
            let is_gang = self.step(task).is_some_and(|s| s.is_gang);
            (is_gang && self.is_void(action)).then_some(TaskId { index: 0, ..task })
        });
        starts.collect()
    }

    /// Gives up what isn't carried out, so that what it took is free again.
    fn drop_action(&mut self, action: Action) {
        match action {
            Action::Order { target, order, .. } => {
                self.ordered(&target, &order, &Outcome::Refused(Refusal::Unsent));
            }
            Action::Operate { instance, at, .. } => self.instances.operation_dropped(&instance, at),
            _ => {}
        }
    }

    fn note_stop(&mut self, action: &Action) {
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

    /// Sets until when a start is valid. Returns whether that can be said: the endpoint may have
    /// restarted since the start was decided.
    fn limit_start(&mut self, action: &mut Action) -> bool {
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
        let (now, valid) = (self.now.steady, self.settings.start_valid);
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

    /// Decides a start anew that waited long for its record, if it still fits: the record stands,
    /// and another one would have to be waited for as well.
    fn decide_again(&self, action: &mut Action) {
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
        let is_old = now.saturating_sub(*at) > self.settings.start_stale;
        let job = self.jobs.get(&task.job);
        let is_wanted = job.is_some_and(|j| !j.progress.state.is_final());
        let endpoint = self.endpoints.get(&target.id);
        let service = self.service_of(spec);
        let fits = endpoint.is_some_and(|e| e.born == target.born && self.is_usable(e, &service));
        if is_old && is_wanted && fits {
            *at = now;
        }
    }

    /// Whether an action waited too long for its record: a start whose task may run elsewhere by
    /// now, whose run was given up, whose zone is evacuated, whose endpoint's room has shrunk or may
    /// have shrunk meanwhile, or an operation on an instance that may have been given work since.
    fn is_void(&self, action: &Action) -> bool {
        let is_old = |at: Steady| self.now.steady.saturating_sub(at) > self.settings.start_stale;
        match action {
            Action::Order {
                target,
                order: Order::Start { task, run, .. },
                at,
                ..
            } => {
                let endpoint = self.endpoints.get(&target.id);
                let is_taken_away =
                    endpoint.is_some_and(|e| self.is_evacuated(e) || e.is_overcommitted());
                is_old(*at)
                    || is_taken_away
                    || !self.knows_written()
                    || self.run(*task, *run).is_none()
            }
            Action::Operate { at, .. } => is_old(*at),
            _ => false,
        }
    }
}

/// The task that an action starts.
fn started(action: &Action) -> Option<TaskId> {
    match action {
        Action::Order {
            order: Order::Start { task, .. },
            ..
        } => Some(*task),
        _ => None,
    }
}

/// Whether an action starts a member of one of `gangs`.
fn is_of(action: &Action, gangs: &BTreeSet<TaskId>) -> bool {
    started(action).is_some_and(|task| gangs.contains(&TaskId { index: 0, ..task }))
}
