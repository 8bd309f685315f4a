//! Faults that strike at random, and how long tasks really take.

use std::time::Duration;

use pomelohitch_sched::order::{Order, Target};
use pomelohitch_sched::{Steady, TaskId};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use super::ORDER_WITHIN;

/// An order that is left unanswered is carried out so much later, if at all in time.
const LATE: std::ops::Range<f64> = 2.0..12.0;

/// Faults that strike at random.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// The part of orders and looks that get no answer; orders are carried out seconds later.
    pub orders_lost: f64,
    /// How long orders take to arrive. Longer than their timeout, and they count as unanswered.
    pub orders_late: Duration,
    /// How far the durations of tasks lie from their estimates: the standard deviation of the
    /// logarithm. Each task takes the same time wherever and whenever it runs.
    pub unevenness: f64,
    /// Decides durations.
    pub seed: u64,
}

impl Faults {
    /// How long a task takes whose step was estimated so.
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

/// A standard normal number: the sum of twelve uniform ones is near enough for durations.
pub(crate) fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    sum - 6.0
}

/// What is to happen to an order that got no answer.
#[derive(Debug)]
pub(super) struct Delayed {
    pub(super) at: Steady,
    pub(super) target: Target,
    pub(super) order: Order,
    pub(super) epoch: u64,
    /// Else it is taken for lost then.
    pub(super) is_carried_out: bool,
}

/// Decides which faults strike.
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

    /// An order that is left unanswered: taken for lost soon, and carried out later.
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

    /// An order that counts as lost soon, and is carried out after `late`.
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
