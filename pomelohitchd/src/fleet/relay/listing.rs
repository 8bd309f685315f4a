//! What an endpoint runs, as changes from one poll to the next.
//!
//! An endpoint lists all its runs at each poll, and most of them are as before.

use std::collections::BTreeMap;

use pomelohitch_sched::endpoint::{Ended, Look, Running};
use pomelohitch_sched::id::RunNumber;
use pomelohitch_sched::{Steady, TaskId};
use serde::{Deserialize, Serialize};

/// Counts the polls of one endpoint over one connection, from 1.
type Version = u32;
/// A run's place in the order of tasks and run numbers.
type Place = u16;

/// A load that differs by less than this share is passed on as it was.
const SAME_LOAD: f64 = 0.1;

/// A poll's answer beside the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The answer that it is a change of; 0 for one that stands alone.
    base: Version,
    born: u64,
    clock: Steady,
    renewed: bool,
    ended: Vec<Ended>,
    gone: Vec<(TaskId, RunNumber)>,
    /// Runs that are new or of which more than the percentage has changed.
    changed: Vec<Running>,
    /// New percentages by place, once the other changes are made.
    percents: Vec<(Place, u32)>,
}

/// The runs of an endpoint as the other end knows them.
#[derive(Debug, Default)]
pub struct Listing {
    version: Version,
    runs: BTreeMap<(TaskId, RunNumber), Running>,
}

impl Listing {
    /// Takes in an answer, and returns how it differs from the one before.
    pub fn encode(&mut self, look: Look) -> Delta {
        let base = self.version;
        self.version += 1;
        let mut listed: BTreeMap<_, _> = look
            .running
            .into_iter()
            .map(|r| ((r.task, r.number), r))
            .collect();
        let gone = self.runs.keys().filter(|key| !listed.contains_key(key));
        let gone = gone.copied().collect();
        let (mut changed, mut percents) = (Vec::new(), Vec::new());
        for (place, (key, now)) in (0..).zip(&mut listed) {
            match self.runs.get(key) {
                Some(before) if is_alike(before, now) => {
                    now.load = before.load;
                    if now.percent != before.percent {
                        percents.push((place, now.percent));
                    }
                }
                _ => changed.push(now.clone()),
            }
        }
        self.runs = listed;
        Delta {
            base,
            born: look.born,
            clock: look.clock,
            renewed: look.renewed,
            ended: look.ended,
            gone,
            changed,
            percents,
        }
    }

    /// Takes in a difference, and returns the answer; `None` if it is one from another answer than
    /// the last.
    pub fn decode(&mut self, delta: Delta) -> Option<Look> {
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
        for (place, run) in (0..).zip(self.runs.values_mut()) {
            if let Some((_, percent)) = percents.next_if(|(at, _)| *at == place) {
                run.percent = percent;
            }
        }
        Some(Look {
            born: delta.born,
            clock: delta.clock,
            renewed: delta.renewed,
            ended: delta.ended,
            running: self.runs.values().cloned().collect(),
            ..Look::default()
        })
    }
}

/// Whether two listings of a run differ in the percentage at most.
fn is_alike(before: &Running, now: &Running) -> bool {
    let difference = f64::from(before.load.abs_diff(now.load));
    before.checkpoint == now.checkpoint && difference <= f64::from(before.load) * SAME_LOAD
}
