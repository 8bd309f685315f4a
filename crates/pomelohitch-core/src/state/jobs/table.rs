//! Job table, split into chunks that copies of the state share.
//!
//! A copy of the state shares all chunks; applying a record copies only the chunks of the jobs that
//! it changes. Two states that share a chunk have the same jobs in it, so a comparison of two
//! states can skip shared chunks.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ENDED_ENTRIES_KEPT, ENDED_IDS_KEPT, Entry, JobState};
use crate::id::{JobId, Offset};
use crate::record::job::Job;

/// Number of chunks.
const CHUNKS: usize = 512;

/// Sequence number of an ended job: the number of jobs that ended before it.
type EndSeq = u64;

/// Jobs that wait, run or ended recently, by id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    chunks: Vec<Arc<Chunk>>,
    /// Sequence number of the next job to end.
    ended: EndSeq,
    len: usize,
}

/// Jobs whose id hashes fall into the same chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Chunk {
    jobs: BTreeMap<JobId, Entry>,
    /// Ended jobs that still have an entry in `jobs`, in the order in which they ended.
    ended: BTreeMap<EndSeq, JobId>,
    /// Id hashes of ended jobs whose entry has been dropped.
    remembered: Arc<BTreeMap<u64, EndSeq>>,
}

impl Default for Table {
    fn default() -> Self {
        Table {
            chunks: vec![Arc::default(); CHUNKS],
            ended: 0,
            len: 0,
        }
    }
}

impl Table {
    /// Job with this id, if it has an entry.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.chunks[chunk_of(hash(id))].jobs.get(id)
    }

    /// Whether a job with this id ended and only the hash of its id is kept.
    #[must_use]
    pub fn is_remembered(&self, id: &str) -> bool {
        let hash = hash(id);
        self.chunks[chunk_of(hash)].remembered.contains_key(&hash)
    }

    /// Number of jobs with an entry, including ended ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no job has an entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All jobs with an entry, ordered by chunk and then by id.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &Entry)> {
        self.chunks.iter().flat_map(|chunk| &chunk.jobs)
    }

    /// Ids of the jobs that differ between `earlier` and `self`, including dropped ones. Compares
    /// only the chunks that the two tables don't share, instead of all jobs.
    #[must_use]
    pub fn changed_since(&self, earlier: &Table) -> Vec<JobId> {
        let mut changed = Vec::new();
        for (new, old) in self.chunks.iter().zip(&earlier.chunks) {
            if Arc::ptr_eq(new, old) {
                continue;
            }
            let differs = new
                .jobs
                .iter()
                .filter(|(id, e)| old.jobs.get(*id) != Some(e));
            changed.extend(differs.map(|(id, _)| id.clone()));
            let is_gone = |id: &&JobId| !new.jobs.contains_key(*id);
            changed.extend(old.jobs.keys().filter(is_gone).cloned());
        }
        changed
    }

    /// Adds a job, unless one with the same id has an entry, or ended and its id is still kept.
    pub(super) fn submit(&mut self, offset: Offset, job: &Job) {
        let hash = hash(&job.id);
        let chunk = &self.chunks[chunk_of(hash)];
        if chunk.jobs.contains_key(&job.id) || chunk.remembered.contains_key(&hash) {
            return;
        }
        let chunk = Arc::make_mut(&mut self.chunks[chunk_of(hash)]);
        self.len -= chunk.drop_ended(self.ended);
        let entry = Entry {
            job: Arc::new(job.clone()),
            submitted: offset,
            state: JobState::Waiting,
            attempts: 0,
            checkpointed: false,
            failed_on: Vec::new(),
            memory_floor_mib: 0,
        };
        chunk.jobs.insert(job.id.clone(), entry);
        self.len += 1;
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Entry> {
        let chunk = &mut self.chunks[chunk_of(hash(id))];
        if !chunk.jobs.contains_key(id) {
            return None;
        }
        Arc::make_mut(chunk).jobs.get_mut(id)
    }

    /// Records that a job ended, so that [`Chunk::drop_ended`] can drop it later.
    pub(super) fn record_end(&mut self, id: &JobId) {
        let chunk = Arc::make_mut(&mut self.chunks[chunk_of(hash(id))]);
        chunk.ended.insert(self.ended, id.clone());
        self.ended += 1;
    }
}

impl Chunk {
    /// Drops the entries of jobs that are not among the last [`ENDED_ENTRIES_KEPT`] to end, and
    /// keeps their ids. When it drops any, it also drops the ids of jobs that are not among the
    /// last [`ENDED_IDS_KEPT`] to end. Each submit calls this for its own chunk, which bounds the
    /// size of the state without a pass over all jobs. Returns the number of entries dropped.
    fn drop_ended(&mut self, ended: EndSeq) -> usize {
        let kept = self
            .ended
            .split_off(&ended.saturating_sub(ENDED_ENTRIES_KEPT));
        let dropped = std::mem::replace(&mut self.ended, kept);
        if dropped.is_empty() {
            return 0;
        }
        let remembered = Arc::make_mut(&mut self.remembered);
        let oldest = ended.saturating_sub(ENDED_IDS_KEPT);
        remembered.retain(|_, &mut seq| seq >= oldest);
        for (&seq, id) in &dropped {
            self.jobs.remove(id);
            remembered.insert(hash(id), seq);
        }
        dropped.len()
    }
}

/// FNV-1a. Implemented here so that it never changes: the distribution over chunks is part of the
/// state, which must be the same in all processes.
fn hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn chunk_of(hash: u64) -> usize {
    // The low bits of FNV are the best mixed ones. The conversion can't fail: the remainder is
    // below `CHUNKS`.
    usize::try_from(hash % CHUNKS as u64).unwrap_or(0)
}
