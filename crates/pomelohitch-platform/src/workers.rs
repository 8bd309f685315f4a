//! The platform's workers, which run tasks under leases.

use std::fmt;
use std::time::Duration;

use pomelohitch_core::id::{InstanceId, JobId, Offset, PoolId, RackId, Timestamp, ZoneId};
use pomelohitch_core::record::job::Resources;
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::http::Client;

/// A worker in the list of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its id, the same as the instance's.
    pub id: InstanceId,
    /// The pool that it belongs to according to the platform.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its total resources.
    #[serde(flatten)]
    pub capacity: Resources,
}

/// The list of workers at some time in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The time of the list.
    #[serde(rename = "as_of_ms", with = "pomelohitch_core::millis")]
    pub as_of: Timestamp,
    /// The workers.
    pub workers: Vec<Listed>,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The offset of the placement; a worker starts a task at most once per offset.
    pub op: Offset,
    /// The job.
    pub job: JobId,
    /// The command to run.
    pub command: Box<str>,
    /// Its declared run time.
    #[serde(rename = "run_ms", with = "pomelohitch_core::millis")]
    pub run: Duration,
    /// The resources reserved for it.
    #[serde(flatten)]
    pub reserve: Resources,
    /// Length of the lease; the worker stops the task if the lease isn't renewed in this time.
    #[serde(rename = "lease_ms", with = "pomelohitch_core::millis")]
    pub lease: Duration,
}

/// An operation on a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Renew its lease.
    Renew,
    /// Stop it.
    Stop,
    /// Save its state and stop it.
    Checkpoint,
    /// Slow it down.
    Throttle,
}

/// An operation on a task, as requested from its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The worker.
    pub worker: InstanceId,
    /// The offset of the placement that started the task.
    pub op: Offset,
    /// The operation.
    pub action: Action,
    /// Length of the renewed lease, from the time of the call.
    pub lease: Duration,
}

/// An event that a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The task started.
    Started,
    /// A sample of the task's resource usage.
    Usage,
    /// It succeeded.
    Succeeded,
    /// It failed.
    Failed,
    /// It was killed because it exceeded its memory limit.
    MemoryKilled,
    /// Its state was saved, and it no longer runs.
    Checkpointed,
    /// It was stopped.
    Stopped,
    /// Its lease expired, and it no longer runs.
    LeaseExpired,
}

/// A report of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The job.
    pub job: JobId,
    /// The offset of the placement.
    pub op: Offset,
    /// The worker.
    pub worker: InstanceId,
    /// The event.
    pub event: Event,
    /// The resources that the task used.
    #[serde(flatten)]
    pub used: Resources,
}

/// Reports of all workers from some position on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// The position to read from next.
    pub next: u64,
    /// The reports.
    pub reports: Vec<Report>,
}

/// What became of the start of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task ran and has ended.
    Ended,
    /// The task never ran and never will.
    Never,
}

/// Returns the list of workers.
pub type ListFn = Box<dyn Fn() -> Result<List> + Send + Sync>;
/// Starts a task on a worker.
pub type StartFn = Box<dyn Fn(&InstanceId, &Start) -> Result<()> + Send + Sync>;
/// Requests an operation on a task.
pub type ApplyFn = Box<dyn Fn(&Effect) -> Result<()> + Send + Sync>;
/// Reads workers' reports from a position on.
pub type ReportsFn = Box<dyn Fn(u64) -> Result<Reports> + Send + Sync>;
/// Asks what became of a start. If the task never ran, the platform refuses that start from then
/// on.
pub type TaskFn = Box<dyn Fn(Offset) -> Result<TaskState> + Send + Sync>;

/// A client of the platform's workers.
pub struct Workers {
    /// Returns the list of workers.
    pub list: ListFn,
    /// Starts a task on a worker.
    pub start: StartFn,
    /// Requests an operation on a task.
    pub apply: ApplyFn,
    /// Reads workers' reports from a position on.
    pub reports: ReportsFn,
    /// Asks what became of a start. If the task never ran, the platform refuses that start from
    /// then on.
    pub task: TaskFn,
}

impl fmt::Debug for Workers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Workers")
    }
}

#[derive(Serialize)]
struct ApplyBody {
    op: Offset,
    #[serde(rename = "lease_ms", with = "pomelohitch_core::millis")]
    lease: Duration,
}

/// The body of an answer of which only the status matters.
#[derive(Deserialize)]
struct Ignored {}

#[derive(Deserialize)]
struct TaskAnswer {
    state: TaskState,
}

impl Workers {
    /// A client of the platform at `base`; `timeout` applies to each call.
    #[must_use]
    pub fn http(base: &str, timeout: Duration) -> Workers {
        let client = Client::new(base, timeout);
        let [list_client, start_client, apply_client, reports_client] =
            std::array::from_fn(|_| client.clone());
        Workers {
            list: Box::new(move || list_client.get("list workers", "/workers")),
            start: Box::new(move |worker, start| {
                let path = format!("/workers/{worker}/start");
                start_client
                    .post("start task", &path, start)
                    .map(|_: Ignored| ())
            }),
            apply: Box::new(move |effect| apply_http(&apply_client, effect)),
            reports: Box::new(move |from| {
                reports_client.get("read reports", &format!("/reports?from={from}"))
            }),
            task: Box::new(move |op| {
                let answer: TaskAnswer = client.get("look up task", &format!("/tasks/{op}"))?;
                Ok(answer.state)
            }),
        }
    }
}

fn apply_http(client: &Client, effect: &Effect) -> Result<()> {
    let verb = match effect.action {
        Action::Renew => "renew",
        Action::Stop => "stop",
        Action::Checkpoint => "checkpoint",
        Action::Throttle => "throttle",
    };
    let path = format!("/workers/{}/{verb}", effect.worker);
    let body = ApplyBody {
        op: effect.op,
        lease: effect.lease,
    };
    client
        .post("change task", &path, &body)
        .map(|_: Ignored| ())
}
