//! Writes snapshots while this member plans, well before records that a joiner needs are trimmed.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_core::id::{Offset, RecordId, Term};
use pomelohitch_platform::snapshots;
use tracing::{info, warn};

use crate::node::Node;

/// A snapshot is written after at most about this many records, which bounds the number that a
/// joining member has to apply.
const EVERY_RECORDS: Offset = 4096;
/// Delay after a failed attempt to write a snapshot.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// The inputs that decide whether a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// The offset up to which the newest complete snapshot reaches.
    pub snapshot: Offset,
    /// Time since it was written, or since this process first saw it.
    pub age: Duration,
    /// The longest time between two snapshots while there are new records.
    pub interval: Duration,
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// The offset of the next record to apply.
    pub next: Offset,
}

impl View {
    /// Whether to write a snapshot now.
    ///
    /// The log's retention isn't configured here; once the log is trimmed, the records that it
    /// keeps show it. The newest snapshot has to reach into the newer half of them, so that half
    /// of the retention is left for writing the next one.
    #[must_use]
    pub fn is_due(&self) -> bool {
        if self.next <= self.snapshot {
            return false;
        }
        let kept = self.next.saturating_sub(self.first);
        let is_old = self.first > 0 && self.snapshot < self.first + kept / 2;
        is_old || self.age >= self.interval || self.next - self.snapshot >= EVERY_RECORDS
    }
}

/// Writes snapshots during a term of this member.
#[derive(Debug, Default)]
pub struct Writer {
    term: Term,
    /// Offset of the newest complete snapshot, and when it was written or first seen here.
    newest: Option<(Offset, Instant)>,
    /// When the last attempt failed, if any did.
    failed: Option<Instant>,
}

impl Writer {
    /// Writes a snapshot if one is due. Call it only while this member plans.
    pub fn try_write_if_due(&mut self, node: &Node, state: &State) {
        if self.failed.is_some_and(|at| at.elapsed() < RETRY_AFTER) {
            return;
        }
        if let Err(error) = self.write_if_due(node, state) {
            // Readers ignore incomplete snapshots.
            warn!(%error, "could not write a snapshot");
            self.failed = Some(Instant::now());
        }
    }

    fn write_if_due(&mut self, node: &Node, state: &State) -> pomelohitch_platform::Result<()> {
        if self.term != state.members.term {
            self.newest = None;
        }
        let (snapshot, since) = match self.newest {
            Some(known) => known,
            None => (newest_offset(node)?, Instant::now()),
        };
        self.term = state.members.term;
        self.newest = Some((snapshot, since));
        let view = View {
            snapshot,
            age: since.elapsed(),
            interval: Duration::from_millis(node.settings.snapshot_ms),
            first: node.first_kept.load(Ordering::Acquire),
            next: state.next,
        };
        if !view.is_due() {
            return Ok(());
        }
        snapshots::save(&node.log, state, RecordId::new_v4())?;
        self.newest = Some((state.next, Instant::now()));
        metrics::counter!("snapshots_written").increment(1);
        info!(next = state.next, "wrote a snapshot");
        Ok(())
    }
}

fn newest_offset(node: &Node) -> pomelohitch_platform::Result<Offset> {
    Ok(snapshots::load(&node.log)?.map_or(0, |state| state.next))
}
