//! Group commit: combines changes of jobs by many callers in batches. A batch is appended as at
//! most two records, one of submits and one of cancels.
//!
//! The log takes only several hundred appends per second for the whole region. While an append is
//! in flight, further changes collect in the next batch, which one of the waiting threads then
//! appends for all.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_core::id::JobId;
use pomelohitch_core::record::job::{Job, JobRecord};
use pomelohitch_core::{Body, Verdict};

use crate::node::{Decided, ProposeError};

/// A batch that has this many submits and cancels takes no further changes.
const MAX_JOBS: usize = 512;
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of recent batches whose outcomes are kept for the threads that wait for them.
const MAX_OUTCOMES: usize = 64;

/// A change of jobs by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobChange {
    /// Submit these jobs.
    Submit(Vec<Job>),
    /// Cancel these jobs.
    Cancel(Vec<JobId>),
}

/// The outcome of the append that contained a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record is in the log and applied here; the fold evaluated each job in it separately.
    Durable,
    /// Nothing was appended.
    NotAppended,
    /// It may have been appended.
    Unknown,
}

/// Appends a proposal and waits for its verdict.
pub type ProposeFn<'a> = &'a dyn Fn(Body, Duration) -> Result<Decided, ProposeError>;

/// Batches changes of jobs; see the module documentation.
#[derive(Debug, Default)]
pub struct GroupCommit {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    /// Number of the batch that collects changes.
    filling: u64,
    submits: Vec<Job>,
    cancels: Vec<JobId>,
    is_appending: bool,
    /// The outcomes of the last batches; the newest is that of the batch before `filling`, or of
    /// the one before that while an append is in flight.
    outcomes: std::collections::BTreeMap<u64, Outcome>,
}

impl GroupCommit {
    /// Appends `change` together with the changes of other callers; returns the outcome of the
    /// append.
    pub fn commit(&self, change: JobChange, propose: ProposeFn<'_>) -> Outcome {
        let mut inner = self.lock();
        while inner.submits.len() + inner.cancels.len() >= MAX_JOBS {
            inner = self.wait(inner);
        }
        let batch = inner.filling;
        match change {
            JobChange::Submit(jobs) => inner.submits.extend(jobs),
            JobChange::Cancel(ids) => inner.cancels.extend(ids),
        }
        loop {
            if let Some(&outcome) = inner.outcomes.get(&batch) {
                return outcome;
            }
            if batch < oldest(&inner) {
                return Outcome::Unknown;
            }
            if !inner.is_appending && inner.filling == batch {
                inner = self.append(inner, propose);
            } else {
                inner = self.wait(inner);
            }
        }
    }

    fn append<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        propose: ProposeFn<'_>,
    ) -> MutexGuard<'a, Inner> {
        let batch = inner.filling;
        let submits = std::mem::take(&mut inner.submits);
        let cancels = std::mem::take(&mut inner.cancels);
        inner.filling += 1;
        inner.is_appending = true;
        self.changed.notify_all();
        drop(inner);

        let outcome = append_all(submits, cancels, propose);
        let mut inner = self.lock();
        inner.is_appending = false;
        inner.outcomes.insert(batch, outcome);
        while inner.outcomes.len() > MAX_OUTCOMES {
            inner.outcomes.pop_first();
        }
        self.changed.notify_all();
        inner
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Ignores poisoning: the data is consistent after every step, even if a holder panicked.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, inner: MutexGuard<'a, Inner>) -> MutexGuard<'a, Inner> {
        self.changed
            .wait(inner)
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The oldest batch whose outcome is still kept.
fn oldest(inner: &Inner) -> u64 {
    inner.outcomes.keys().next().copied().unwrap_or(0)
}

/// Appends submits before cancels. No cancel depends on a submit in the same batch, since callers
/// learn a job's id only after its submit is durable.
fn append_all(submits: Vec<Job>, cancels: Vec<JobId>, propose: ProposeFn<'_>) -> Outcome {
    let mut outcome = Outcome::Durable;
    if !submits.is_empty() {
        outcome = append_one(JobRecord::Submit(submits), propose);
    }
    if !cancels.is_empty() {
        outcome = combined_outcome(outcome, append_one(JobRecord::Cancel(cancels), propose));
    }
    outcome
}

fn append_one(record: JobRecord, propose: ProposeFn<'_>) -> Outcome {
    metrics::counter!("job_appends").increment(1);
    match propose(Body::Job(record), PROPOSE_TIMEOUT) {
        Ok(Decided {
            verdict: Verdict::Accepted | Verdict::Repeat(_),
            ..
        }) => Outcome::Durable,
        Ok(_) | Err(ProposeError::NotAppended { .. }) => Outcome::NotAppended,
        Err(ProposeError::NoVerdict { .. }) => Outcome::Unknown,
    }
}

/// The outcome of a batch with two appends. Unless both have the same outcome, it is unknown:
/// `NotAppended` would be wrong for a caller whose change was in the append that succeeded.
fn combined_outcome(first: Outcome, second: Outcome) -> Outcome {
    if first == second {
        first
    } else {
        Outcome::Unknown
    }
}
