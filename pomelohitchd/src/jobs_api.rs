//! `/v1/jobs`: callers submit, read and cancel batch jobs.
//!
//! * `POST /v1/jobs`, body a [`JobRequest`]: `201` with a [`JobView`] once the job is durable,
//!   `200` if the same `Idempotency-Key` was used before.
//! * `GET /v1/jobs`: the team's jobs, `GET /v1/jobs/ID`: one of them.
//! * `DELETE /v1/jobs/ID`: cancels it and answers with its new state.
//!
//! All other answers are problem documents (RFC 9457) with the member `ran`.

use std::io::Read;
use std::time::Duration;

use pomelohitch_core::Team;
use pomelohitch_core::id::{InstanceId, JobClass, JobId, Offset, TeamId};
use pomelohitch_core::record::job::{Job, Resources, Urgency};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::{End, Entry, StopCause};
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::group_commit::{JobChange, Outcome};
use crate::node::Node;

/// Largest accepted body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Longest class, group or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// No more jobs are accepted while the table holds this many, including ended ones. Every entry
/// instance keeps all of them and would otherwise run out of memory without any error to callers.
pub const MAX_KEPT_JOBS: usize = 40_000;
/// Maximum number of jobs in a list.
const MAX_LISTED: usize = 1000;
/// `Retry-After` of a refusal for a temporary reason, in seconds.
const RETRY_AFTER: &str = "2";

/// A job as its caller declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Class of the job; jobs of one class have similar usage and run times.
    pub class: JobClass,
    /// How soon it should run.
    #[serde(default = "patient")]
    pub urgency: Urgency,
    /// Processor time needed, in thousandths of a processor.
    pub cpu_milli: u64,
    /// Memory needed, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators needed.
    #[serde(default)]
    pub accelerators: u64,
    /// Expected run time in milliseconds.
    pub run_ms: u64,
    /// Whether it may safely run twice.
    #[serde(default)]
    pub idempotent: bool,
    /// Command that the worker runs.
    pub command: Box<str>,
    /// Jobs of the same group are spread over availability zones and racks.
    #[serde(default)]
    pub group: Option<Box<str>>,
}

fn patient() -> Urgency {
    Urgency::Patient
}

/// A job as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: JobId,
    /// Its class.
    pub class: JobClass,
    /// How soon it should run.
    pub urgency: Urgency,
    /// `waiting`, `placed`, `running`, `cancelling`, `stopping` or `ended`.
    pub state: Box<str>,
    /// Worker of the current attempt, if there is one.
    pub worker: Option<InstanceId>,
    /// Number of attempts, not counting those that never started or were checkpointed.
    pub attempts: u32,
    /// How it ended, if it has.
    pub end: Option<End>,
    /// Offset of the record that submitted it.
    pub submitted: Offset,
}

/// A list of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs, latest submission first.
    pub jobs: Vec<JobView>,
    /// Whether the team has more jobs than are listed.
    pub more: bool,
}

/// Answers a request of `team`, whose key the caller of this function has checked.
#[must_use]
pub fn answer(node: &Node, team: &Team, req: &Request) -> Response {
    let path = req.url();
    let id = path.strip_prefix("/v1/jobs/").filter(|id| !id.is_empty());
    match (req.method(), id) {
        ("POST", None) => submit(node, &team.id, req),
        ("GET", None) => list(node, &team.id),
        ("GET", Some(id)) => show(node, &team.id, id),
        ("DELETE", Some(id)) => cancel(node, &team.id, id),
        _ => problem(405, "no", "this method isn't known here"),
    }
}

fn submit(node: &Node, team: &TeamId, req: &Request) -> Response {
    let declared = match read_request(req) {
        Ok(declared) => declared,
        Err(refusal) => return refusal,
    };
    let key = req.header("Idempotency-Key");
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_NAME_BYTES) {
        return problem(400, "no", "Idempotency-Key is empty or too long");
    }
    let job = job_of(team, key, declared);
    if let Some(answer) = known_job(node, &job) {
        return answer;
    }
    let may_be_repeat = key.is_some();
    if node.state.load().jobs.table.len() >= MAX_KEPT_JOBS {
        metrics::counter!("jobs_turned_away").increment(1);
        return refused("too many jobs are kept", may_be_repeat);
    }
    match node.commit_jobs(JobChange::Submit(vec![job.clone()])) {
        Outcome::Durable => submitted_job(node, &job),
        outcome => not_durable(outcome, may_be_repeat),
    }
}

fn read_request(req: &Request) -> Result<JobRequest, Response> {
    let refuse = |why: &str| Err(problem(400, "no", why));
    let Some(body) = req.data() else {
        return refuse("the body was read before");
    };
    let mut bytes = Vec::new();
    if body
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut bytes)
        .is_err()
    {
        return refuse("the body ended early");
    }
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(problem(413, "no", "the body is larger than 65536 bytes"));
    }
    let declared: JobRequest = match serde_json::from_slice(&bytes) {
        Ok(declared) => declared,
        Err(error) => return refuse(&format!("the body isn't a job: {error}")),
    };
    let group = declared.group.as_deref().unwrap_or("-");
    if [&*declared.class, group]
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
    {
        return refuse("class or group is empty or too long");
    }
    if declared.cpu_milli == 0 || declared.memory_mib == 0 {
        return refuse("cpu_milli and memory_mib have to be at least 1");
    }
    Ok(declared)
}

