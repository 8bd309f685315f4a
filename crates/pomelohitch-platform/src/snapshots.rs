//! Reads and writes snapshots of the fleet's state in the log's snapshot stream.

use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::snapshot::{CHUNK_BYTES, SNAPSHOT_STREAM, newest_complete, split};

use crate::error::{Error, Result};
use crate::log::{Batch, Log, Read, Stored};

/// Number of records before the head that the search reads first; a snapshot of a fleet of some
/// thousand instances fits.
const FIRST_WINDOW: Offset = 64;
/// Maximum number of chunks in one read. A chunk takes up to twice its size when escaped in JSON,
/// and the HTTP client refuses an answer with all chunks of a large fleet's snapshot.
const CHUNKS_PER_READ: usize = 32;
/// Factor by which the window grows if it holds no complete snapshot.
const WINDOW_GROWTH: Offset = 4;

/// Loads the newest complete snapshot, if there is one.
///
/// Searches backwards from the head, so that older snapshots aren't read.
///
/// # Errors
/// If the log can't be read.
pub fn load(log: &Log) -> Result<Option<State>> {
    let (first, head) = bounds(log)?;
    let mut window = FIRST_WINDOW;
    loop {
        let from = head.saturating_sub(window).max(first);
        let records = read_all(log, from, head)?;
        let found = newest_complete(records.iter().map(|record| &*record.data));
        if found.is_some() || from <= first {
            return Ok(found);
        }
        window = window.saturating_mul(WINDOW_GROWTH);
    }
}

/// Writes a snapshot of `state`, one append for each chunk.
///
/// # Errors
/// If an append fails; the snapshot is then incomplete, and readers ignore it.
pub fn save(log: &Log, state: &State, id: RecordId) -> Result<()> {
    for chunk in split(state, id, CHUNK_BYTES) {
        (log.append)(SNAPSHOT_STREAM, &[chunk])?;
    }
    Ok(())
}

/// The oldest offset that the stream keeps, and its head.
fn bounds(log: &Log) -> Result<(Offset, Offset)> {
    let mut from = 0;
    loop {
        match (log.read)(&read(from, 1)) {
            Ok(Batch { first, next, .. }) => return Ok((first.max(from), next)),
            Err(Error::Trimmed { first, .. }) if first > from => from = first,
            Err(error) => return Err(error),
        }
    }
}

fn read_all(log: &Log, from: Offset, head: Offset) -> Result<Vec<Stored>> {
    let mut records: Vec<Stored> = Vec::new();
    loop {
        let from = records.last().map_or(from, |last| last.offset + 1);
        if from >= head {
            return Ok(records);
        }
        let batch = (log.read)(&read(from, CHUNKS_PER_READ))?;
        if batch.records.is_empty() {
            return Ok(records);
        }
        records.extend(batch.records);
    }
}

fn read(from: Offset, max: usize) -> Read<'static> {
    Read {
        stream: SNAPSHOT_STREAM,
        from,
        max,
        wait: Duration::ZERO,
    }
}
