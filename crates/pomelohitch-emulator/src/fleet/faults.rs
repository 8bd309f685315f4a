//! Random faults, and the actual durations of tasks.

use std::time::Duration;

use pomelohitch_sched::order::{Order, Target};
use pomelohitch_sched::{Steady, TaskId};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use super::ORDER_WITHIN;

/// Delay in seconds after which an unanswered order is executed.
const LATE: std::ops::Range<f64> = 2.0..12.0;

/// Random faults.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Fraction of orders and polls that get no answer; the orders are executed seconds later.
    pub orders_lost: f64,
    /// Network delay of orders. It has an effect only if it exceeds their timeout: then they count
    /// as unanswered.
    pub orders_late: Duration,
    /// Deviation of actual durations of tasks from their estimates: the standard deviation of the
    /// logarithm. A task takes the same time in every run.
    pub unevenness: f64,
    /// Seed of the durations.
    pub seed: u64,
}

impl Faults {
    /// Actual duration of a task for the estimate of its step.
    #[must_use]
    pub fn duration(&self, task: TaskId, estimate: Duration) -> Duration {
        if self.unevenness <= 0.0 {
            return estimate;
        }
        let place = u64::from(task.step) << 32 | u64::from(task.index);
        let seed = self.seed ^ task.job.rotate_left(17) ^ place.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        estimate.mul_f64((normal(&mut rng) * self.unevenness).exp())
    }
}

/// Draws an approximately standard normal number as the sum of twelve uniform ones.
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
    pub(super) is_carried_out: bool,
}

/// Random number generator of the faults.
#[derive(Debug)]
pub(super) struct Luck {
    rng: ChaCha8Rng,
}

impl Luck {
    pub(super) fn new(seed: u64) -> Luck {
        Luck {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn strikes(&mut self, part: f64) -> bool {
        part > 0.0 && self.rng.random_range(0.0..1.0) < part
    }

    /// Events of an unanswered order: the timeout, and the execution after a random delay.
    pub(super) fn late(
        &mut self,
        target: &Target,
        order: &Order,
        epoch: u64,
        now: Steady,
    ) -> [Delayed; 2] {
        let late = Duration::from_secs_f64(self.rng.random_range(LATE));
        Luck::unanswered(target, order, epoch, now, late)
    }

    /// Events of an unanswered order: the timeout, and the execution after `late`.
    pub(super) fn unanswered(
        target: &Target,
        order: &Order,
        epoch: u64,
        now: Steady,
        late: Duration,
    ) -> [Delayed; 2] {
        [(ORDER_WITHIN, false), (late, true)].map(|(after, is_carried_out)| Delayed {
            at: now + after,
            target: target.clone(),
            order: order.clone(),
            epoch,
            is_carried_out,
        })
    }
}
