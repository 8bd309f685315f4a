//! An emulated endpoint that follows the platform's contract for endpoints.
//!
//! Runs end when the lease expires, calls with a lower epoch are refused, completions stay listed
//! until they are acknowledged, and a run that was stopped before it arrived can't start later.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_sched::endpoint::{EndReason, Ended, PollReply, Report, Running};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{Order, Outcome, PollFailure, PollOrder, Refusal};
use pomelohitch_sched::{Resources, Steady, TaskId};

/// Longest lease that an endpoint grants, unless a test sets another.
const USUAL_MAX_LEASE: Duration = Duration::from_secs(6);

/// One endpoint and its faults.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent faults")]
pub struct Endpoint {
    /// The endpoint's entry in the platform's list.
    pub report: Report,
    /// Longest lease that it grants.
    pub max_lease: Duration,
    /// Speed of its clock relative to true time.
    pub clock_rate: f64,
    /// Neither receives nor answers calls.
    pub is_silent: bool,
    /// Executes orders, but their answers are lost.
    pub loses_answers: bool,
    /// Neither receives nor answers polls.
    pub misses_polls: bool,
    /// Every run fails.
    pub fails: bool,
    /// Starts are refused as malformed.
    pub refuses_starts: bool,
    /// Runs make no progress.
    pub is_stalled: bool,
    /// Factor by which runs take longer.
    pub slowness: f64,
    /// Time from a stop order to the end of the run.
    pub stop_grace: Duration,
    /// Time from the acceptance of a start to the first answer that lists its run, and from the end of
    /// a run, which isn't listed as running any more, to the first answer that lists the end.
    pub listing_delay: Duration,
    /// Time from the check of a start until its run is listed and begins. If it isn't zero, starts
    /// aren't answered in time.
    pub start_delay: Duration,
    /// Times of capacity changes, each with the capacity before it.
    pub(super) resized: Vec<(Steady, Resources)>,
    pub(super) clock: Duration,
    pub(super) epoch: u64,
    pub(super) lease: Duration,
    pub(super) runs: BTreeMap<(TaskId, u32), Run>,
    /// Runs whose starts were checked, and when they are listed and begin.
    unlisted: BTreeMap<(TaskId, u32), (Duration, Run)>,
    pub(super) ended: Vec<Ended>,
    /// Ends that aren't listed yet, and when they will be, on the endpoint's clock.
    unlisted_ends: Vec<(Duration, Ended)>,
    next_completion: u64,
    /// Number of the last completion that was listed when the lease expired. By the platform's
    /// contract, acknowledging completions up to this one after the expiry doesn't count.
    last_lapsed: u64,
    /// Highest ended or stopped run number of each task; a start needs a higher one.
    last_ended_runs: BTreeMap<TaskId, u32>,
    /// End reasons of all runs, in order.
    pub(super) history: Vec<EndReason>,
}

/// A run of a task.
#[derive(Debug)]
pub(super) struct Run {
    duration: Duration,
    remaining: Duration,
    pub(super) resources: Resources,
    is_lasting: bool,
    /// When answers begin to list it, on the endpoint's clock.
    listed_from: Duration,
    /// When a stop ends the run, on the endpoint's clock.
    stops_at: Option<Duration>,
}

