//! Identifiers of jobs, tasks, endpoints and instances.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// Job id, chosen by the caller; written as 16 hexadecimal digits.
pub type JobId = u64;
/// Endpoint id. An endpoint is a back end that runs tasks on an instance.
pub type EndpointId = Arc<str>;
/// Instance id. An instance is a machine of the platform.
pub type InstanceId = Arc<str>;
/// Queue name.
pub type QueueName = Box<str>;
/// Service name, which is also the name of its pool.
pub type ServiceName = Arc<str>;
/// Availability zone name.
pub type ZoneName = Arc<str>;
/// Workspace name.
pub type WorkspaceName = Arc<str>;
/// Counter of leaderships. Every order carries it, so that orders of a former leader can be fenced
/// off.
pub type Epoch = u64;
/// Number of a run among the runs of one task, from 1.
pub type RunNumber = u32;

/// A text that cannot be parsed as a job or task id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} names no {what}"))]
pub struct Error {
    what: &'static str,
    text: Box<str>,
}

/// Result of parsing an id.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Number of digits of a job id.
const JOB_DIGITS: usize = 16;

/// Parses a job id.
///
/// # Errors
///
/// If `text` is not 16 lower-case hexadecimal digits. Upper case is refused, because the same job
/// would otherwise have two names.
pub fn parse_job(text: &str) -> Result<JobId> {
    let is_plain =
        text.len() == JOB_DIGITS && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    ensure!(is_plain, Snafu { what: "job", text });
    u64::from_str_radix(text, 16)
        .ok()
        .context(Snafu { what: "job", text })
}

/// The job whose id a path ends with.
#[must_use]
pub fn job_at_end(path: &str) -> Option<JobId> {
    let start = path.len().checked_sub(JOB_DIGITS)?;
    parse_job(path.get(start..)?).ok()
}

/// Formats a job id as 16 hexadecimal digits.
#[must_use]
pub fn job_text(id: JobId) -> String {
    format!("{id:016x}")
}

/// Identifies a task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Job id.
    pub job: JobId,
    /// Repetition of the job, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

impl TaskId {
    /// The first id in the order of ids.
    pub const FIRST: TaskId = TaskId {
        job: 0,
        occurrence: 0,
        step: 0,
        index: 0,
    };
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job:016x}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let wrong = Snafu { what: "task", text };
        let mut parts = text.split('.');
        let job = parts.next().context(wrong)?;
        let mut number = || parts.next().and_then(|p| p.parse::<u32>().ok());
        let id = TaskId {
            job: parse_job(job)?,
            occurrence: number().context(wrong)?,
            step: number()
                .and_then(|n| u16::try_from(n).ok())
                .context(wrong)?,
            index: number().context(wrong)?,
        };
        ensure!(parts.next().is_none(), wrong);
        Ok(id)
    }
}
