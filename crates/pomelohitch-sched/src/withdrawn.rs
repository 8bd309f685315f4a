//! Jobs that were cancelled before a submission of them arrived.
//!
//! The caller of a submission that wasn't answered may cancel the job while the submission is still
//! under way, at another member or in the network. The cancelling is acknowledged, since no such job is
//! held, and the submission must not be accepted afterwards, also not by a later leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::id::{JobId, WorkspaceName, job_text, parse_job};
use crate::order::Due;
use crate::progress::{self, Record};

/// Prefix of the records' keys.
const PREFIX: char = 'c';
/// Maximum number of remembered jobs; the oldest are forgotten first.
const MAX_WITHDRAWN: usize = 10_000;

/// A workspace's cancelling of a job before it was submitted. The value of a job's record is a list of
/// these, since ids of different workspaces may be equal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Withdrawn {
    at_ms: UnixMs,
    workspace: Option<WorkspaceName>,
}

/// The remembered jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WithdrawnJobs {
    jobs: BTreeMap<JobId, Vec<Withdrawn>>,
    /// The jobs by the time when they were last cancelled.
    by_time: BTreeSet<Due>,
}

/// Whether `key` is that of a record of a withdrawn job.
#[must_use]
pub fn is_key(key: &str) -> bool {
    key.starts_with(PREFIX)
}

fn key(job: JobId) -> Box<str> {
    format!("{PREFIX}{}", job_text(job)).into()
}

impl WithdrawnJobs {
    /// Restores a job from its record.
    ///
    /// # Errors
    /// If the record can't be decoded.
    pub fn restore(&mut self, key: &str, value: &[u8]) -> progress::Result<()> {
        let job = key.strip_prefix(PREFIX).and_then(|id| parse_job(id).ok());
        let job = job.ok_or_else(|| progress::undecodable(key))?;
        self.insert(job, progress::decode_value(key, value)?);
        Ok(())
    }

    /// Remembers that `workspace` has cancelled a job that isn't held. Returns the records to write.
    ///
    /// # Errors
    /// If a record can't be encoded, which doesn't happen for this type.
    pub fn add(
        &mut self,
        job: JobId,
        workspace: Option<&WorkspaceName>,
        now_ms: UnixMs,
    ) -> progress::Result<Vec<Record>> {
        if self.is_withdrawn(job, workspace) {
            return Ok(Vec::new());
        }
        let withdrawn = Withdrawn {
            at_ms: now_ms,
            workspace: workspace.cloned(),
        };
        let mut all = self.jobs.get(&job).cloned().unwrap_or_default();
        all.push(withdrawn);
        let mut records = vec![progress::encode(key(job), &all)?];
        self.insert(job, all);
        while self.jobs.len() > MAX_WITHDRAWN {
            records.extend(self.forget_oldest());
        }
        Ok(records)
    }

    fn insert(&mut self, job: JobId, all: Vec<Withdrawn>) {
        let last = |all: &[Withdrawn]| all.iter().map(|w| w.at_ms).max().unwrap_or_default();
        let at_ms = last(&all);
        if let Some(before) = self.jobs.insert(job, all) {
            let at_ms = last(&before);
            self.by_time.remove(&Due { at_ms, job });
        }
        self.by_time.insert(Due { at_ms, job });
    }

    /// Whether `workspace` has cancelled the job.
    #[must_use]
    pub fn is_withdrawn(&self, job: JobId, workspace: Option<&WorkspaceName>) -> bool {
        self.withdrawn_at(job, workspace).is_some()
    }

    /// When `workspace` cancelled the job, if it did.
    #[must_use]
    pub fn withdrawn_at(&self, job: JobId, workspace: Option<&WorkspaceName>) -> Option<UnixMs> {
        let mut all = self.jobs.get(&job).into_iter().flatten();
        let own = all.find(|w| w.workspace.as_ref() == workspace);
        own.map(|w| w.at_ms)
    }

    /// Forgets the jobs that were cancelled longer than `retention` ago. Returns the records that delete
    /// theirs.
    pub fn forget_expired(&mut self, now_ms: UnixMs, retention: Duration) -> Vec<Record> {
        let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let mut records = Vec::new();
        while let Some(oldest) = self.by_time.first()
            && oldest.at_ms.saturating_add(retention) <= now_ms
        {
            records.extend(self.forget_oldest());
        }
        records
    }

    fn forget_oldest(&mut self) -> Option<Record> {
        let Due { job, .. } = self.by_time.pop_first()?;
        self.jobs.remove(&job);
        Some(Record {
            key: key(job),
            value: None,
        })
    }
}