impl Endpoint {
    /// An idle endpoint without faults.
    pub(super) fn new(report: Report) -> Endpoint {
        Endpoint {
            report,
            max_lease: USUAL_MAX_LEASE,
            clock_rate: 1.0,
            is_silent: false,
            loses_answers: false,
            misses_polls: false,
            fails: false,
            refuses_starts: false,
            is_stalled: false,
            slowness: 1.0,
            stop_grace: Duration::ZERO,
            listing_delay: Duration::ZERO,
            start_delay: Duration::ZERO,
            resized: Vec::new(),
            clock: Duration::from_secs(5),
            epoch: 0,
            lease: Duration::ZERO,
            runs: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            ended: Vec::new(),
            unlisted_ends: Vec::new(),
            next_completion: 1,
            last_lapsed: 0,
            last_ended_runs: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    /// Tasks of the current runs.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        self.runs.keys().map(|(task, _)| *task).collect()
    }

    /// Number of runs that have no stop order.
    #[must_use]
    pub fn runs_without_stop(&self) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.stops_at.is_none()).count()
    }

    /// Number of completions that are not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }

    /// The current runs, and those that begin after their listing delay.
    pub(super) fn accepted_runs(&self) -> impl Iterator<Item = (&(TaskId, u32), &Run)> {
        let unlisted = self.unlisted.iter().map(|(key, (_, run))| (key, run));
        self.runs.iter().chain(unlisted)
    }

    /// Ends all runs without a trace.
    pub(super) fn drop_runs(&mut self) {
        self.runs.clear();
        self.unlisted.clear();
    }

    fn end(&mut self, key: (TaskId, u32), reason: EndReason) {
        self.runs.remove(&key);
        let (task, run) = key;
        let last_run = self.last_ended_runs.entry(task).or_default();
        *last_run = (*last_run).max(run);
        self.history.push(reason);
        let ended = Ended {
            number: self.next_completion,
            task,
            run,
            how: reason,
            checkpoint: Box::default(),
        };
        self.unlisted_ends
            .push((self.clock + self.listing_delay, ended));
        self.list_ends();
        self.next_completion += 1;
    }

    /// Lists the ends that are due to be listed.
    fn list_ends(&mut self) {
        let clock = self.clock;
        let due = self.unlisted_ends.extract_if(.., |(at, _)| *at <= clock);
        self.ended.extend(due.map(|(_, ended)| ended));
    }

    /// Advances the endpoint's clock: the lease may expire, and runs complete.
    pub(super) fn advance(&mut self, time: Duration) {
        self.clock += time.mul_f64(self.clock_rate);
        self.list_ends();
        let clock = self.clock;
        let due = self.unlisted.extract_if(.., |_, (at, _)| *at <= clock);
        self.runs.extend(due.map(|(key, (_, run))| (key, run)));
        if self.clock > self.lease {
            self.last_lapsed = self.next_completion - 1;
            let lapsed: Vec<_> = self.runs.keys().copied().collect();
            for key in lapsed {
                self.end(key, EndReason::Lapsed);
            }
        }
        let stopped = self
            .runs
            .extract_if(.., |_, run| run.stops_at.is_some_and(|at| at <= clock));
        let stopped: Vec<_> = stopped.map(|(key, _)| key).collect();
        for key in stopped {
            self.end(key, EndReason::Stopped);
        }
        let reason = if self.fails {
            EndReason::Failed
        } else {
            EndReason::Done
        };
        let mut finished = Vec::new();
        for (key, run) in &mut self.runs {
            if !self.is_stalled {
                run.remaining = run.remaining.saturating_sub(time.div_f64(self.slowness));
            }
            if run.remaining.is_zero() && (!run.is_lasting || self.fails) {
                finished.push(*key);
            }
        }
        for key in finished {
            self.end(key, reason);
        }
    }

    /// Drops completions up to number `up_to`; returns the tasks that count as done: those that
    /// completed successfully and whose completion was not listed when a lease expired.
    pub(super) fn acknowledge(&mut self, up_to: u64) -> Vec<TaskId> {
        let (acknowledged, listed) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|e| e.number <= up_to);
        self.ended = listed;
        let acknowledged: Vec<Ended> = acknowledged;
        let counts = |e: &Ended| e.how == EndReason::Done && e.number > self.last_lapsed;
        let done = acknowledged.into_iter().filter(counts);
        done.map(|e| e.task).collect()
    }

    /// Executes an order; a run that it starts takes `duration`.
    pub(super) fn execute(&mut self, order: &Order, epoch: u64, duration: Duration) -> Outcome {
        if epoch < self.epoch {
            return Outcome::Refused(Refusal::Fenced);
        }
        self.epoch = epoch;
        match order {
            Order::Start {
                task,
                run,
                spec,
                deadline,
                ..
            } => {
                let step = &spec.steps[usize::from(task.step)];
                self.start((*task, *run), *deadline, step, duration)
            }
            Order::Stop { task, run } => {
                self.stop((*task, *run));
                Outcome::Taken
            }
            Order::Pace { .. } => Outcome::Taken,
        }
    }

    fn start(
        &mut self,
        key: (TaskId, u32),
        deadline: Duration,
        step: &StepSpec,
        duration: Duration,
    ) -> Outcome {
        if self.refuses_starts {
            return Outcome::Refused(Refusal::Malformed);
        }
        if deadline < self.clock {
            return Outcome::Refused(Refusal::Late);
        }
        if self
            .last_ended_runs
            .get(&key.0)
            .is_some_and(|&last_run| last_run >= key.1)
        {
            self.extend_lease(deadline);
            return Outcome::Refused(Refusal::OldRun);
        }
        self.extend_lease(deadline);
        let run = Run {
            duration,
            remaining: duration,
            resources: step.task_resources(),
            is_lasting: step.is_lasting,
            listed_from: self.clock + self.start_delay + self.listing_delay,
            stops_at: None,
        };
        if self.start_delay.is_zero() {
            self.runs.insert(key, run);
        } else {
            let listed_at = self.clock + self.start_delay;
            self.unlisted.insert(key, (listed_at, run));
        }
        Outcome::Taken
    }

    fn stop(&mut self, key: (TaskId, u32)) {
        let last_run = self.last_ended_runs.entry(key.0).or_default();
        *last_run = (*last_run).max(key.1);
        self.unlisted.remove(&key);
        let stops_at = self.clock + self.stop_grace;
        if let Some(running) = self.runs.get_mut(&key) {
            running.stops_at.get_or_insert(stops_at);
            if self.stop_grace.is_zero() {
                self.end(key, EndReason::Stopped);
            }
        }
    }

    /// Extends the lease until `end`, or for as long as the platform allows.
    pub(super) fn extend_lease(&mut self, end: Duration) {
        self.lease = self.lease.max(end.min(self.clock + self.max_lease));
    }

    /// Answers a poll.
    pub(super) fn poll(&mut self, poll: &PollOrder) -> Result<PollReply, PollFailure> {
        if poll.epoch < self.epoch {
            return Err(PollFailure::Fenced);
        }
        self.epoch = poll.epoch;
        self.extend_lease(poll.lease.unwrap_or_default());
        Ok(PollReply {
            born: self.report.born,
            clock: self.clock,
            running: self
                .runs
                .iter()
                .filter(|(_, run)| run.listed_from <= self.clock)
                .map(|(key, run)| running(key, run))
                .collect(),
            ended: self.ended.clone(),
            lease_requested: poll.lease.is_some(),
            ..PollReply::default()
        })
    }
}

fn running(key: &(TaskId, u32), run: &Run) -> Running {
    let duration = run.duration.as_millis().max(1);
    let done = 100 - run.remaining.as_millis() * 100 / duration;
    Running {
        task: key.0,
        number: key.1,
        checkpoint: Box::default(),
        percent: if run.is_lasting {
            100
        } else {
            u32::try_from(done).expect("a percentage fits u32")
        },
        load: 0,
    }
}
