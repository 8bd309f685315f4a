//! Submits batch jobs, and compares their outcomes with the workers' ledger.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_core::state::jobs::{End, Outcome};
use serde::Deserialize;

use crate::workers::{Ledger, Runs};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A job to submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Idempotency key: submitting the job again with the same key creates no second job.
    pub idempotency_key: Box<str>,
    /// API key of its team.
    pub key: Box<str>,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Declared run time.
    pub declared: Duration,
    /// Command; the stand-in of the workers reads from it what the job really takes.
    pub command: Box<str>,
}

/// Result of the submission of a job, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submission {
    /// It was accepted under this id.
    Accepted(Box<str>),
    /// It was refused, with the answer that it wasn't accepted.
    NotRun(Box<str>),
    /// It may or may not have been accepted.
    Unknown(Box<str>),
}

/// State of a job.
#[derive(Debug, Clone, Deserialize)]
pub struct View {
    /// Job id.
    pub id: Box<str>,
    /// State; `ended` once the job has ended.
    pub state: Box<str>,
    /// Reason and outcome of its end; `None` before.
    pub end: Option<End>,
}

#[derive(Deserialize)]
struct Problem {
    ran: Box<str>,
}

/// Submits `job` to the entry instance at `entry`.
#[must_use]
pub fn submit(agent: &ureq::Agent, entry: SocketAddr, job: &Job) -> Submission {
    let body = serde_json::json!({
        "class": "settlement",
        "urgency": if job.urgent { "urgent" } else { "patient" },
        "cpu_milli": 500,
        "memory_mib": 100,
        "run_ms": u64::try_from(job.declared.as_millis()).unwrap_or(u64::MAX),
        "idempotent": job.idempotent,
        "command": job.command,
    });
    let req = agent.post(format!("http://{entry}/v1/jobs"));
    let req = req
        .config()
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .header("Authorization", format!("Bearer {}", job.key))
        .header("Idempotency-Key", &*job.idempotency_key)
        .header("Content-Type", "application/json");
    let answer = req.send(body.to_string());
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Submission::Unknown(error.to_string().into()),
    };
    let body = answer.body_mut().read_to_vec().unwrap_or_default();
    let text =
        || -> Box<str> { format!("{} {}", answer.status(), String::from_utf8_lossy(&body)).into() };
    if answer.status().is_success() {
        let view = serde_json::from_slice::<View>(&body);
        return view.map_or_else(
            |_| Submission::Unknown(text()),
            |view| Submission::Accepted(view.id),
        );
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) if &*problem.ran == "no" => Submission::NotRun(text()),
        _ => Submission::Unknown(text()),
    }
}

/// Queries the state of the job `id`; `None` if `entry` doesn't return it.
#[must_use]
pub fn view(agent: &ureq::Agent, entry: SocketAddr, key: &str, id: &str) -> Option<View> {
    let req = agent.get(format!("http://{entry}/v1/jobs/{id}"));
    let req = req
        .config()
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .header("Authorization", format!("Bearer {key}"));
    let body = req.call().ok()?.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

/// A job with the result of its submission and its last known state.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    /// The job.
    pub job: Job,
    /// Result of its submission.
    pub submission: Submission,
    /// Its state at the end of the run; only queried if it was accepted.
    pub last: Option<View>,
}

/// Numbers of jobs by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Submitted jobs.
    pub sent: u64,
    /// Accepted jobs that ended.
    pub ended: u64,
    /// Jobs that were refused as not run.
    pub refused: u64,
    /// Jobs whose submission has no definite result, or whose outcome is reported as unknown.
    pub unknown: u64,
    /// Accepted jobs that never ended, or that are reported as successful without a successful run.
    pub lost: u64,
    /// Non-idempotent jobs that were started more than once, and jobs with concurrent runs.
    pub doubled: u64,
}

impl Tally {
    /// Counts `jobs` against the workers' ledger.
    #[must_use]
    pub fn count<'a>(jobs: impl IntoIterator<Item = &'a SubmittedJob>, ledger: &Ledger) -> Tally {
        let mut tally = Tally::default();
        for done in jobs {
            tally.add(done, ledger);
        }
        tally
    }

    /// Whether no job was lost or doubled.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled == 0
    }

    fn add(&mut self, done: &SubmittedJob, ledger: &Ledger) {
        self.sent += 1;
        let id = match &done.submission {
            Submission::Accepted(id) => id,
            Submission::NotRun(_) => {
                self.refused += 1;
                return;
            }
            Submission::Unknown(_) => {
                self.unknown += 1;
                return;
            }
        };
        let ran = ledger.jobs.get(id).cloned().unwrap_or_default();
        *self.counter(done.last.as_ref(), &ran) += 1;
        let is_doubled = !done.job.idempotent && ran.started > 1;
        if is_doubled || ran.most_at_once > 1 {
            self.doubled += 1;
        }
    }

    fn counter(&mut self, last: Option<&View>, ran: &Runs) -> &mut u64 {
        let Some(view) = last.filter(|view| &*view.state == "ended") else {
            return &mut self.lost;
        };
        match view.end.as_ref().map(|end| end.outcome) {
            Some(Outcome::Succeeded) if ran.succeeded == 0 => &mut self.lost,
            Some(Outcome::Unknown) => &mut self.unknown,
            _ => &mut self.ended,
        }
    }
}
