//! Polls of endpoints: when they are sent, and what their answers change.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use super::run_times::PollTimes;
use crate::Steady;
use crate::absence;
use crate::endpoint::{EndReason, Endpoint, PollReply, Running};
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::loss::LossCause;
use crate::order::{Action, PollFailure, PollOrder, Target};
use crate::progress::{Phase, Run, RunView};
use crate::unanswered::Start;

/// Maximum number of ends in one answer, a limit of the platform. An answer that reaches it may
/// omit ends, so runs missing from it can't be taken for lost.
const MAX_LISTED_ENDS: usize = 500;
/// Processing lag of answers up to which polls aren't slowed down.
const NORMAL_LAG: Duration = Duration::from_millis(8);
/// Response time of starts up to which polls aren't slowed down.
const NORMAL_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Polls are delayed by this multiple of the excess lag or response time.
const POLL_DELAY_FACTOR: u32 = 4;
/// Upper limit of this additional delay of polls.
const MAX_POLL_DELAY: Duration = Duration::from_millis(200);
/// How far ahead of an endpoint's clock a leader may estimate it: half of the longest poll.
const MAX_CLOCK_ESTIMATE_ERROR: Duration = Duration::from_millis(800);
/// Decay of the moving average of the processing lag at each answer.
const LAG_DECAY: f64 = 0.98;
/// Upper limit of the retry delay of failed polls, in multiples of `Settings::poll_retry_delay`.
const MAX_RETRY_STEPS: u32 = 5;