/// Builds the job. Its id is derived from team and key, so that the fold recognises a job that a
/// caller submits again after a lost answer, possibly at another entry instance.
fn job_of(team: &TeamId, key: Option<&str>, declared: JobRequest) -> Job {
    let id = match key {
        Some(key) => pomelohitch_core::key::hash(&format!("{team}\0{key}"))[..32].into(),
        None => uuid::Uuid::new_v4().simple().to_string().into(),
    };
    Job {
        id,
        team: team.clone(),
        class: declared.class,
        urgency: declared.urgency,
        need: Resources {
            cpu_milli: declared.cpu_milli,
            memory_mib: declared.memory_mib,
            accelerators: declared.accelerators,
        },
        run_time: Duration::from_millis(declared.run_ms),
        idempotent: declared.idempotent,
        command: declared.command,
        group: declared.group,
    }
}

/// The answer for a job whose id is already in the state, without an append.
fn known_job(node: &Node, job: &Job) -> Option<Response> {
    let state = node.state.load();
    if let Some(entry) = state.jobs.get(&job.id) {
        return Some(same_or_conflict(entry, job, 200));
    }
    let is_remembered = state.jobs.table.is_remembered(&job.id);
    is_remembered.then(|| {
        let why = "a job with this Idempotency-Key ended; how is no longer kept";
        problem(410, "unknown", why)
    })
}

/// Another caller may have submitted a different job with the same key first; only a caller whose
/// job equals the stored one gets it as an answer.
fn same_or_conflict(entry: &Entry, job: &Job, status: u16) -> Response {
    if *entry.job == *job {
        json(status, &view(entry))
    } else {
        let why = "this Idempotency-Key was used for a different job";
        problem(422, "no", why)
    }
}

fn submitted_job(node: &Node, job: &Job) -> Response {
    let state = node.state.load();
    match state.jobs.get(&job.id) {
        Some(entry) => same_or_conflict(entry, job, 201),
        None if state.jobs.table.is_remembered(&job.id) => {
            problem(410, "unknown", "a job with this Idempotency-Key ended")
        }
        None => problem(403, "no", "the team isn't configured any more"),
    }
}

fn not_durable(outcome: Outcome, may_be_repeat: bool) -> Response {
    match outcome {
        Outcome::NotAppended => refused("the log refused", may_be_repeat),
        _ => problem(
            504,
            "unknown",
            "the log didn't confirm in time; ask again with the same Idempotency-Key",
        )
        .with_additional_header("Retry-After", RETRY_AFTER),
    }
}

/// The answer if nothing of this request was appended. If it may repeat an earlier one, the record of
/// that one may be in the log and not read here yet, so that nothing is known of the job.
fn refused(why: &str, may_be_repeat: bool) -> Response {
    let (ran, rest) = if may_be_repeat {
        ("unknown", "an earlier request may have been taken in")
    } else {
        ("no", "nothing was taken in")
    };
    problem(503, ran, &format!("{why}; {rest}")).with_additional_header("Retry-After", RETRY_AFTER)
}

fn list(node: &Node, team: &TeamId) -> Response {
    let state = node.state.load();
    let own = state.jobs.table.iter().filter(|(_, e)| e.job.team == *team);
    let mut jobs: Vec<_> = own.map(|(_, entry)| view(entry)).collect();
    jobs.sort_by(|a, b| b.submitted.cmp(&a.submitted).then(a.id.cmp(&b.id)));
    let more = jobs.len() > MAX_LISTED;
    jobs.truncate(MAX_LISTED);
    json(200, &JobList { jobs, more })
}

fn show(node: &Node, team: &TeamId, id: &str) -> Response {
    let state = node.state.load();
    match find_own(&state.jobs, team, id) {
        Some(entry) => json(200, &view(entry)),
        None => unknown_job(),
    }
}

fn cancel(node: &Node, team: &TeamId, id: &str) -> Response {
    if find_own(&node.state.load().jobs, team, id).is_none() {
        return unknown_job();
    }
    match node.commit_jobs(JobChange::Cancel(vec![id.into()])) {
        Outcome::Durable => show(node, team, id),
        outcome => not_durable(outcome, true),
    }
}

/// The job if it belongs to `team`, so that other teams' jobs look like ones that don't exist.
fn find_own<'a>(
    jobs: &'a pomelohitch_core::state::Jobs,
    team: &TeamId,
    id: &str,
) -> Option<&'a Entry> {
    jobs.get(id).filter(|entry| entry.job.team == *team)
}

fn unknown_job() -> Response {
    problem(404, "no", "the team has no job with this id")
}

/// The job of `entry` as its caller sees it.
#[must_use]
pub fn view(entry: &Entry) -> JobView {
    let (state, end) = match &entry.state {
        JobState::Waiting => ("waiting", None),
        JobState::Placed(_) => ("placed", None),
        JobState::Running(_) => ("running", None),
        JobState::Stopping(_, StopCause::Cancel) => ("cancelling", None),
        JobState::Stopping(_, StopCause::Preempt) => ("stopping", None),
        JobState::Ended(end) => ("ended", Some(end.clone())),
    };
    JobView {
        id: entry.job.id.clone(),
        class: entry.job.class.clone(),
        urgency: entry.job.urgency,
        state: state.into(),
        worker: entry.attempt().map(|attempt| attempt.worker.clone()),
        attempts: entry.attempts,
        end,
        submitted: entry.submitted,
    }
}

fn json(status: u16, body: &impl Serialize) -> Response {
    Response::json(body).with_status_code(status)
}

#[derive(Serialize)]
struct Problem<'a> {
    status: u16,
    title: &'a str,
    ran: &'a str,
    step: &'a str,
}

fn problem(status: u16, ran: &str, title: &str) -> Response {
    let body = Problem {
        status,
        title,
        ran,
        step: "jobs",
    };
    let mut response = json(status, &body);
    response.headers.retain(|(name, _)| name != "Content-Type");
    response.with_additional_header("Content-Type", "application/problem+json")
}
