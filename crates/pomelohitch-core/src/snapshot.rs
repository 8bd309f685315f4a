//! Snapshots of the state, split into chunks that fit into one log record each.
//!
//! The log retains records for a limited time. A snapshot, in a stream of its own, replaces the
//! records below its offset, so that a reader can start without them. A snapshot can be damaged:
//! its writer may have died half-way, two writers may have written at the same time, or a chunk may
//! have been appended twice. Only snapshots whose chunk count and hash are correct are used.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::State;
use crate::id::{Offset, RecordId};

/// Name of the stream that holds snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";
/// Default for the maximum number of bytes of the state in one chunk.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A chunk of a snapshot, as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk {
    /// Id of the snapshot, the same for all its chunks.
    snapshot: RecordId,
    /// Offset of the first record that is not part of the snapshot.
    next: Offset,
    /// Index of this chunk, from 0.
    index: usize,
    /// Number of chunks in the snapshot.
    count: usize,
    /// Hash of the data of all chunks together.
    hash: Box<str>,
    /// Part of the serialised state.
    data: Box<str>,
}

/// Splits `state` into records for [`SNAPSHOT_STREAM`], each with at most `bytes` bytes of the
/// serialised state.
///
/// # Panics
/// Never: serialisation can't fail for the types in the state.
#[must_use]
pub fn split(state: &State, snapshot: RecordId, bytes: usize) -> Vec<Box<str>> {
    let text = serde_json::to_string(state).expect("all map keys serialise as strings");
    let hash: Box<str> = blake3::hash(text.as_bytes()).to_hex().as_str().into();
    let parts = split_text(&text, bytes);
    let count = parts.len();
    let chunks = parts.iter().enumerate().map(|(index, part)| Chunk {
        snapshot,
        next: state.next,
        index,
        count,
        hash: hash.clone(),
        data: (*part).into(),
    });
    chunks
        .map(|chunk| {
            let text = serde_json::to_string(&chunk).expect("a chunk has no maps");
            text.into()
        })
        .collect()
}

/// Splits `text` at character boundaries into parts of at most `bytes` bytes, or of one character
/// if that is longer.
fn split_text(text: &str, bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let longest = rest.floor_char_boundary(bytes);
        let end = longest.max(rest.chars().next().map_or(0, char::len_utf8));
        let (part, after) = rest.split_at(end);
        parts.push(part);
        rest = after;
    }
    parts
}

/// Returns the newest complete snapshot among `records` of [`SNAPSHOT_STREAM`], which may be in any
/// order.
#[must_use]
pub fn newest_complete<'a>(records: impl IntoIterator<Item = &'a str>) -> Option<State> {
    let mut snapshots: BTreeMap<(Offset, RecordId), BTreeMap<usize, Chunk>> = BTreeMap::new();
    for record in records {
        let Ok(chunk) = serde_json::from_str::<Chunk>(record) else {
            continue;
        };
        let key = (chunk.next, chunk.snapshot);
        let chunks = snapshots.entry(key).or_default();
        chunks.insert(chunk.index, chunk);
    }
    let mut newest_first = snapshots.into_values().rev();
    newest_first.find_map(|chunks| assemble(&chunks))
}

/// Restores the state from the chunks of a snapshot; `None` if they are incomplete or damaged.
fn assemble(chunks: &BTreeMap<usize, Chunk>) -> Option<State> {
    let first = chunks.get(&0)?;
    // Indices are distinct and below the count, so the snapshot is complete if the number of chunks
    // equals the count.
    let is_consistent = |chunk: &Chunk| {
        chunk.count == first.count && chunk.hash == first.hash && chunk.index < first.count
    };
    if chunks.len() != first.count || !chunks.values().all(is_consistent) {
        return None;
    }
    let text: String = chunks.values().map(|chunk| &*chunk.data).collect();
    if blake3::hash(text.as_bytes()).to_hex().as_str() != &*first.hash {
        return None;
    }
    let state: State = serde_json::from_str(&text).ok()?;
    (state.next == first.next).then_some(state)
}
