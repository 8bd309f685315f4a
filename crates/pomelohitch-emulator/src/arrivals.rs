//! Random generation of a load's jobs from a seed.

use std::time::Duration;

use pomelohitch_sched::cell::calls::Draft;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::{JobId, Resources};
use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use crate::fleet::faults::normal;
use crate::load::{Load, Queue};

/// Arrivals are generated in slices of this length; all jobs of a slice arrive at its start.
const SLICE: Duration = Duration::from_millis(10);
/// Upper limit of generated numbers as a multiple of their mean.
const MAX_FACTOR: f64 = 4.0;
/// Memory of a task in MB.
const TASK_MEM_MB: u64 = 500;

/// A job that a caller submits.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Arrival time after the start of arrivals.
    pub at: Duration,
    /// Id of the job.
    pub id: JobId,
    /// Index of the queue in the load.
    pub queue: usize,
    /// Index of the workspace in the load.
    pub workspace: usize,
    /// Specification of the job.
    pub draft: Draft,
    /// Mean duration of the tasks of each step, of which `draft` has the declared one.
    pub durations: Vec<Duration>,
}

/// Generates all jobs of a load in order of arrival.
#[must_use]
pub fn generate(load: &Load, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let slices = Duration::from_secs_f64(load.seconds).as_millis() / SLICE.as_millis();
    for slice in 0..u32::try_from(slices).unwrap_or(u32::MAX) {
        let at = SLICE * slice;
        for (index, queue) in load.queues.iter().enumerate() {
            let surge = load.surges.iter().find(|span| span.contains(at));
            let surge = surge.map_or(1.0, |span| span.strength);
            let rate = queue.per_s * rate_factor(load, index, at) * surge;
            for workspace in senders(load, rate, at, &mut rng) {
                let id = rng.random();
                let mut draft = job(queue, &mut rng);
                let durations = draft.steps.iter().map(|s| s.estimate).collect();
                for step in &mut draft.steps {
                    step.estimate = declared(queue, step.estimate, &mut rng);
                }
                arrivals.push(Arrival {
                    at,
                    id,
                    queue: index,
                    workspace,
                    draft,
                    durations,
                });
            }
        }
    }
    arrivals
}

/// Arrival rate of a queue at a time, as a multiple of its mean.
fn rate_factor(load: &Load, queue: usize, at: Duration) -> f64 {
    let Some(bursts) = load.bursts else {
        return 1.0;
    };
    let elapsed_bursts = at.as_secs_f64() / bursts.each_s;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number of bursts"
    )]
    let bursting_queue = elapsed_bursts as usize % load.queues.len();
    if bursting_queue == queue {
        bursts.height
    } else {
        bursts.rest
    }
}

/// Workspaces that submit jobs within a slice, repeated for each of their jobs.
fn senders(load: &Load, rate: f64, at: Duration, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let expected = rate * SLICE.as_secs_f64();
    if load.workspaces.is_empty() {
        return vec![0; poisson(expected, rng)];
    }
    let parts: f64 = load.workspaces.iter().map(|w| w.part).sum();
    let mut senders = Vec::new();
    for (index, workspace) in load.workspaces.iter().enumerate() {
        let overload = workspace.overload.filter(|span| span.contains(at));
        let factor = overload.map_or(1.0, |span| span.strength);
        let count = poisson(expected * workspace.part / parts * factor, rng);
        senders.extend(std::iter::repeat_n(index, count));
    }
    senders
}

/// Draws a Poisson-distributed number with the given mean.
fn poisson(expected: f64, rng: &mut ChaCha8Rng) -> usize {
    let limit = (-expected).exp();
    let mut product: f64 = rng.random_range(0.0..1.0);
    let mut count = 0;
    while product > limit {
        product *= rng.random_range(0.0..1.0);
        count += 1;
    }
    count
}

fn job(queue: &Queue, rng: &mut ChaCha8Rng) -> Draft {
    let steps = round_to_u64(draw_around_mean(queue.steps, queue.spread, rng)).max(1);
    let steps = (0..steps).map(|index| {
        let previous = index.checked_sub(1);
        StepSpec {
            count: u32::try_from(
                round_to_u64(draw_around_mean(queue.tasks, queue.spread, rng)).max(1),
            )
            .unwrap_or(1),
            need: Resources {
                cpu: round_to_u64(draw_around_mean(queue.cpu, queue.spread, rng)).max(1),
                mem_mb: TASK_MEM_MB,
                gpu: 0,
            },
            estimate: Duration::from_secs_f64(
                draw_around_mean(queue.work_ms, queue.spread, rng) / 1000.0,
            ),
            after: previous
                .map(|p| u16::try_from(p).unwrap_or(u16::MAX))
                .into_iter()
                .collect(),
            // Loads without copies draw the same jobs as before there were any.
            may_copy: queue.copyable > 0.0 && rng.random_bool(queue.copyable),
            ..StepSpec::default()
        }
    });
    Draft {
        text: "text".into(),
        steps: steps.collect(),
        repeat: None,
    }
}

/// Duration that a caller declares for tasks of this duration.
fn declared(queue: &Queue, duration: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let is_exact = queue.declared_error <= 0.0;
    let error = if is_exact { 0.0 } else { normal(rng) };
    duration.mul_f64(queue.declared_factor * (error * queue.declared_error).exp())
}

/// Draws a log-normal number with the given mean, limited to [`MAX_FACTOR`] times the mean.
fn draw_around_mean(mean: f64, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let factor = (normal(rng) * spread - spread * spread / 2.0).exp();
    mean * factor.min(MAX_FACTOR)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers are positive and small"
)]
fn round_to_u64(number: f64) -> u64 {
    number.round() as u64
}
