//! Delta encoding of the runs that an endpoint lists, from one poll to the next.
//!
//! An endpoint lists all its runs in each poll, and most of them are unchanged.

use std::collections::BTreeMap;

use pomelohitch_sched::endpoint::{Ended, PollReply, Running};
use pomelohitch_sched::id::RunNumber;
use pomelohitch_sched::{Steady, TaskId};
use serde::{Deserialize, Serialize};

/// Number of a poll of one endpoint over one connection, from 1.
type Version = u32;
/// A run's index in the listing, which is sorted by task and run number.
type Index = u16;

/// A change of a run's load by at most this fraction isn't sent.
const LOAD_TOLERANCE: f64 = 0.1;

/// The difference of a poll's answer from the previous one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version of the previous answer; 0 if the listing is complete.
    base: Version,
    born: u64,
    clock: Steady,
    /// [`PollReply::lease_requested`].
    renewed: bool,
    ended: Vec<Ended>,
    /// Runs of the previous answer that are no longer listed.
    gone: Vec<(TaskId, RunNumber)>,
    /// Runs that are new, or whose checkpoint or load has changed.
    changed: Vec<Running>,
    /// New percentages by index, to be applied after the other changes.
    percents: Vec<(Index, u32)>,
}

/// The runs of an endpoint in its last answer, as the receiver decodes it.
#[derive(Debug, Default)]
pub struct Listing {
    version: Version,
    runs: BTreeMap<(TaskId, RunNumber), Running>,
}

impl Listing {
    /// Stores an answer and returns its difference from the previous one.
    pub fn encode(&mut self, reply: PollReply) -> Delta {
        let base = self.version;
        self.version += 1;
        let mut listed: BTreeMap<_, _> = reply
            .running
            .into_iter()
            .map(|r| ((r.task, r.number), r))
            .collect();
        let gone = self.runs.keys().filter(|key| !listed.contains_key(key));
        let gone = gone.copied().collect();
        let (mut changed, mut percents) = (Vec::new(), Vec::new());
        for (index, (key, current)) in (0..).zip(&mut listed) {
            match self.runs.get(key) {
                Some(previous) if is_similar(previous, current) => {
                    current.load = previous.load;
                    if current.percent != previous.percent {
                        percents.push((index, current.percent));
                    }
                }
                _ => changed.push(current.clone()),
            }
        }
        self.runs = listed;
        Delta {
            base,
            born: reply.born,
            clock: reply.clock,
            renewed: reply.lease_requested,
            ended: reply.ended,
            gone,
            changed,
            percents,
        }
    }

    /// Applies a difference and returns the complete answer; `None` if the difference is based
    /// on another answer than the last one.
    pub fn decode(&mut self, delta: Delta) -> Option<PollReply> {
        if delta.base == 0 {
            self.runs.clear();
        } else if delta.base != self.version {
            return None;
        }
        self.version = delta.base + 1;
        for key in &delta.gone {
            self.runs.remove(key);
        }
        for run in delta.changed {
            self.runs.insert((run.task, run.number), run);
        }
        let mut percents = delta.percents.into_iter().peekable();
        for (index, run) in (0..).zip(self.runs.values_mut()) {
            if let Some((_, percent)) = percents.next_if(|(at, _)| *at == index) {
                run.percent = percent;
            }
        }
        Some(PollReply {
            born: delta.born,
            clock: delta.clock,
            lease_requested: delta.renewed,
            ended: delta.ended,
            running: self.runs.values().cloned().collect(),
            ..PollReply::default()
        })
    }
}

/// Whether a run has the same checkpoint as before and its load has changed by no more than
/// [`LOAD_TOLERANCE`].
fn is_similar(previous: &Running, current: &Running) -> bool {
    let difference = f64::from(previous.load.abs_diff(current.load));
    previous.checkpoint == current.checkpoint
        && difference <= f64::from(previous.load) * LOAD_TOLERANCE
}
