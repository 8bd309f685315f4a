//! Records of jobs that have ended.

use std::sync::Arc;

use super::Job;
use crate::id::JobId;
use crate::progress::{self, EndedJob, Record};

/// The keys of a job that hasn't ended.
pub(super) fn job_keys(id: JobId) -> [Box<str>; 2] {
    [progress::progress_key(id), progress::spec_key(id)]
}

pub(super) fn without_value(key: Box<str>) -> Record {
    Record { key, value: None }
}

/// The records that make an ended job a short one. `is_fresh` says that none of it is durable yet.
pub(super) fn archive(job: &mut Job, is_fresh: bool) -> progress::Result<Vec<Record>> {
    let spec = Arc::make_mut(&mut job.spec);
    spec.text = Box::default();
    let id = spec.id;
    let ended = EndedJob {
        state: job.progress.state,
        ended_ms: job.progress.ended_ms,
        is_given_up: job.progress.is_given_up,
        spec: spec.clone(),
    };
    let mut records = vec![progress::encode(progress::ended_key(id), &ended)?];
    if !is_fresh && !job.is_archived {
        // After the record that takes their place: the leader may be lost between two appends.
        records.extend(job_keys(id).map(without_value));
    }
    job.is_archived = true;
    Ok(records)
}
