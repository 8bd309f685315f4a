//! Ids of recent records, for detecting repeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::REPEAT_WINDOW;
use crate::id::{Offset, RecordId};

/// Number of offsets that one chunk covers.
const CHUNK: Offset = 512;

/// Ids of the records in the last [`REPEAT_WINDOW`] offsets, in chunks by offset.
///
/// Readers share a copy of the state after each read, so the next record has to copy the parts that
/// it changes. With a single map over the whole window, each record would copy all of it; with
/// chunks, only the newest chunk is copied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Seen {
    chunks: Vec<Arc<Chunk>>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk {
    /// Offsets in the chunk divided by [`CHUNK`], rounded down.
    number: Offset,
    ids: BTreeMap<RecordId, Offset>,
}

impl Seen {
    pub(super) fn offset_of(&self, id: &RecordId) -> Option<Offset> {
        let mut newest_first = self.chunks.iter().rev();
        newest_first.find_map(|chunk| chunk.ids.get(id)).copied()
    }

    pub(super) fn insert(&mut self, offset: Offset, id: RecordId) {
        let number = offset / CHUNK;
        if self.chunks.last().is_none_or(|last| last.number != number) {
            let oldest = offset.saturating_sub(REPEAT_WINDOW) / CHUNK;
            self.chunks.retain(|chunk| chunk.number >= oldest);
            self.chunks.push(Arc::new(Chunk {
                number,
                ids: BTreeMap::new(),
            }));
        }
        let newest = self
            .chunks
            .last_mut()
            .expect("a chunk is pushed above if there is none");
        Arc::make_mut(newest).ids.insert(id, offset);
    }
}
