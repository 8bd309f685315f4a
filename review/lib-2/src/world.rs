//! What was sent, answered and run, by one clock.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A run as a runner has seen it.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub number: u32,
    pub runner: String,
    pub started: f64,
    /// When and how it ended; `lost` with its runner.
    pub ended: Option<(f64, &'static str)>,
}

pub struct World {
    began: Instant,
    record: Mutex<File>,
    pub runs: Mutex<Vec<Run>>,
}

impl World {
    pub fn new(record: File) -> World {
        World {
            began: Instant::now(),
            record: Mutex::new(record),
            runs: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:9.3}  {line}\n", self.now());
        let mut file = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }

    pub fn started(&self, task: &str, number: u32, runner: &str, kind: &str) {
        self.note(&format!(
            "run    {task} run {number} starts on {runner} (kind {kind})"
        ));
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Run {
                task: task.to_owned(),
                number,
                runner: runner.to_owned(),
                started: self.now(),
                ended: None,
            });
    }

    pub fn ended(&self, task: &str, number: u32, runner: &str, how: &'static str) {
        self.note(&format!(
            "run    {task} run {number} ends on {runner}: {how}"
        ));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let open = |r: &&mut Run| {
            r.ended.is_none() && r.task == task && r.number == number && r.runner == runner
        };
        if let Some(run) = runs.iter_mut().rev().find(open) {
            run.ended = Some((now, how));
        }
    }

    /// The runs of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter()
            .filter(|r| r.task.starts_with(job))
            .cloned()
            .collect()
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
