//! Open-loop load: requests are sent on a schedule, whether or not earlier ones were answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::caller::{self, Call, FinishedCall, Outcome};

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Average number of requests per second; intervals are exponentially distributed.
    pub rate: f64,
    /// Duration of the schedule.
    pub time: Duration,
    /// Seed of the times and the properties of the requests.
    pub seed: u64,
    /// Maximum number of requests in flight; further ones are sent late, which counts as latency.
    pub callers: usize,
    /// API keys, used in turn.
    pub keys: Vec<Box<str>>,
    /// Prefix of the request ids.
    pub prefix: Box<str>,
    /// Maximum run time of a request; fractions of a millisecond are ignored.
    pub max_run: Duration,
    /// Maximum length to which an answer is padded, bytes.
    pub max_answer_len: usize,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            rate: 100.0,
            time: Duration::from_secs(10),
            seed: 1,
            callers: 128,
            keys: Vec::new(),
            prefix: "r".into(),
            max_run: Duration::from_millis(40),
            max_answer_len: 20_000,
        }
    }
}

/// Timeouts of quick and of patient requests.
const TIMEOUTS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(5)];

/// The requests of a load, each with its time from the start.
#[must_use]
pub fn schedule(load: &Load) -> Vec<(Duration, Call)> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut at = 0.0;
    let mut calls = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / load.rate;
        if at >= load.time.as_secs_f64() {
            return calls;
        }
        let call = call(load, calls.len(), &mut rng);
        calls.push((Duration::from_secs_f64(at), call));
    }
}

fn call(load: &Load, index: usize, rng: &mut impl Rng) -> Call {
    let patient = rng.random_bool(0.3);
    let max_run = u64::try_from(load.max_run.as_millis()).unwrap_or(u64::MAX);
    Call {
        id: format!("{}-{index}", load.prefix).into(),
        key: load.keys[index % load.keys.len()].clone(),
        idempotent: rng.random_bool(0.5),
        patient,
        run: Duration::from_millis(rng.random_range(0..=max_run)),
        timeout: TIMEOUTS[usize::from(patient)],
        min_answer_len: rng.random_range(0..=load.max_answer_len),
        ..Call::default()
    }
}

/// Sends the load to `entries` in turn, until the schedule ends or `stop` is set.
///
/// Latencies count from the scheduled time of a request, so that a stall also shows in the requests
/// that it delays (no coordinated omission).
#[must_use]
pub fn run(load: &Load, entries: &Mutex<Vec<SocketAddr>>, stop: &AtomicBool) -> Vec<FinishedCall> {
    let schedule = schedule(load);
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(schedule.len()));
    let agent = caller::agent();
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..load.callers {
            scope.spawn(|| {
                while let Some(done_call) =
                    send_next(&schedule, &next, entries, &agent, start, stop)
                {
                    done.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(done_call);
                }
            });
        }
    });
    done.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn send_next(
    schedule: &[(Duration, Call)],
    next: &AtomicUsize,
    entries: &Mutex<Vec<SocketAddr>>,
    agent: &ureq::Agent,
    start: Instant,
    stop: &AtomicBool,
) -> Option<FinishedCall> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    let (at, call) = schedule.get(index)?;
    let due = start + *at;
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    if stop.load(Ordering::Acquire) {
        return None;
    }
    let entry = {
        let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(index % entries.len().max(1)).copied()
    };
    let outcome = entry.map_or_else(
        || Outcome::NotRun("no entry instance is ready".into()),
        |entry| caller::send(agent, entry, call),
    );
    Some(FinishedCall {
        call: call.clone(),
        outcome,
        latency: due.elapsed(),
    })
}