impl Cell {
    /// Sends the polls that are due.
    pub(super) fn send_due_polls(&mut self) {
        let now = self.now.steady;
        let is_due = |e: &Endpoint| !e.poll.is_in_flight && e.poll.due <= now;
        let ids: Vec<EndpointId> = self
            .all_endpoints()
            .filter(|(id, e)| is_due(e) && self.needs_poll(id, e))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.poll(&id);
        }
    }

    /// Whether the endpoint has runs, may carry out a start that was given up, or is listed in a
    /// service that isn't a spare pool.
    fn needs_poll(&self, id: &EndpointId, endpoint: &Endpoint) -> bool {
        let Some(report) = &endpoint.report else {
            return false;
        };
        let service = self
            .cfg
            .as_ref()
            .and_then(|c| c.services.get(&report.service));
        let is_used = service.is_some_and(|s| !s.is_spare);
        let may_run = !endpoint.runs.is_empty() || self.unanswered.has(id);
        may_run || (endpoint.is_listed && is_used)
    }

    /// Sends a poll, which also acknowledges ends and, if the last poll succeeded, renews the
    /// lease.
    fn poll(&mut self, id: &EndpointId) {
        let now = self.now.steady;
        let lease_until = self.lease_limit().map(|l| l.min(now + self.settings.lease));
        let Some(target) = self.target(id) else {
            return;
        };
        let wait = self.poll_wait(id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        // A poll of a silent endpoint requests no lease, so that the last one expires and its tasks
        // can be started elsewhere.
        let lease = lease_until
            .filter(|until| endpoint.poll.failures == 0 && *until > now)
            .and_then(|until| endpoint.clock_ahead(now, until.saturating_sub(now)));
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

    /// Minimum time from an answer to the next poll of the same endpoint. It grows while answers
    /// wait to be processed or arrive late, since more polls would add to the wait.
    pub(super) fn poll_interval(&self) -> Duration {
        let excess_response = self
            .start_window
            .delay(self.now.steady)
            .saturating_sub(NORMAL_RESPONSE_TIME);
        let excess = self
            .answer_lag
            .saturating_sub(NORMAL_LAG)
            .max(excess_response)
            * POLL_DELAY_FACTOR;
        self.settings.min_poll_interval + excess.min(MAX_POLL_DELAY)
    }

    /// Whether answers wait to be processed. What can be left out then adds to the wait.
    pub(super) fn is_lagging(&self) -> bool {
        self.answer_lag > NORMAL_LAG
    }

    fn record_lag(&mut self, lag: Duration) {
        self.answer_lag = self.answer_lag.mul_f64(LAG_DECAY) + lag.mul_f64(1.0 - LAG_DECAY);
    }

    /// Time for which the endpoint may hold the next poll. It is zero for the first poll, and while
    /// a lease is unconfirmed, the state of a run is unknown, or the endpoint doesn't answer and may
    /// carry out a start that was given up.
    fn poll_wait(&self, id: &EndpointId) -> Duration {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Duration::ZERO;
        };
        // An incarnation that has rejected a start may have ended.
        let is_in_doubt = endpoint.poll.failures > 0 && self.unanswered.has(id);
        if endpoint.polled_at.is_none() || !endpoint.lease_confirmed || is_in_doubt {
            Duration::ZERO
        } else if let Some(time) = self.time_to_decisive_poll(endpoint) {
            time.min(self.settings.poll_wait_for_ends)
        } else if endpoint
            .runs
            .values()
            .any(|allocation| !allocation.is_lasting)
        {
            self.settings.poll_wait_for_ends
        } else if self.has_latency_target(endpoint) || self.affects_evictions(endpoint) {
            self.settings.poll_wait_for_latency
        } else {
            self.settings.poll_wait
        }
    }

    /// Time until a poll shows whether some run exists whose state is unknown; `None` if there is none.
    fn time_to_decisive_poll(&self, endpoint: &Endpoint) -> Option<Duration> {
        let unsettled = endpoint.runs.keys().filter_map(|&(task, run)| {
            let view = &self.run(task, run)?.view;
            let is_unsettled = matches!(view.phase, Phase::Unanswered | Phase::Recorded)
                || view.missing_since.is_some();
            let is_open = view.phase == Phase::Unanswered && view.stop_acked_at.is_none();
            let from = absence::decisive_from(view, endpoint.known_since).filter(|_| !is_open);
            is_unsettled.then_some(from.unwrap_or_default())
        });
        let earliest = unsettled.min()?;
        Some(earliest.saturating_sub(self.now.steady))
    }

    /// Whether moves of lasting tasks may depend on this endpoint's next answer: a task of a step
    /// is stopped only when enough of the others are working.
    fn affects_evictions(&self, endpoint: &Endpoint) -> bool {
        if endpoint.lasting_runs == 0 {
            return false;
        }
        self.is_evicting
            || endpoint.runs.iter().any(|(&(task, run), allocation)| {
                allocation.is_lasting && self.run(task, run).is_some_and(|r| r.view.percent < 100)
            })
    }

    fn has_latency_target(&self, endpoint: &Endpoint) -> bool {
        let has_latency_target = |task| self.step(task).is_some_and(|s| s.target.is_some());
        endpoint
            .runs
            .keys()
            .any(|&(task, _)| has_latency_target(task))
    }

    /// Handles the result of a poll.
    pub fn polled(&mut self, target: &Target, result: Result<PollReply, PollFailure>) {
        let now = self.now.steady;
        match &result {
            Ok(answer) => self.record_lag(now.saturating_sub(answer.answered_at)),
            Err(failure) => self.is_fenced |= *failure == PollFailure::Fenced,
        }
        let interval = self.poll_interval();
        let is_congested = self.start_window.delay(now) > NORMAL_RESPONSE_TIME;
        let is_undecided = self.unanswered.has(&target.id);
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            return;
        };
        let schedule = &mut endpoint.poll;
        schedule.is_in_flight = false;
        match result {
            Ok(answer) => {
                schedule.failures = 0;
                schedule.due = now + interval;
                self.apply_poll(&target.id, &answer);
            }
            Err(failure) => {
                schedule.failures = (schedule.failures + 1).min(MAX_RETRY_STEPS);
                // The first failure may be a lost packet, so the poll is repeated at once. On a
                // congested link all polls are late, and immediate retries would add to the load. An
                // endpoint that is back may carry out a start before it is told to reject it.
                let backoff = schedule.failures - u32::from(!is_congested);
                let steps = match endpoint.gone_since {
                    Some(_) => 1,
                    None if is_undecided => backoff.min(1),
                    None => backoff,
                };
                schedule.due = now + self.settings.poll_retry_delay * steps;
                if schedule.failures == 1 {
                    warn!(endpoint = %target.id, addr = %target.addr, ?failure, "poll failed");
                }
            }
        }
    }

    /// Applies a poll's answer, unless it comes from a former incarnation of the endpoint.
    fn apply_poll(&mut self, id: &EndpointId, answer: &PollReply) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if answer.born < endpoint.born {
            return;
        }
        if answer.born > endpoint.born {
            self.endpoint_restarted(id, answer.born);
        }
        let requested =
            self.settings.lease + self.settings.confirmation_grace + MAX_CLOCK_ESTIMATE_ERROR;
        let longest_lease = requested.max(self.settings.max_lease);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let clock_at_sending = endpoint.clock_at_least_at(answer.sent_at);
        endpoint.update_clock(answer);
        if endpoint.polled_at.is_none() {
            info!(endpoint = %id, running = answer.running.len(), ended = answer.ended.len(),
                "first poll answered");
            // From this answer on the endpoint refuses former leaders, whose leases may last.
            endpoint.lease_requested(answer.clock + longest_lease);
        }
        let times = PollTimes::new(endpoint, answer);
        endpoint.is_unresponsive = false;
        endpoint.gone_since = None;
        endpoint.polled_at = Some(answer.sent_at);
        endpoint.answered_at = Some(answer.answered_at);
        endpoint.known_since.get_or_insert(answer.answered_at);
        endpoint.lease_confirmed |= answer.lease_requested;
        endpoint.lists_completions = !answer.ended.is_empty();
        self.retract_losses(id);
        self.apply_ends(id, answer, times);
        for running in &answer.running {
            self.apply_running(id, running, answer.answered_at);
        }
        self.resolve_missing(id, answer, clock_at_sending);
        self.reject_unanswered(id);
        self.stop_stalled(id, answer);
        self.pace(id, answer);
    }

    /// Applies the ends in a poll's answer that weren't handled before, in their order.
    fn apply_ends(&mut self, id: &EndpointId, answer: &PollReply, times: PollTimes) {
        let mut ends: Vec<_> = answer.ended.iter().collect();
        ends.sort_by_key(|e| e.number);
        let last_processed = self.endpoints.get(id).map_or(0, |e| e.last_processed);
        for end in ends.iter().filter(|e| e.number > last_processed) {
            if self.run(end.task, end.run).is_some() {
                self.note_run_time(id, end, times);
                self.run_ended(end.task, end.run, end.how, &end.checkpoint, id);
            } else if end.how == EndReason::Done {
                self.given_up_run_done(end.task, end.run, id);
            }
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.last_processed = end.number;
            }
            self.new_ends.insert(id.clone());
        }
        let retry = self.now.steady + self.settings.poll_retry_delay;
        if let Some(last) = ends.last()
            && let Some(endpoint) = self.endpoints.get_mut(id)
        {
            // Until these ends are durably recorded they can't be acknowledged, and the endpoint
            // would answer every poll at once with the same ends.
            if last.number > endpoint.last_durable {
                endpoint.poll.due = retry;
            }
        }
    }

    /// Applies a running run in a poll's answer: its progress and checkpoint, or a stop if it
    /// shouldn't run.
    fn apply_running(&mut self, id: &EndpointId, running: &Running, at: Steady) {
        let (task, number) = (running.task, running.number);
        if self.is_skipped(task.job) {
            // A leader that can read the job's records goes on with it.
            return;
        }
        let is_over = self
            .jobs
            .get(&task.job)
            .is_none_or(|j| j.progress.state.is_final())
            && !self.outlasts_job(task);
        if self.run(task, number).is_none() && !self.readopt_run(id, task, number) {
            self.stop_stray(id, running);
            return;
        }
        let Some(run) = self.run_mut(task, number) else {
            return;
        };
        if !matches!(run.view.phase, Phase::Taken { .. }) {
            run.view.phase = Phase::Taken { at };
        }
        run.view.loss = None;
        run.view.missing_since = None;
        let is_first = run.view.seen_at.is_none();
        let seen_at = *run.view.seen_at.get_or_insert(at);
        if is_first {
            run.view.first_percent = running.percent;
        }
        if is_first || run.view.percent != running.percent {
            run.view.percent = running.percent;
            run.view.progressed_at = at;
        }
        let is_stopping = run.view.is_stopping();
        let is_gang = self.step(task).is_some_and(|s| s.is_gang);
        let mut is_done = false;
        if let Some(t) = self.task_mut(task) {
            is_done = t.is_done && !is_gang;
            // Of two runs, the one that is further on has the better checkpoint.
            let is_ahead = t.runs.iter().all(|r| r.view.percent <= running.percent);
            if !running.checkpoint.is_empty() && is_ahead {
                t.checkpoint = running.checkpoint.clone();
            }
        }
        self.sample_progress(task, number, at);
        self.clear_suspicion(task, at.saturating_sub(seen_at));
        self.settle(task, number, at.saturating_sub(seen_at));
        if is_over {
            self.stop(task, number, "its job has ended");
        } else if is_done {
            self.stop(task, number, "another run of its task is done");
        } else if is_stopping {
            self.stop(task, number, "it still runs after an earlier stop");
        }
    }

    /// Adds a run again that was given up but is still running, if it is the newest of its task and
    /// was not replaced. Returns whether it was added.
    fn readopt_run(&mut self, id: &EndpointId, task: TaskId, number: RunNumber) -> bool {
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
            is_settled: false,
            view: RunView::default(),
        });
        warn!(%task, run = number, endpoint = %id, "run given up earlier is still running");
        self.dirty.insert(task.job);
        self.allocate(task, id, born, number);
        self.index(task.job);
        true
    }

    /// Stops a stray run: one whose start was carried out after it had been given up. It could be a
    /// second run of its task, or use capacity that is counted as free.
    fn stop_stray(&mut self, id: &EndpointId, running: &Running) {
        let (task, run) = (running.task, running.number);
        let born = self.endpoints.get(id).map_or(0, |e| e.born);
        let t = self.jobs.get(&task.job).and_then(|j| j.progress.task(task));
        let other = t.and_then(|t| t.runs.first());
        let stray = (id.clone(), task, run);
        if self.strays.listed(stray, other.is_some(), self.now.steady) {
            warn!(%task, run, endpoint = %id, born, percent = running.percent,
                is_done = t.is_some_and(|t| t.is_done), last_run = t.map(|t| t.last_run),
                other_run = other.map(|r| r.number),
                other_endpoint = other.map(|r| display(&r.endpoint)), "stray run stopped");
        }
        self.send_stop(id, task, run);
    }

    /// Has an endpoint that has restarted, or is listed again, reject the starts that were given up and
    /// may still arrive there.
    pub(super) fn reject_unanswered(&mut self, id: &EndpointId) {
        let born = self.endpoints.get(id).map_or(0, |e| e.born);
        for Start { task, run, .. } in self.unanswered.take_due(id, born, self.now.steady) {
            if self.run(task, run).is_none() {
                let why = "its start was given up";
                info!(%task, run, endpoint = %id, born, why, "stop decided");
                self.send_stop(id, task, run);
            }
        }
    }

    /// Resolves runs that are expected at the endpoint but missing from its answer.
    /// `clock_at_sending` is a lower bound of the endpoint's clock when the poll was sent.
    fn resolve_missing(
        &mut self,
        id: &EndpointId,
        answer: &PollReply,
        clock_at_sending: Option<Duration>,
    ) {
        if answer.ended.len() >= MAX_LISTED_ENDS {
            return;
        }
        let listed: BTreeSet<_> = answer.running.iter().map(|r| (r.task, r.number)).collect();
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let missing: Vec<_> = endpoint
            .runs
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        let known_since = endpoint.known_since;
        for (task, number) in missing {
            let Some(run) = self.run_mut(task, number) else {
                continue;
            };
            if run.view.seen_at.is_some() {
                run.view.missing_since.get_or_insert(answer.answered_at);
            }
            let decisive_from = absence::decisive_from(&run.view, known_since);
            let is_decisive = decisive_from.is_some_and(|from| answer.sent_at > from);
            if is_decisive || absence::is_void(&run.view, clock_at_sending) {
                self.run_absent(task, number, answer.born);
            } else {
                self.reject_start(task, number);
            }
        }
    }

    /// Gives up a run that certainly isn't at its endpoint, whose incarnation is `born`.
    fn run_absent(&mut self, task: TaskId, number: RunNumber, born: u64) {
        let Some(run) = self.run(task, number) else {
            return;
        };
        let (cause, why) = match run.view.phase {
            Phase::Recorded => (
                LossCause::Missing,
                "recorded by a former leader, but not at its endpoint",
            ),
            Phase::Taken { .. } => (LossCause::Missing, "accepted, but not at its endpoint"),
            Phase::Ordered | Phase::Unanswered => {
                (LossCause::NotStarted, "its start was not carried out")
            }
        };
        self.remember_unanswered(task, number, born);
        self.run_missing(task, number, cause, why);
    }

    /// Has an unanswered start rejected. The stop may arrive before or after the start. Lasting tasks
    /// are stopped only where the start doesn't become void: if it was carried out, more tasks of the
    /// step than allowed would be down.
    fn reject_start(&mut self, task: TaskId, number: RunNumber) {
        let Some(run) = self.run(task, number) else {
            return;
        };
        let is_lasting = self.step(task).is_some_and(|s| s.is_lasting);
        let becomes_void = run.view.void_after.is_some();
        if run.view.phase == Phase::Unanswered && !(is_lasting && becomes_void) {
            self.stop(task, number, "its start was not answered");
        }
    }

    /// Makes the next poll of an endpoint due now.
    pub(super) fn poll_soon(&mut self, id: &EndpointId) {
        let now = self.now.steady;
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.poll.expedite(now);
        }
    }
}
