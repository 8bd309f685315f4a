//! Which runs get a copy on another endpoint.
//!
//! Answers the load of a step whose last task ends long after its siblings, because its endpoint is
//! slow, silent or otherwise at fault: the next step waits for it, and the job is late. A second
//! run elsewhere may end first. Copies cost capacity, so they start only where the job's objective
//! is in reach by them and only so, and only on a share of what is free.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::TaskId;

/// Largest share of the free processors of a service, with those of its copies, that copies use.
const MAX_SHARE: f64 = 0.2;
/// A run is copied only if it has left at least this multiple of the time that a copy takes.
const MIN_GAIN: f64 = 1.5;
/// Time from the decision to copy a run to the start of the copy.
const START_TIME: Duration = Duration::from_millis(80);

/// A running task that may be copied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Running {
    /// Task id.
    pub task: TaskId,
    /// Thousandths of a core that a copy takes.
    pub cpu: u64,
    /// Time until its run ends at the observed pace; `None` if no end is in sight.
    pub time_left: Option<Duration>,
    /// Time that a copy takes, with its deviation.
    pub copy_time: Duration,
    /// Time until its step has to end for the job to meet its objective.
    pub due_in: Duration,
    /// The same for a job that doesn't count as late yet, which is more where estimates are rough.
    pub late_in: Duration,
    /// Whether the task has a copy already.
    pub has_copy: bool,
    /// Whether another run of the task may start.
    pub may_start: bool,
}

impl Running {
    fn ends_within(&self, time: Duration) -> bool {
        self.time_left.is_some_and(|left| left <= time)
    }

    /// Whether the job would miss its objective, and a copy that starts now ends in time and well
    /// before the run.
    fn is_worth_a_copy(&self) -> bool {
        let copy_ends = START_TIME + self.copy_time;
        !self.has_copy
            && self.may_start
            && !self.ends_within(self.due_in)
            && !self.ends_within(copy_ends.mul_f64(MIN_GAIN))
            && copy_ends <= self.late_in
    }

    /// Whether the job will be late because of this task, whatever is done for others.
    fn is_lost(&self) -> bool {
        !self.has_copy && !self.ends_within(self.late_in) && !self.is_worth_a_copy()
    }
}

/// Processors of a service, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Free on endpoints that may get work.
    pub free: u64,
    /// Used by copies.
    pub copies: u64,
}

impl Room {
    /// What further copies may take.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of an amount far below 2^52"
    )]
    fn left(&self) -> u64 {
        let share = (self.free + self.copies) as f64 * MAX_SHARE;
        (share as u64).saturating_sub(self.copies)
    }
}

/// Returns the tasks to copy, the most urgent first.
///
/// `running` are the running tasks of a service's jobs. All stragglers of a step are copied or none,
/// since one that stays makes the job late. While there are no copies, one may start whatever its
/// size.
#[must_use]
pub fn choose(running: &[Running], room: Room) -> Vec<TaskId> {
    let mut left = room.left();
    let mut chosen = Vec::new();
    for step in stragglers_by_step(running) {
        let needed: u64 = step.iter().map(|r| r.cpu).sum();
        let is_first = room.copies == 0 && chosen.is_empty() && step.len() == 1;
        if needed <= left || is_first {
            left = left.saturating_sub(needed);
            chosen.extend(step.iter().map(|r| r.task));
        }
    }
    chosen
}

/// Runs worth a copy, by step, the most urgent step first. Steps with a lost task are left out.
fn stragglers_by_step(running: &[Running]) -> Vec<Vec<&Running>> {
    let mut steps: BTreeMap<TaskId, Vec<&Running>> = BTreeMap::new();
    for run in running {
        let step = TaskId {
            index: 0,
            ..run.task
        };
        steps.entry(step).or_default().push(run);
    }
    let mut stragglers: Vec<_> = steps
        .into_values()
        .filter(|step| !step.iter().any(|r| r.is_lost()))
        .map(|mut step| {
            step.retain(|r| r.is_worth_a_copy());
            step
        })
        .filter(|step| !step.is_empty())
        .collect();
    stragglers.sort_by_key(|step| step.iter().map(|r| r.late_in).min());
    stragglers
}

/// Whether another run of a task may start beside its present ones. Were there more runs than
/// attempts left, a run could start after the last attempt has failed.
#[must_use]
pub fn is_within_attempts(failures: u32, runs: usize, attempts: u32) -> bool {
    u32::try_from(runs).is_ok_and(|runs| failures.saturating_add(runs) < attempts)
}
