//! Appends a record to the fleet stream and reads the verdict on it.
//!
//! The response to an append can be lost after the append took effect. The record is then
//! appended again with the same id, which the fold applies once, and the log is read until the
//! verdict is found. That a record is in force or rejected is thus always read from the log, never
//! inferred from the response to an append.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{Body, Record, Rejection, State, Verdict};
use pomelohitch_platform::follower::{Applied, Progress};
use pomelohitch_platform::{Effect, Error, Follower, Log};

use crate::clock::Clock;

/// Options of a proposal.
#[derive(Debug)]
pub struct Options {
    /// How long to try to obtain a verdict.
    pub limit: Duration,
    /// Delay between two attempts.
    pub retry_interval: Duration,
    /// Name of the operator that is recorded with the proposal.
    pub by: Box<str>,
    /// The clock that measures the limit and the delays.
    pub clock: Clock,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            limit: Duration::from_secs(30),
            retry_interval: Duration::from_millis(200),
            by: "operator".into(),
            clock: Clock::default(),
        }
    }
}

/// The outcome of a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// The record is in force.
    InForce {
        /// Offset of the record.
        offset: Offset,
    },
    /// The record is in the log and the fold rejects it, which every reader does alike.
    Rejected {
        /// Offset of the record.
        offset: Offset,
        /// Why the fold rejects it.
        rejection: Rejection,
    },
    /// The log refused every append, so the record can't come into force later.
    NotAppended {
        /// The last error of the log.
        error: Error,
    },
    /// An append may have taken effect, and no verdict was read within the limit.
    NotKnown {
        /// Id of the record.
        id: RecordId,
        /// The last error of the log, if the last attempt failed.
        error: Option<Error>,
    },
}

/// Returns a follower of the fleet stream, from its start.
#[must_use]
pub fn fleet_follower(log: &Arc<Log>) -> Follower {
    Follower::new(log.clone(), State::default())
}

/// Reads to the head of the log, from a snapshot if nothing was read before, and retries errors
/// until the limit.
///
/// # Errors
/// The last error of the log. An [`Error::Trimmed`] is not retried.
pub fn catch_up(follower: &mut Follower, options: &Options) -> Result<(), Error> {
    let deadline = deadline(options);
    if follower.state().next == 0 {
        // A snapshot only saves reading every record; without one the records are read.
        let _ = follower.load_snapshot();
    }
    loop {
        match follower.catch_up() {
            Ok(_) => return Ok(()),
            Err(error @ Error::Trimmed { .. }) => return Err(error),
            Err(error) if (options.clock.now)() >= deadline => return Err(error),
            Err(_) => (options.clock.sleep)(options.retry_interval),
        }
    }
}

/// Reads until `end` is the next offset or the head of the log is reached, and retries errors until
/// the limit.
///
/// # Errors
/// The last error of the log. An [`Error::Trimmed`] is not retried.
pub fn catch_up_to(follower: &mut Follower, end: Offset, options: &Options) -> Result<(), Error> {
    let deadline = deadline(options);
    loop {
        match follower.catch_up_to(end) {
            Ok(()) => return Ok(()),
            Err(error @ Error::Trimmed { .. }) => return Err(error),
            Err(error) if (options.clock.now)() >= deadline => return Err(error),
            Err(_) => (options.clock.sleep)(options.retry_interval),
        }
    }
}

/// Whether an append of the record has taken effect so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendState {
    /// No append took effect.
    Absent,
    /// An append may have taken effect.
    Uncertain,
    /// An append took effect.
    Acknowledged,
}

/// Appends `body` as a proposal and reads until the verdict is found or the limit has passed.
///
/// `follower` has caught up before: the record refers to its state as the one that the operator
/// saw.
#[must_use]
pub fn propose(log: &Log, follower: &mut Follower, body: Body, options: &Options) -> Outcome {
    let record = Record {
        id: RecordId::new_v4(),
        after: follower.state().next,
        at: wall_clock(),
        by: options.by.clone(),
        body,
    };
    let data = [record.encode()];
    let deadline = deadline(options);
    let mut append_state = AppendState::Absent;
    loop {
        let mut last_error = None;
        if append_state != AppendState::Acknowledged {
            match (log.append)(FLEET_STREAM, &data) {
                Ok(_) => append_state = AppendState::Acknowledged,
                Err(error) => {
                    if error.effect() == Effect::Unknown {
                        append_state = AppendState::Uncertain;
                    }
                    last_error = Some(error);
                }
            }
        }
        match read_verdict(follower, record.id) {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(error) => last_error = Some(error),
        }
        if (options.clock.now)() >= deadline {
            return outcome_at_deadline(append_state, record.id, last_error);
        }
        (options.clock.sleep)(options.retry_interval);
    }
}

/// Reads to the head of the log and searches every batch for the verdict on record `id`.
///
/// Each batch is searched before the next is read: the follower never returns a batch again, so a
/// failing read would otherwise lose a verdict in an earlier batch.
fn read_verdict(follower: &mut Follower, id: RecordId) -> Result<Option<Outcome>, Error> {
    loop {
        let Progress { applied, head, .. } = follower.poll(Duration::ZERO)?;
        if let Some(outcome) = find_outcome(&applied, id) {
            return Ok(Some(outcome));
        }
        if follower.state().next >= head {
            return Ok(None);
        }
    }
}

fn find_outcome(applied: &[Applied], id: RecordId) -> Option<Outcome> {
    let found = applied.iter().find(|a| a.id == Some(id))?;
    let offset = found.offset;
    Some(match found.verdict.clone()? {
        Verdict::Accepted => Outcome::InForce { offset },
        Verdict::Rejected(rejection) => Outcome::Rejected { offset, rejection },
        // Not expected: each proposal has a new id, and the log is read in order, so the first
        // record with this id, which is never a repeat, is found before any repeat.
        Verdict::Repeat(first) => Outcome::InForce { offset: first },
    })
}

fn outcome_at_deadline(append_state: AppendState, id: RecordId, error: Option<Error>) -> Outcome {
    match (append_state, error) {
        (AppendState::Absent, Some(error)) => Outcome::NotAppended { error },
        (_, error) => Outcome::NotKnown { id, error },
    }
}

fn deadline(options: &Options) -> Instant {
    (options.clock.now)() + options.limit
}

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Explains why the fold rejected a record, and what the operator can do.
#[must_use]
pub fn explain(rejection: &Rejection) -> String {
    match rejection {
        Rejection::BaseChanged {
            path,
            version: Some(offset),
        } => format!(
            "{path} was changed at offset {offset} since you started; \
             run `pomelohitch diff`, take that change over, then `pomelohitch diff --rebase`"
        ),
        Rejection::BaseChanged {
            path,
            version: None,
        } => format!(
            "{path} isn't in force any more; run `pomelohitch diff --rebase` if it is to come back"
        ),
        Rejection::Invalid(faults) => format!(
            "beside the files of other trees these rules would break: {faults:?}; \
             run `pomelohitch check` with --log-url"
        ),
        Rejection::PoolInUse(pool) => format!(
            "pool {pool} still holds instances; move them to other pools before it is removed"
        ),
        Rejection::TooLate => "it reached the log too late; publish again".to_owned(),
        other => format!("the state in force doesn't allow it: {other:?}"),
    }
}
