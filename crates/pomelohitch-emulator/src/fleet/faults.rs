//! Random faults, and the actual durations of tasks.

use std::time::Duration;

use pomelohitch_sched::order::{Order, Target};
use pomelohitch_sched::{Steady, TaskId};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use super::ORDER_TIMEOUT;

/// Delay in seconds after which an unanswered order is executed.
const LATE_DELAY_S: std::ops::Range<f64> = 2.0..12.0;

/// Random faults.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Fraction of orders and polls that get no answer; the orders are executed seconds later.
    pub orders_lost: f64,
    /// Network delay of orders. It has an effect only if it exceeds their timeout: then they count
    /// as unanswered.
    pub orders_late: Duration,
    /// Deviation of the durations of a step's tasks from their mean: the standard deviation of the
    /// logarithm. A task takes the same time in every run.
    pub unevenness: f64,
    /// Seed of the durations.
    pub seed: u64,
}

impl Faults {
    /// Actual duration of a task for the mean duration of its step.
    #[must_use]
    pub fn duration(&self, task: TaskId, mean: Duration) -> Duration {
        if self.unevenness <= 0.0 {
            return mean;
        }
        let position = u64::from(task.step) << 32 | u64::from(task.index);
        let seed =
            self.seed ^ task.job.rotate_left(17) ^ position.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        mean.mul_f64((normal(&mut rng) * self.unevenness).exp())
    }
}

/// Draws an approximately standard normal number as the sum of twelve uniform ones, which is precise
/// enough for durations.
pub(crate) fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    sum - 6.0
}

/// A scheduled event of an order without an answer.
#[derive(Debug)]
pub(super) struct Delayed {
    pub(super) at: Steady,
    pub(super) target: Target,
    pub(super) order: Order,
    pub(super) epoch: u64,
    /// Whether the order is executed at `at`; otherwise the scheduler's call times out then.
    pub(super) is_executed: bool,
}

/// Random number generator of the faults.
#[derive(Debug)]
pub(super) struct FaultRng {
    rng: ChaCha8Rng,
}

impl FaultRng {
    pub(super) fn new(seed: u64) -> FaultRng {
        FaultRng {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_range(0.0..1.0) < probability
    }

    /// Events of an unanswered order: the timeout, and the execution after a random delay.
    pub(super) fn unanswered_with_random_delay(
        &mut self,
        target: &Target,
        order: &Order,
        epoch: u64,
        now: Steady,
    ) -> [Delayed; 2] {
        let delay = Duration::from_secs_f64(self.rng.random_range(LATE_DELAY_S));
        FaultRng::unanswered(target, order, epoch, now, delay)
    }

    /// Events of an unanswered order: the timeout, and the execution after `delay`.
    pub(super) fn unanswered(
        target: &Target,
        order: &Order,
        epoch: u64,
        now: Steady,
        delay: Duration,
    ) -> [Delayed; 2] {
        [(ORDER_TIMEOUT, false), (delay, true)].map(|(after, is_executed)| Delayed {
            at: now + after,
            target: target.clone(),
            order: order.clone(),
            epoch,
            is_executed,
        })
    }
}
