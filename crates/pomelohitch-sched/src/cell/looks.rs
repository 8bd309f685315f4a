//! Looks at endpoints, and what they show.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint::{EndReason, Endpoint, PollReply, Running};
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::loss::LossCause;
use crate::order::{Action, Order, PollFailure, PollOrder, Target};
use crate::progress::{Phase, Run, RunView};

/// The most ends that an endpoint lists at once; the platform's own limit. A longer list may
/// leave out the end of a run that is missing from it.
const ENDS_LISTED: usize = 500;
/// Answers that are taken in within this time don't wait.
const USUAL_LAG: Duration = Duration::from_millis(8);
/// Starts that are answered within this time don't hold looks back.
const USUAL_DELAY: Duration = Duration::from_millis(50);
/// Looks are held back for this many times the delay of answers.
const LOOKS_HELD_BACK: u32 = 4;
/// But for no longer than this.
const MOST_HELD_BACK: Duration = Duration::from_millis(200);
/// How much of the time that answers waited stays at each new one.
const LAG_FADE: f64 = 0.98;
/// Failed looks are tried again after at most this many times the usual pause.
const MAX_RETRY_STEPS: u32 = 5;

impl Cell {
    /// Orders the looks that are due.
    pub(super) fn plan_looks(&mut self) {
        let now = self.now.steady;
        let is_due = |e: &Endpoint| !e.poll.is_in_flight && e.poll.due <= now;
        let ids: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, e)| is_due(e) && self.is_look_wanted(e))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.look(&id);
        }
    }

    fn is_look_wanted(&self, endpoint: &Endpoint) -> bool {
        let Some(report) = &endpoint.report else {
            return false;
        };
        let service = self
            .cfg
            .as_ref()
            .and_then(|c| c.services.get(&report.service));
        let is_used = service.is_some_and(|s| !s.is_spare);
        !endpoint.runs.is_empty() || (endpoint.is_listed && is_used)
    }

    fn look(&mut self, id: &EndpointId) {
        let now = self.now.steady;
        let lease_for = self.settings.lease;
        let Some(target) = self.target(id) else {
            return;
        };
        let wait = self.look_wait(id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        // A poll of an endpoint that fell silent asks for no lease, so that the last one is known to
        // run out and what ran there can be started elsewhere.
        let lease = if endpoint.poll.failures == 0 {
            endpoint.clock_ahead(now, lease_for)
        } else {
            None
        };
        if let Some(end) = lease {
            endpoint.lease_requested(end);
        }
        let noted = endpoint.acknowledgeable(now);
        endpoint.poll.is_in_flight = true;
        self.outbox.push(Action::Poll(PollOrder {
            target,
            epoch: self.epoch,
            noted,
            lease,
            wait,
        }));
    }

    /// Least time from an answer to the next look at the same endpoint. Where answers wait to be
    /// taken in, more looks would only make them wait longer.
    pub(super) fn look_gap(&self) -> Duration {
        let late = self.flow.delay(self.now.steady).saturating_sub(USUAL_DELAY);
        let behind = self.lag.saturating_sub(USUAL_LAG).max(late) * LOOKS_HELD_BACK;
        self.settings.look_gap + behind.min(MOST_HELD_BACK)
    }

    fn note_lag(&mut self, lag: Duration) {
        self.lag = self.lag.mul_f64(LAG_FADE) + lag.mul_f64(1.0 - LAG_FADE);
    }

    /// The first look, and looks that are to settle something, don't wait.
    fn look_wait(&self, id: &EndpointId) -> Duration {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Duration::ZERO;
        };
        let is_unsettled = endpoint.runs.keys().any(|&(task, run)| {
            self.run(task, run)
                .is_some_and(|r| matches!(r.view.phase, Phase::Unanswered | Phase::Recorded))
        });
        if endpoint.polled_at.is_none() || !endpoint.lease_confirmed || is_unsettled {
            Duration::ZERO
        } else if endpoint.runs.values().any(|booked| !booked.is_lasting) {
            self.settings.look_wait_ends
        } else if self.has_target(endpoint) || self.has_news_to_come(endpoint) {
            self.settings.look_wait_target
        } else {
            self.settings.look_wait
        }
    }

    /// Whether lasting tasks there decide if others of their steps may be stopped.
    fn has_news_to_come(&self, endpoint: &Endpoint) -> bool {
        if endpoint.lasting_runs == 0 {
            return false;
        }
        self.is_evicting
            || endpoint.runs.iter().any(|(&(task, run), booked)| {
                booked.is_lasting && self.run(task, run).is_some_and(|r| r.view.percent < 100)
            })
    }

    fn has_target(&self, endpoint: &Endpoint) -> bool {
        let has_target = |task| self.step(task).is_some_and(|s| s.target.is_some());
        endpoint.runs.keys().any(|&(task, _)| has_target(task))
    }

    /// Takes in how a look went.
    pub fn looked(&mut self, target: &Target, result: Result<PollReply, PollFailure>) {
        let now = self.now.steady;
        match &result {
            Ok(look) => self.note_lag(now.saturating_sub(look.answered_at)),
            Err(failure) => self.is_fenced |= *failure == PollFailure::Fenced,
        }
        let gap = self.look_gap();
        let is_congested = self.flow.delay(now) > USUAL_DELAY;
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            return;
        };
        let plan = &mut endpoint.poll;
        plan.is_in_flight = false;
        match result {
            Ok(look) => {
                plan.failures = 0;
                plan.due = now + gap;
                self.take_look(&target.id, &look);
            }
            Err(failure) => {
                plan.failures = (plan.failures + 1).min(MAX_RETRY_STEPS);
                // The first one may only have been lost, and is repeated at once. On a full link all
                // are late, and repeating them fills it further.
                let steps = plan.failures - u32::from(!is_congested);
                plan.due = now + self.settings.look_retry * steps;
                if plan.failures == 1 {
                    warn!(endpoint = %target.id, addr = %target.addr, ?failure, "look failed");
                }
            }
        }
    }

    fn take_look(&mut self, id: &EndpointId, look: &PollReply) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if look.born < endpoint.born {
            return;
        }
        if look.born > endpoint.born {
            self.reborn(id, look.born);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.update_clock(look);
        if endpoint.polled_at.is_none() {
            info!(endpoint = %id, running = look.running.len(), ended = look.ended.len(), "first look");
        }
        endpoint.is_unresponsive = false;
        endpoint.polled_at = Some(look.sent_at);
        endpoint.answered_at = Some(look.answered_at);
        endpoint.lease_confirmed |= look.lease_requested;
        endpoint.lists_completions = !look.ended.is_empty();
        self.retract_losses(id);
        self.take_ends(id, look);
        for running in &look.running {
            self.take_running(id, running, look.answered_at);
        }
        self.settle_missing(id, look);
        self.stop_stalled(id, look);
        self.pace(id, look);
    }

    fn take_ends(&mut self, id: &EndpointId, look: &PollReply) {
        let mut ends: Vec<_> = look.ended.iter().collect();
        ends.sort_by_key(|e| e.number);
        let noted = self.endpoints.get(id).map_or(0, |e| e.last_processed);
        for end in ends.iter().filter(|e| e.number > noted) {
            if self.run(end.task, end.run).is_some() {
                self.run_ended(end.task, end.run, end.how, &end.checkpoint, id);
            } else if end.how == EndReason::Done {
                self.done_after_all(end.task, end.run, id);
            }
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.last_processed = end.number;
            }
            self.noted.insert(id.clone());
        }
        let retry = self.now.steady + self.settings.look_retry;
        if let Some(last) = ends.last()
            && let Some(endpoint) = self.endpoints.get_mut(id)
        {
            // What is listed again hasn't been acknowledged yet: the next look would be answered
            // at once, again and again, until the ends are durably noted.
            if last.number > endpoint.last_durable {
                endpoint.poll.due = retry;
            }
        }
    }

    fn take_running(&mut self, id: &EndpointId, running: &Running, at: Steady) {
        let (task, number) = (running.task, running.number);
        let is_over = self
            .jobs
            .get(&task.job)
            .is_none_or(|j| j.progress.state.is_final());
        if self.run(task, number).is_none() && !self.adopt_run(id, task, number) {
            self.stop_stray(id, task, number);
            return;
        }
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        if !matches!(run.view.phase, Phase::Taken { .. }) {
            run.view.phase = Phase::Taken { at };
        }
        run.view.loss = None;
        let is_first = run.view.seen_at.is_none();
        let seen_at = *run.view.seen_at.get_or_insert(at);
        if is_first || run.view.percent != running.percent {
            run.view.percent = running.percent;
            run.view.progressed_at = at;
        }
        let is_stopping = run.view.is_stopping();
        let job = self.jobs.get_mut(&task.job);
        if let Some(t) = job.and_then(|j| j.progress.task_mut(task))
            && !running.checkpoint.is_empty()
        {
            t.checkpoint = running.checkpoint.clone();
        }
        self.clear_suspicion(task, at.saturating_sub(seen_at));
        if is_over {
            self.stop(task, number, "its job has ended");
        } else if is_stopping {
            self.stop(task, number, "an earlier stop has not ended it");
        }
    }

    /// Takes a run back into the books that was given up and runs after all, if it is its task's
    /// newest and no other took its place.
    fn adopt_run(&mut self, id: &EndpointId, task: TaskId, number: RunNumber) -> bool {
        let born = self.endpoints.get(id).map_or(0, |e| e.born);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let is_over = job.progress.state.is_final();
        let Some(t) = job.progress.task_mut(task) else {
            return false;
        };
        if is_over || t.is_done || !t.runs.is_empty() || t.last_run != number {
            return false;
        }
        t.runs.push(Run {
            number,
            endpoint: id.clone(),
            born,
            is_leaving: false,
            view: RunView::default(),
        });
        warn!(%task, run = number, endpoint = %id, "given up run is there after all");
        self.dirty.insert(task.job);
        self.occupy(task, id, born, number);
        self.index(task.job);
        true
    }

    /// A run that isn't in the books: a start that was carried out after it had been given up.
    /// Left alone it would be a second run of its task, or take room that is given out again.
    fn stop_stray(&mut self, id: &EndpointId, task: TaskId, run: RunNumber) {
        warn!(%task, run, endpoint = %id, "stray run stopped");
        if let Some(target) = self.target(id) {
            self.outbox.push(Action::Order {
                target,
                order: Order::Stop { task, run },
                epoch: self.epoch,
                at: self.now.steady,
            });
        }
    }

    /// Settles runs that a look doesn't list.
    fn settle_missing(&mut self, id: &EndpointId, look: &PollReply) {
        if look.ended.len() >= ENDS_LISTED {
            return;
        }
        let listed: BTreeSet<_> = look.running.iter().map(|r| (r.task, r.number)).collect();
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let missing: Vec<_> = endpoint
            .runs
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        for (task, number) in missing {
            self.settle(task, number, look);
        }
    }

    fn settle(&mut self, task: TaskId, number: RunNumber, look: &PollReply) {
        let Some(run) = self.run(task, number) else {
            return;
        };
        let view = run.view;
        match view.phase {
            Phase::Recorded => {
                self.run_gone(
                    task,
                    number,
                    LossCause::Missing,
                    "a former leader's, not there",
                );
            }
            Phase::Taken { at } if look.sent_at > at => {
                self.run_gone(task, number, LossCause::Missing, "taken, but not there");
            }
            Phase::Ordered | Phase::Taken { .. } => {}
            Phase::Unanswered => {
                let is_void = view.void_after.is_some_and(|until| look.clock > until);
                let is_rejected = view.stop_acked_at.is_some_and(|at| look.sent_at > at);
                if is_void || is_rejected {
                    self.run_gone(
                        task,
                        number,
                        LossCause::NotStarted,
                        "its start was not carried out",
                    );
                } else if !self.step(task).is_some_and(|s| s.is_lasting) {
                    // A stop may overtake the start, or follow it. One that ends a lasting task that
                    // has begun takes away more of its step than the step may miss.
                    self.stop(task, number, "its start was not answered");
                }
            }
        }
    }

    /// Looks at an endpoint as soon as may be.
    pub(super) fn hurry_look(&mut self, id: &EndpointId) {
        let now = self.now.steady;
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.poll.expedite(now);
        }
    }
}
