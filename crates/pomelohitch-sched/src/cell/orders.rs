//! Results of orders to endpoints.

use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint;
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::loss::LossCause;
use crate::order::{Order, Outcome, Refusal, Target};
use crate::progress::{Backoff, Phase};

/// Time for which an endpoint that reports itself unhealthy gets no new tasks.
const UNHEALTHY_AVOID_TIME: Duration = Duration::from_millis(1500);
/// Time for which an endpoint that had no capacity, or wasn't at its address, gets no new tasks. It
/// is polled again within this time.
const REFUSED_AVOID_TIME: Duration = Duration::from_millis(300);

impl Cell {
    /// Handles the result of an order.
    pub fn ordered(&mut self, target: &Target, order: &Order, outcome: &Outcome) {
        if *outcome == Outcome::Refused(Refusal::Fenced) {
            warn!(endpoint = %target.id, ?order, "order rejected: endpoint knows a newer leader");
            self.is_fenced = true;
        }
        if is_answer(outcome)
            && let Some(endpoint) = self.endpoints.get_mut(&target.id)
        {
            endpoint.is_unresponsive = false;
            endpoint.order_answered_at = Some(self.now.steady);
            endpoint.gone_since = None;
        }
        match order {
            Order::Start { task, run, .. } => self.start_result(target, *task, *run, outcome),
            Order::Stop { task, run } => self.stop_result(target, *task, *run, outcome),
            Order::Pace { .. } => {}
        }
    }

    /// Handles the clock in the answer to an order that was sent at `sent_at`. An answer of a later
    /// incarnation tells of a restart before any poll does. The order was carried out there, and has
    /// granted the longest lease.
    pub fn order_answered(&mut self, target: &Target, clock: Duration, sent_at: Steady) {
        let now = self.now.steady;
        let until = now + endpoint::lease_expiry(self.settings.max_lease);
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            return;
        };
        if endpoint.born != target.born || !endpoint.is_later_clock(clock, sent_at) {
            return;
        }
        if endpoint.later_lease_until.is_none() {
            warn!(endpoint = %target.id, born = endpoint.born, clock_ms = clock.as_millis(),
                known_clock_ms = endpoint.last_clock().map(|c| c.as_millis()),
                "order answered by a later incarnation");
        }
        endpoint.later_lease_until = Some(until);
        endpoint.lease_confirmed = false;
        self.poll_soon(&target.id);
    }

    /// Handles the result of a start.
    fn start_result(&mut self, target: &Target, task: TaskId, run: RunNumber, outcome: &Outcome) {
        let now = self.now.steady;
        let sent_at = self.run(task, run).and_then(|r| r.view.sent_at);
        match sent_at {
            Some(at) => self
                .start_window
                .start_answered(now, now.saturating_sub(at)),
            None => self.start_window.start_dropped(),
        }
        let Some(r) = self.run_mut(task, run) else {
            return;
        };
        match outcome {
            Outcome::Taken => {
                if r.view.phase == Phase::Ordered {
                    r.view.phase = Phase::Taken { at: now };
                }
                if let Some(t) = self.task_mut(task) {
                    t.backoff = Backoff::default();
                }
            }
            Outcome::Unanswered => {
                warn!(%task, run, endpoint = %target.id, "start not answered");
                if r.view.phase == Phase::Ordered {
                    r.view.phase = Phase::Unanswered;
                }
                if let Some(endpoint) = self.endpoints.get_mut(&target.id) {
                    endpoint.is_unresponsive = true;
                }
            }
            Outcome::Refused(refusal) => {
                info!(%task, run, endpoint = %target.id, ?refusal, "start refused");
                let avoid = match refusal {
                    Refusal::Unwell => UNHEALTHY_AVOID_TIME,
                    Refusal::Room | Refusal::Elsewhere => REFUSED_AVOID_TIME,
                    _ => Duration::ZERO,
                };
                self.avoid(&target.id, avoid);
                if *refusal == Refusal::Ticket {
                    self.ticket_rejected(task);
                }
                if is_task_specific(*refusal) {
                    self.back_off(task);
                }
                self.run_missing(task, run, LossCause::NotStarted, "its start was refused");
            }
        }
        self.poll_soon(&target.id);
    }

    /// Delays the next start of a task whose start was refused for a reason specific to the task.
    fn back_off(&mut self, task: TaskId) {
        let now = self.now.steady;
        if let Some(t) = self.task_mut(task) {
            t.backoff.record_refusal(now);
        }
    }

    /// Handles the result of a stop. An acknowledgement counts only if the stop was sent after the
    /// endpoint's present incarnation became known, else the former one may have given it, and no later
    /// one has shown itself since.
    fn stop_result(&mut self, target: &Target, task: TaskId, run: RunNumber, outcome: &Outcome) {
        let now = self.now.steady;
        let endpoint = self.endpoints.get(&target.id);
        let is_current = endpoint.is_some_and(|e| e.born == target.born && e.is_later_lapsed(now));
        if is_current && *outcome == Outcome::Taken {
            self.unanswered.rejected(&target.id, target.born, task, run);
            if let Some(r) = self.run_mut(task, run) {
                r.view.stop_acked_at = Some(now);
            }
        }
        self.poll_soon(&target.id);
    }

    /// Starts no tasks on an endpoint for at least this long from now.
    pub(super) fn avoid(&mut self, id: &EndpointId, time: Duration) {
        let until = self.now.steady + time;
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.avoided_until = endpoint.avoided_until.max(until);
        }
    }
}

/// Whether a start was refused for a lasting reason that is specific to its task. A start that
/// arrived after its deadline isn't: the leader or its link is slow, which delays all tasks.
fn is_task_specific(refusal: Refusal) -> bool {
    matches!(refusal, Refusal::Malformed | Refusal::OldRun)
}

/// Whether the result is an answer of the endpoint itself.
fn is_answer(outcome: &Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Unanswered | Outcome::Refused(Refusal::Unsent | Refusal::Elsewhere)
    )
}
