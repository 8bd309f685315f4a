//! Run times that tasks are expected to take.
//!
//! Callers declare rough run times. Order, deferral, pools and admission rest on what is expected
//! instead.

use std::time::Duration;

use crate::id::QueueName;
use crate::job::StepSpec;

/// Relative deviation of a run time of which nothing is known but what the caller declared.
const DECLARED_DEVIATION: f64 = 0.5;

/// What a task, a step or a path of steps is expected to take on sound endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Expected {
    /// Mean.
    pub time: Duration,
    /// Standard deviation.
    pub deviation: Duration,
}

impl Expected {
    /// What two steps are expected to take that run one after the other.
    #[must_use]
    pub fn then(self, next: Expected) -> Expected {
        let (a, b) = (self.deviation.as_secs_f64(), next.deviation.as_secs_f64());
        Expected {
            time: self.time.saturating_add(next.time),
            deviation: Duration::from_secs_f64(a.hypot(b)),
        }
    }
}

/// Expected run times of tasks, by queue.
#[derive(Debug, Clone, Default)]
pub struct Estimates {}

impl Estimates {
    /// Records how long a task ran on a sound endpoint.
    pub fn record(&mut self, _queue: &QueueName, _step: &StepSpec, _took: Duration) {}

    /// The expected run time of one task.
    #[must_use]
    pub fn expect(&self, _queue: &QueueName, step: &StepSpec) -> Expected {
        Expected {
            time: step.estimate,
            deviation: step.estimate.mul_f64(DECLARED_DEVIATION),
        }
    }

    /// The expected time until `count` tasks of a step that start together are all done.
    #[must_use]
    pub fn expect_step(&self, queue: &QueueName, step: &StepSpec, count: u32) -> Expected {
        if count == 0 {
            return Expected::default();
        }
        self.expect(queue, step)
    }
}
