//! Comparison of two policies on the same seeds.
//!
//! A seed determines arrivals, durations and faults, so that a difference on one seed is caused by
//! the policy alone. The confidence interval of the mean difference is computed over the seeds.

use pomelohitch_sched::Settings;
use serde::Serialize;

use crate::load::Load;
use crate::play::{self, Outcome};

/// Name of a figure, and the function that reads it from an outcome.
pub type Figure = (&'static str, fn(&Outcome) -> f64);

/// The figures that are compared.
pub const FIGURES: [Figure; 15] = [
    ("worth", |o| o.worth),
    ("worst windows", |o| o.worst_windows),
    ("worst queue", |o| o.worst_queue),
    ("worst workspace", |o| o.worst_workspace),
    ("in time", |o| o.in_time),
    ("late", |o| o.late),
    ("of no use", |o| 1.0 - o.in_time - o.late),
    ("refused", |o| o.refused),
    ("p99, s", |o| millis(o.p99_ms)),
    ("pool seconds", |o| o.pool_s),
    ("moves", |o| as_f64(o.moves)),
    ("crashes", |o| f64::from(o.crashes)),
    ("copies", |o| as_f64(o.copies)),
    ("copies won", |o| as_f64(o.copies_won)),
    ("given up", |o| as_f64(o.given_up)),
];

/// Difference of one figure between two policies.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the figure.
    pub figure: &'static str,
    /// Mean with the first policy.
    pub before: f64,
    /// Mean with the second policy.
    pub after: f64,
    /// Mean of the differences on each seed.
    pub difference: f64,
    /// Half the width of the 95 % confidence interval of `difference`.
    pub interval: f64,
}

impl Difference {
    /// Whether the difference is significant: its confidence interval excludes 0.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.difference.abs() > self.interval
    }
}

/// Plays a load with each seed; the outcomes are in the order of the seeds.
///
/// # Panics
/// If a play panics.
#[must_use]
pub fn play_all(load: &Load, settings: &Settings, seeds: &[u64]) -> Vec<Outcome> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) / 2;
    let seeds_per_thread = seeds.len().div_ceil(threads.max(1)).max(1);
    std::thread::scope(|scope| {
        let handles: Vec<_> = seeds
            .chunks(seeds_per_thread)
            .map(|chunk| {
                scope.spawn(move || -> Vec<Outcome> {
                    chunk
                        .iter()
                        .map(|&seed| play::play(load, settings, seed))
                        .collect()
                })
            })
            .collect();
        let outcomes = handles
            .into_iter()
            .flat_map(|h| h.join().expect("play panicked"));
        outcomes.collect()
    })
}

/// Compares outcomes of two policies on the same seeds, in the same order.
#[must_use]
pub fn differences(before: &[Outcome], after: &[Outcome]) -> Vec<Difference> {
    let difference = |(name, figure): Figure| {
        let pairs = before.iter().zip(after);
        let differences: Vec<f64> = pairs.map(|(b, a)| figure(a) - figure(b)).collect();
        Difference {
            figure: name,
            before: mean(before.iter().map(figure)),
            after: mean(after.iter().map(figure)),
            difference: mean(differences.iter().copied()),
            interval: interval(&differences),
        }
    };
    FIGURES.into_iter().map(difference).collect()
}

/// Half the width of the 95 % confidence interval of the mean, by Student's t-distribution.
fn interval(values: &[f64]) -> f64 {
    let count = values.len();
    if count < 2 {
        return f64::INFINITY;
    }
    let mean = mean(values.iter().copied());
    let squares: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    let variance = squares / as_f64(count - 1);
    t_quantile(count - 1) * (variance / as_f64(count)).sqrt()
}

/// Two-sided 95 % quantile of Student's t-distribution, rounded to a few ranges above 10 degrees of
/// freedom.
fn t_quantile(degrees: usize) -> f64 {
    const FACTORS: [f64; 10] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
    const UP_TO_30: f64 = 2.09;
    const ASYMPTOTIC: f64 = 1.96;
    match degrees {
        0 => f64::INFINITY,
        1..=10 => FACTORS[degrees - 1],
        11..=30 => UP_TO_30,
        _ => ASYMPTOTIC,
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len();
    if count == 0 {
        return 0.0;
    }
    values.sum::<f64>() / as_f64(count)
}

fn millis(millis: u64) -> f64 {
    std::time::Duration::from_millis(millis).as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
