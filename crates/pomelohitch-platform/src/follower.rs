//! Reads the log's fleet stream and folds its records into the fleet's state.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{Record, State, Verdict};

use crate::error::{Error, Result};
use crate::log::{Batch, Log, Read, Stored};
use crate::snapshots;

/// A record that was read, with the fold's verdict on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Its offset in the stream.
    pub offset: Offset,
    /// Its id; `None` if this version can't decode the record.
    pub id: Option<RecordId>,
    /// The fold's verdict; `None` if this version can't decode the record.
    pub verdict: Option<Verdict>,
}

/// The outcome of one read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// The records that were read, in order.
    pub applied: Vec<Applied>,
    /// The log's head at the time of the read. If a snapshot was loaded instead, an offset above
    /// the state's next one.
    pub head: Offset,
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// Whether a snapshot replaced the state, instead of records being read.
    pub has_loaded: bool,
}

/// A reader of the fleet stream.
#[derive(Debug)]
pub struct Follower {
    log: Arc<Log>,
    state: State,
}

impl Follower {
    /// A follower of `log` that continues from the state `from`.
    #[must_use]
    pub fn new(log: Arc<Log>, from: State) -> Follower {
        Follower { log, state: from }
    }

    /// The state after the records read so far.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Replaces the state with the newest complete snapshot, if that is further ahead, and says
    /// whether it did.
    ///
    /// # Errors
    /// If the snapshots can't be read; the state is then unchanged.
    pub fn load_snapshot(&mut self) -> Result<bool> {
        match snapshots::load(&self.log)? {
            Some(state) if state.next > self.state.next => {
                self.state = state;
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    /// Reads and applies records once, waiting up to `wait` for a new one.
    ///
    /// If the next record was trimmed, the state is replaced with the newest complete snapshot.
    /// Continuing with the oldest record that the log keeps would silently and permanently omit
    /// members, keys or instances.
    ///
    /// # Errors
    /// If the log can't be read, skips records or lost its newest ones, or if the next record was
    /// trimmed and no snapshot covers the trimmed ones; the state is then unchanged.
    pub fn poll(&mut self, wait: Duration) -> Result<Progress> {
        match self.read(usize::MAX, wait) {
            Err(Error::Trimmed { first, .. }) => self.replace_trimmed(first),
            read => read,
        }
    }

    /// Reads until the next offset is `end` or the log's head, whichever comes first.
    ///
    /// # Errors
    /// If the log can't be read or no longer keeps a record before `end`; no snapshot is loaded
    /// then, since it may include records after `end`. Records applied before the error stay
    /// applied.
    pub fn catch_up_to(&mut self, end: Offset) -> Result<()> {
        while self.state.next < end {
            let remaining = usize::try_from(end - self.state.next).unwrap_or(usize::MAX);
            let Progress { head, .. } = self.read(remaining, Duration::ZERO)?;
            if self.state.next >= head {
                break;
            }
        }
        Ok(())
    }

    fn read(&mut self, max: usize, wait: Duration) -> Result<Progress> {
        let batch = (self.log.read)(&Read {
            stream: FLEET_STREAM,
            from: self.state.next,
            max: max.min(Read::default().max),
            wait,
        })?;
        self.apply_batch(&batch)
    }

    fn apply_batch(&mut self, batch: &Batch) -> Result<Progress> {
        self.check(batch)?;
        let applied = batch.records.iter().map(|stored| self.apply(stored));
        Ok(Progress {
            applied: applied.collect(),
            head: batch.next,
            first: batch.first,
            has_loaded: false,
        })
    }

    /// Verifies that the batch continues the records read so far. With a log that lost its newest
    /// records or skips some, the state of this process would diverge from that of the others.
    fn check(&self, batch: &Batch) -> Result<()> {
        let next = self.state.next;
        if batch.next < next {
            return Err(Error::HeadRegressed {
                stream: FLEET_STREAM.into(),
                next,
                head: batch.next,
            });
        }
        for (next, stored) in (next..).zip(&batch.records) {
            if stored.offset != next {
                return Err(Error::Gap {
                    stream: FLEET_STREAM.into(),
                    next,
                    offset: stored.offset,
                });
            }
        }
        Ok(())
    }

    fn replace_trimmed(&mut self, first: Offset) -> Result<Progress> {
        let from = self.state.next;
        let newest = snapshots::load(&self.log)?;
        let Some(state) = newest.filter(|state| state.next >= first && state.next > from) else {
            return Err(Error::Trimmed {
                stream: FLEET_STREAM.into(),
                from,
                first,
            });
        };
        self.state = state;
        Ok(Progress {
            // The real head is known after the next read; a value above the state's next offset
            // keeps callers from assuming that they have caught up.
            head: self.state.next + 1,
            first,
            has_loaded: true,
            applied: Vec::new(),
        })
    }

    /// Reads until the log's head is reached.
    ///
    /// # Errors
    /// If the log can't be read; records applied before the error stay applied.
    pub fn catch_up(&mut self) -> Result<Vec<Applied>> {
        let mut all = Vec::new();
        loop {
            let Progress { applied, head, .. } = self.poll(Duration::ZERO)?;
            all.extend(applied);
            if self.state.next >= head {
                return Ok(all);
            }
        }
    }

    /// Applies a record. One that can't be decoded comes from a newer version, and every reader of
    /// this version skips it.
    fn apply(&mut self, stored: &Stored) -> Applied {
        let offset = stored.offset;
        let Ok(record) = Record::decode(&stored.data) else {
            self.state.skip(offset);
            return Applied {
                offset,
                id: None,
                verdict: None,
            };
        };
        let verdict = Some(self.state.apply(offset, &record));
        Applied {
            offset,
            id: Some(record.id),
            verdict,
        }
    }
}
