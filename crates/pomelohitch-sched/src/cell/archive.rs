//! Short records of ended jobs, which replace their full ones.

use std::sync::Arc;

use super::Job;
use crate::id::JobId;
use crate::progress::{self, EndedJob, Record};

/// The keys of the records of a job that isn't archived.
pub(super) fn job_keys(id: JobId) -> [Box<str>; 2] {
    [progress::progress_key(id), progress::spec_key(id)]
}

/// A record that deletes `key`.
pub(super) fn deletion(key: Box<str>) -> Record {
    Record { key, value: None }
}

/// The records that replace those of an ended job by a short one. With `is_unsaved` none of its
/// records is durable yet, so there are none to delete.
pub(super) fn archive(job: &mut Job, is_unsaved: bool) -> progress::Result<Vec<Record>> {
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
    if !is_unsaved && !job.is_archived {
        // Deleted after the new record is written, since the leader may fail between two appends.
        records.extend(job_keys(id).map(deletion));
    }
    job.is_archived = true;
    Ok(records)
}
