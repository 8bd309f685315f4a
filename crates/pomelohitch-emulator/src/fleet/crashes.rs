//! Tasks that crash their endpoints, and the check that the scheduler limits their starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_sched::instances::{Instance, InstanceState};
use pomelohitch_sched::{EndpointId, JobId, Steady, TaskId};

use super::Fleet;

/// Once this many endpoints have crashed while running a task, its further starts are counted.
const UNCOUNTED_CRASHES: u32 = 3;
/// A task violates the invariant when it has this many counted starts.
const START_LIMIT: u32 = 3;

/// Tasks that crash their endpoints, and counts of the crashes.
#[derive(Debug)]
pub struct Crashes {
    /// Tasks that crash each endpoint that starts them.
    pub tasks: BTreeSet<TaskId>,
    /// Time from the start of such a task to the crash.
    pub delay: Duration,
    /// Downtime of an instance after a crash.
    pub downtime: Duration,
    /// Whether endpoints restart immediately under the same id.
    pub restarts_in_place: bool,
    /// Number of endpoints that crashed while running each task, whether or not it caused the
    /// crash.
    pub by_task: BTreeMap<TaskId, u32>,
    /// Endpoints that have crashed and did not come back under their ids.
    pub(super) crashed: BTreeSet<EndpointId>,
    /// Counted starts of each task.
    counted_starts: BTreeMap<TaskId, u32>,
    /// Endpoints that are going to crash, with the time.
    due: Vec<(Steady, EndpointId)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Crashes {
            tasks: BTreeSet::new(),
            delay: Duration::from_millis(10),
            downtime: Duration::from_secs(3),
            restarts_in_place: false,
            by_task: BTreeMap::new(),
            crashed: BTreeSet::new(),
            counted_starts: BTreeMap::new(),
            due: Vec::new(),
        }
    }
}

impl Crashes {
    /// Makes the first task of a job crash its endpoints.
    pub fn add_first_task_of(&mut self, job: JobId) {
        self.tasks.insert(TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        });
    }

    /// Whether any task of the job crashes its endpoints.
    #[must_use]
    pub fn has_task_of(&self, job: JobId) -> bool {
        self.tasks.iter().any(|task| task.job == job)
    }

    /// Number of crashes of endpoints, summed over the tasks in `tasks` that they ran.
    #[must_use]
    pub fn count(&self) -> u32 {
        let own = self
            .by_task
            .iter()
            .filter(|(task, _)| self.tasks.contains(task));
        own.map(|(_, count)| count).sum()
    }

    /// Records a start; returns whether it violates the limit.
    fn add_start(&mut self, task: TaskId, at: &EndpointId, now: Steady) -> bool {
        if !self.tasks.contains(&task) {
            return false;
        }
        self.due.push((now + self.delay, at.clone()));
        if self
            .by_task
            .get(&task)
            .is_none_or(|&crashes| crashes < UNCOUNTED_CRASHES)
        {
            return false;
        }
        let starts = self.counted_starts.entry(task).or_default();
        *starts += 1;
        *starts == START_LIMIT
    }
}

impl Fleet {
    /// Records a start, and a violation if the task was started too often.
    pub(super) fn record_start(&mut self, task: TaskId, at: &EndpointId) {
        if self.crashes.add_start(task, at, self.now.steady) {
            self.violations.push(format!(
                "{task} starts another {START_LIMIT} times after {UNCOUNTED_CRASHES} crashes"
            ));
        }
    }

    /// Crashes the endpoints that are due, or restarts them under their ids.
    pub(super) fn apply_due_crashes(&mut self) {
        let now = self.now.steady;
        let due = self.crashes.due.extract_if(.., |(at, _)| *at <= now);
        for (_, id) in due.collect::<Vec<_>>() {
            if self.crashes.restarts_in_place && self.endpoints.contains_key(&id) {
                self.restart(&id);
            } else {
                self.crash_for(&id, self.crashes.downtime);
            }
        }
    }

    /// Largest number of endpoints that crashed while running any one task of the job.
    #[must_use]
    pub fn max_crashes_per_task(&self, job: JobId) -> u32 {
        let own = self
            .crashes
            .by_task
            .iter()
            .filter(|(task, _)| task.job == job);
        own.map(|(_, &count)| count).max().unwrap_or(0)
    }

    /// Counts a crash of the endpoint for each task that runs there.
    pub(super) fn record_crash(&mut self, id: &str) {
        let endpoint = self.endpoints.get(id);
        for task in endpoint.map(super::Endpoint::running).unwrap_or_default() {
            *self.crashes.by_task.entry(task).or_default() += 1;
        }
    }

    /// Crashes an endpoint. A new one starts on its instance after `downtime`.
    pub fn crash_for(&mut self, id: &str, downtime: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let is_host = |i: &&mut Instance| i.endpoint.as_deref() == Some(id);
        let instance = self.instances.values_mut().find(is_host);
        let Some(instance) = instance else {
            return;
        };
        instance.endpoint = None;
        instance.state = InstanceState::Down;
        let instance = instance.clone();
        self.record_crash(id);
        let back = (
            self.now.steady + downtime,
            instance.id.clone(),
            instance.pool.clone(),
        );
        self.returning.push(back);
        self.endpoints.remove(id);
        self.crashes.crashed.insert(id.into());
    }
}
