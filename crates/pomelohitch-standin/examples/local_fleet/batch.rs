//! The batch jobs that are submitted during the load.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use pomelohitch_standin::caller;
use pomelohitch_standin::config::TEAMS;
use pomelohitch_standin::jobs::{self, Job, Submission, SubmittedJob};

/// Interval between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of attempts to submit a job while the result is unknown, each at another entry
/// instance.
const MAX_ATTEMPTS: usize = 5;
/// Time limit for all jobs to end after the load.
const END_TIMEOUT: Duration = Duration::from_mins(1);
/// Polling interval of waiting loops.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Commands of the jobs, in turn. All jobs declare the same sizes, so that some are far off.
const COMMANDS: [&str; 4] = ["run=50", "run=200", "run=800 memory=160", "run=2000"];
/// Declared run time of each job.
const DECLARED_RUN_TIME: Duration = Duration::from_millis(200);

/// Submits jobs for `time` or until `stop` is set.
#[must_use]
pub fn run(
    time: Duration,
    entries: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
) -> Vec<SubmittedJob> {
    let start = Instant::now();
    let agent = caller::agent();
    let mut all = Vec::new();
    for index in 0.. {
        let due = start + SUBMIT_INTERVAL * index;
        if due >= start + time || stop.load(Ordering::Acquire) {
            break;
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        all.push(submit_with_retries(&agent, entries, index as usize));
    }
    all
}

fn submit_with_retries(
    agent: &ureq::Agent,
    entries: &Mutex<Vec<SocketAddr>>,
    index: usize,
) -> SubmittedJob {
    let job = Job {
        idempotency_key: format!("job-{index}").into(),
        key: TEAMS[index % TEAMS.len()].1.into(),
        urgent: index.is_multiple_of(4),
        idempotent: index.is_multiple_of(2),
        declared: DECLARED_RUN_TIME,
        command: COMMANDS[index % COMMANDS.len()].into(),
    };
    let mut submission = Submission::NotRun("no entry instance is ready".into());
    for attempt in 0..MAX_ATTEMPTS {
        let Some(entry) = pick_entry(entries, index + attempt) else {
            break;
        };
        submission = jobs::submit(agent, entry, &job);
        if !matches!(submission, Submission::Unknown(_)) {
            break;
        }
    }
    SubmittedJob {
        job,
        submission,
        last: None,
    }
}

fn pick_entry(entries: &Mutex<Vec<SocketAddr>>, index: usize) -> Option<SocketAddr> {
    let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
    entries.get(index % entries.len().max(1)).copied()
}

/// Polls each accepted job until it has ended, [`END_TIMEOUT`] has passed or `stop` is set.
pub fn wait_ended(all: &mut [SubmittedJob], entries: &[SocketAddr], stop: &AtomicBool) {
    let start = Instant::now();
    let agent = caller::agent();
    for (index, done) in all.iter_mut().enumerate() {
        let Submission::Accepted(id) = &done.submission else {
            continue;
        };
        let entry = entries[index % entries.len()];
        loop {
            done.last = jobs::view(&agent, entry, &done.job.key, id);
            let has_ended = done
                .last
                .as_ref()
                .is_some_and(|view| &*view.state == "ended");
            let is_overdue = start.elapsed() > END_TIMEOUT || stop.load(Ordering::Acquire);
            if has_ended || is_overdue {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
