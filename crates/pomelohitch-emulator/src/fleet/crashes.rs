//! Tasks that crash their endpoints, and the check that the scheduler limits their starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_sched::instances::{Instance, InstanceState};
use pomelohitch_sched::{EndpointId, JobId, Steady, TaskId};

use super::Fleet;

/// Crashes of endpoints running a task after which its further starts are counted.
const UNCOUNTED: u32 = 3;
/// Number of counted starts that violates the invariant.
const TOO_MANY: u32 = 3;

/// Tasks that crash their endpoints, and counts of the crashes.
#[derive(Debug)]
pub struct Crashes {
    /// Tasks that crash each endpoint that starts them.
    pub tasks: BTreeSet<TaskId>,
    /// Time from the start of such a task to the crash.
    pub after: Duration,
    /// Downtime of an instance after a crash.
    pub down: Duration,
    /// Whether endpoints restart immediately under the same id.
    pub keeps_ids: bool,
    /// Number of endpoints that crashed while running each task, whether or not it caused the
    /// crash.
    pub under: BTreeMap<TaskId, u32>,
    /// Endpoints that have crashed and did not come back under their ids.
    pub(super) ended: BTreeSet<EndpointId>,
    /// Counted starts of each task.
    more: BTreeMap<TaskId, u32>,
    due: Vec<(Steady, EndpointId)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Crashes {
            tasks: BTreeSet::new(),
            after: Duration::from_millis(10),
            down: Duration::from_secs(3),
            keeps_ids: false,
            under: BTreeMap::new(),
            ended: BTreeSet::new(),
            more: BTreeMap::new(),
            due: Vec::new(),
        }
    }
}

impl Crashes {
    /// Makes the first task of a job crash its endpoints.
    pub fn by_first_task_of(&mut self, job: JobId) {
        self.tasks.insert(TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        });
    }

    /// Whether any task of the job crashes its endpoints.
    #[must_use]
    pub fn is_by(&self, job: JobId) -> bool {
        self.tasks.iter().any(|task| task.job == job)
    }

    /// Number of crashes of endpoints, summed over the tasks in `tasks` that they ran.
    #[must_use]
    pub fn count(&self) -> u32 {
        let own = self
            .under
            .iter()
            .filter(|(task, _)| self.tasks.contains(task));
        own.map(|(_, count)| count).sum()
    }

    /// Records a start; returns whether it violates the limit.
    fn started(&mut self, task: TaskId, at: &EndpointId, now: Steady) -> bool {
        if !self.tasks.contains(&task) {
            return false;
        }
        self.due.push((now + self.after, at.clone()));
        if self.under.get(&task).is_none_or(|&under| under < UNCOUNTED) {
            return false;
        }
        let more = self.more.entry(task).or_default();
        *more += 1;
        *more == TOO_MANY
    }
}

impl Fleet {
    /// Records a start, and a violation if the task was started too often.
    pub(super) fn note_crashing(&mut self, task: TaskId, at: &EndpointId) {
        if self.crashes.started(task, at, self.now.steady) {
            self.broken.push(format!(
                "{task} starts {TOO_MANY} times more after {UNCOUNTED} crashes"
            ));
        }
    }

    /// Crashes the endpoints that are due, or restarts them under their ids.
    pub(super) fn crash_due(&mut self) {
        let now = self.now.steady;
        let due = self.crashes.due.extract_if(.., |(at, _)| *at <= now);
        for (_, id) in due.collect::<Vec<_>>() {
            if self.crashes.keeps_ids && self.endpoints.contains_key(&id) {
                self.restart(&id);
            } else {
                self.crash_for(&id, self.crashes.down);
            }
        }
    }

    /// Largest number of endpoints that crashed while running any one task of the job.
    #[must_use]
    pub fn crashes_under(&self, job: JobId) -> u32 {
        let own = self
            .crashes
            .under
            .iter()
            .filter(|(task, _)| task.job == job);
        own.map(|(_, &count)| count).max().unwrap_or(0)
    }

    pub(super) fn note_crash(&mut self, id: &str) {
        let endpoint = self.endpoints.get(id);
        for task in endpoint.map(super::Endpoint::running).unwrap_or_default() {
            *self.crashes.under.entry(task).or_default() += 1;
        }
    }

    /// Crashes an endpoint. A new one starts on its instance after `down`.
    pub fn crash_for(&mut self, id: &str, down: Duration) {
        if !self.endpoints.contains_key(id) {
            return;
        }
        let on = |i: &&mut Instance| i.endpoint.as_deref() == Some(id);
        let instance = self.instances.values_mut().find(on);
        let Some(instance) = instance else {
            return;
        };
        instance.endpoint = None;
        instance.state = InstanceState::Down;
        let instance = instance.clone();
        self.note_crash(id);
        let back = (
            self.now.steady + down,
            instance.id.clone(),
            instance.pool.clone(),
        );
        self.returning.push(back);
        self.endpoints.remove(id);
        self.crashes.ended.insert(id.into());
    }
}
