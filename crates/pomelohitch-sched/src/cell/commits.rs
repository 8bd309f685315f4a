//! What may be carried out once its records are durable.

use super::{Batch, Cell};
use crate::Steady;
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
                endpoint.noted_durably = endpoint.noted_durably.max(noted);
                let heard_at = endpoint.heard_at.unwrap_or_default();
                let due = heard_at + gap;
                endpoint.look.hurry(due.max(self.now.steady));
            }
        }
        let (mut void, mut due) = (Vec::new(), Vec::new());
        for mut action in batch.actions {
            self.decide_again(&mut action);
            if !self.is_void(&action) && self.limit_start(&mut action) {
                self.note_stop(&action);
                due.push(action);
            } else {
                void.push(action);
            }
        }
        for action in void {
            match action {
                Action::Order { target, order, .. } => {
                    self.ordered(&target, &order, &Outcome::Refused(Refusal::Unsent));
                }
                Action::Operate { instance, at, .. } => self.instances.unsent(&instance, at),
                _ => {}
            }
        }
        due
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
        endpoint.lease_asked(until);
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
    /// now, whose run was given up or whose zone is evacuated meanwhile, or an operation on an
    /// instance that may have been given work since.
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
                let is_evacuated = endpoint.is_some_and(|e| self.is_evacuated(e));
                is_old(*at) || is_evacuated || self.run(*task, *run).is_none()
            }
            Action::Operate { at, .. } => is_old(*at),
            _ => false,
        }
    }
}
