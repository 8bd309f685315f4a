//! Names of jobs, tasks, endpoints and instances.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// A job's id, chosen by its caller; 16 hexadecimal digits as text.
pub type JobId = u64;
/// One life of an instance that runs tasks.
pub type EndpointId = Arc<str>;
/// A machine that the platform gives.
pub type InstanceId = Arc<str>;
/// A queue's name.
pub type QueueName = Box<str>;
/// A service's name, which is also that of its pool.
pub type ServiceName = Arc<str>;
/// An availability zone's name.
pub type ZoneName = Arc<str>;
/// A workspace's name.
pub type WorkspaceName = Arc<str>;
/// Counts leaderships; every order carries it, so that a former leader's orders can be told.
pub type Epoch = u64;
/// Counts the starts of one task, from 1.
pub type RunNumber = u32;

/// A text that names no task or job.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} names no {what}"))]
pub struct Error {
    what: &'static str,
    text: Box<str>,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Digits of a job's id.
const JOB_DIGITS: usize = 16;

/// Reads a job's id.
///
/// # Errors
/// If `text` isn't 16 lower-case hexadecimal digits. Upper case is refused, since the same job
/// would otherwise have two names.
pub fn parse_job(text: &str) -> Result<JobId> {
    let is_plain =
        text.len() == JOB_DIGITS && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    ensure!(is_plain, Snafu { what: "job", text });
    u64::from_str_radix(text, 16)
        .ok()
        .context(Snafu { what: "job", text })
}

/// Writes a job's id.
#[must_use]
pub fn job_text(id: JobId) -> String {
    format!("{id:016x}")
}

/// One task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which repetition of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within its step, from 0.
    pub index: u32,
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
