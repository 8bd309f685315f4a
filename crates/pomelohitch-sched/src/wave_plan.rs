//! Plan of a maintenance wave: which instances to empty now, and when the wave will end.
//!
//! The load is a wave over a large part of a fleet in use. Tasks that end by themselves leave an
//! instance within seconds. Lasting tasks have to be moved, and only a few tasks of a step may move
//! at once, whichever instances they are on: such a chain of moves may take most of the wave's time
//! and has to begin first. Instances that are being emptied are missing in their pools, so no more
//! are emptied at once than the time left requires.

use std::time::Duration;

/// Time from stopping a lasting task until it works elsewhere.
pub const MOVE_TIME: Duration = Duration::from_secs(2);
/// Time from an order to maintain an instance until a list shows it as up again.
pub const DOWN_TIME: Duration = Duration::from_millis(2_800);
/// Time without operations after a change of leader: its election, and the gap between operations
/// of two leaders.
const LEADER_CHANGE: Duration = Duration::from_secs(5);
/// Time for which the store may be away.
const STORE_OUTAGE: Duration = Duration::from_secs(5);
/// Largest part of a wave's time that is kept as a reserve.
const MAX_RESERVE_SHARE: f64 = 0.4;
/// Least time that a plan counts on, once the rest is the reserve.
const MIN_PLANNED_TIME: Duration = Duration::from_millis(500);
/// A wave counts as in time again only if it is expected to end this long before its limit.
const RECOVERY_MARGIN: Duration = Duration::from_secs(1);

/// Lasting tasks of one step on the instances of a wave, which leave these in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chain {
    /// Number of tasks that have to move.
    pub tasks: u32,
    /// Number of tasks of the step that may move at once.
    pub at_once: u32,
}

impl Chain {
    /// Time until the last task has moved.
    #[must_use]
    pub fn duration(&self) -> Duration {
        MOVE_TIME * self.tasks.div_ceil(self.at_once.max(1))
    }
}

/// An instance in use that is to be maintained.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is being emptied already. It stays selected until it is empty, since its lasting
    /// tasks would otherwise return to it and have to move again.
    pub is_begun: bool,
    /// Whether it can't be emptied now, because it is down, silent or being moved.
    pub is_unavailable: bool,
    /// Whether it is emptied in any case, because its zone is being evacuated.
    pub is_evacuated: bool,
    /// Time until its tasks that end by themselves are over.
    pub runs_end_in: Duration,
    /// CPU in use, thousandths of a core.
    pub used_cpu: u64,
    /// The chain of each of its lasting tasks, as an index of [`Wave::chains`].
    pub lasting: Vec<usize>,
}

/// The state of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// Instances in use that are still to be maintained.
    pub candidates: Vec<Candidate>,
    /// Chains of the lasting tasks on them.
    pub chains: Vec<Chain>,
    /// Number of instances that are empty and still to be maintained.
    pub empty: usize,
    /// Number of instances that are down.
    pub down: usize,
    /// Largest number of instances that may be down at the same time.
    pub max_down: usize,
    /// Time limit for the whole wave.
    pub within: Duration,
    /// Time until this limit.
    pub time_left: Duration,
}

/// What limits the end of a wave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Limit {
    /// The number of instances that may be down at once.
    #[default]
    MaxDown,
    /// The chain with this index.
    Chain(usize),
}

/// When a wave will end if nothing fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time until its end.
    pub ends_in: Duration,
    /// Number of instances whose maintenance won't be over within the limit.
    pub late_instances: usize,
    /// What limits it.
    pub limit: Limit,
}

impl Forecast {
    /// Whether the wave counts as late, given whether it did before.
    #[must_use]
    pub fn is_late(&self, time_left: Duration, was_late: bool) -> bool {
        let margin = if was_late {
            RECOVERY_MARGIN
        } else {
            Duration::ZERO
        };
        self.ends_in + margin > time_left
    }
}

/// The instances to empty now, as indexes of [`Wave::candidates`], and the forecast.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Instances to empty.
    pub emptying: Vec<usize>,
    /// When the wave will end.
    pub forecast: Forecast,
}

/// Plans a wave.
#[must_use]
pub fn plan(wave: &Wave) -> Plan {
    Plan {
        emptying: Selection::new(wave).select(),
        forecast: forecast(wave),
    }
}

impl Wave {
    /// Time in which the rest of the wave should be over, so that a reserve for failures remains.
    fn planned_time(&self) -> Duration {
        let reserve = (LEADER_CHANGE + STORE_OUTAGE).min(self.within.mul_f64(MAX_RESERVE_SHARE));
        self.time_left.saturating_sub(reserve)
    }

    /// Time until an instance is empty if it is emptied now and its lasting tasks go first.
    fn emptying_time(&self, candidate: &Candidate) -> Duration {
        let own = candidate.lasting.iter().map(|&chain| Chain {
            tasks: count(candidate.lasting.iter().filter(|&&c| c == chain).count()),
            ..self.chains[chain]
        });
        let moves = own.map(|chain| chain.duration()).max();
        moves.unwrap_or_default().max(candidate.runs_end_in)
    }

    /// Number of instances that are still to be maintained.
    fn remaining(&self) -> usize {
        self.candidates.len() + self.empty
    }

    /// Sum of the times that the remaining instances take, each by itself.
    fn work(&self) -> Duration {
        let emptying = self.candidates.iter().map(|c| self.emptying_time(c));
        emptying.sum::<Duration>() + DOWN_TIME * count(self.remaining())
    }

    /// Number of instances that have to be on their way at a time, emptying or down.
    fn needed_at_once(&self) -> usize {
        let work = self.work() + DOWN_TIME / 2 * count(self.down);
        let time = self.planned_time().max(MIN_PLANNED_TIME);
        let needed = round_up(work.div_duration_f64(time));
        needed.min(self.useful_at_once()).max(1)
    }

    /// Largest number of instances on their way that is of use: more would only wait, empty, until
    /// others are back.
    fn useful_at_once(&self) -> usize {
        let per_instance = self.work() / count(self.remaining()).max(1);
        let rounds = per_instance.div_duration_f64(DOWN_TIME);
        round_up(f64::from(count(self.max_down)) * rounds)
    }
}

/// Selection of the instances to empty.
struct Selection<'a> {
    wave: &'a Wave,
    is_selected: Vec<bool>,
    /// Number of selected instances with tasks of each chain.
    by_chain: Vec<u32>,
}

impl<'a> Selection<'a> {
    fn new(wave: &'a Wave) -> Selection<'a> {
        Selection {
            wave,
            is_selected: vec![false; wave.candidates.len()],
            by_chain: vec![0; wave.chains.len()],
        }
    }

    fn select(mut self) -> Vec<usize> {
        let wave = self.wave;
        let candidates = || wave.candidates.iter().enumerate();
        for (at, _) in candidates().filter(|(_, c)| c.is_begun) {
            self.add(at);
        }
        let begun = candidates().filter(|(_, c)| c.is_begun && !c.is_unavailable);
        let on_the_way = begun.count() + wave.down;
        let mut wanted = wave.needed_at_once().saturating_sub(on_the_way);
        if on_the_way == 0 {
            wanted = wanted.max(1);
        }
        let mut free: Vec<usize> = candidates()
            .filter(|(_, c)| !c.is_begun && !c.is_unavailable)
            .map(|(at, _)| at)
            .collect();
        free.sort_by_cached_key(|&at| {
            let candidate = &wave.candidates[at];
            (
                !candidate.is_evacuated,
                self.path(candidate),
                candidate.used_cpu,
            )
        });
        let planned_time = wave.planned_time();
        for &at in free.iter().rev() {
            let candidate = &wave.candidates[at];
            let is_critical = self.path(candidate) + DOWN_TIME >= planned_time;
            let begins = if candidate.lasting.is_empty() {
                is_critical && wanted > 0
            } else {
                is_critical || wanted > 1
            };
            if begins && self.has_room_in_chains(candidate) {
                self.add(at);
                wanted = wanted.saturating_sub(1);
            }
        }
        for at in free {
            if wanted > 0 && !self.is_selected[at] {
                self.add(at);
                wanted -= 1;
            }
        }
        let selected = self.is_selected.iter().enumerate();
        selected.filter(|(_, is)| **is).map(|(at, _)| at).collect()
    }

    fn add(&mut self, at: usize) {
        self.is_selected[at] = true;
        let mut chains = self.wave.candidates[at].lasting.clone();
        chains.sort_unstable();
        chains.dedup();
        for chain in chains {
            self.by_chain[chain] += 1;
        }
    }

    /// Time until the longest chain that the instance's tasks belong to and its other tasks are
    /// over.
    fn path(&self, candidate: &Candidate) -> Duration {
        let chains = candidate.lasting.iter().map(|&c| &self.wave.chains[c]);
        let longest = chains.map(Chain::duration).max();
        longest.unwrap_or_default().max(candidate.runs_end_in)
    }

    /// Whether the instance has no lasting tasks, or some that could move now besides those of the
    /// selected ones.
    fn has_room_in_chains(&self, candidate: &Candidate) -> bool {
        let mut chains = candidate.lasting.iter();
        candidate.lasting.is_empty()
            || chains.any(|&c| self.by_chain[c] < self.wave.chains[c].at_once.max(1))
    }
}

fn forecast(wave: &Wave) -> Forecast {
    let remaining = wave.remaining();
    if remaining == 0 {
        return Forecast::default();
    }
    let max_down = wave.max_down.max(1);
    let rounds = count(remaining.div_ceil(max_down));
    let first = if wave.empty > 0 {
        Duration::ZERO
    } else {
        let times = wave.candidates.iter().map(|c| wave.emptying_time(c));
        times.min().unwrap_or_default()
    };
    let by_limit = first + DOWN_TIME * rounds;
    let chains = wave.chains.iter().enumerate();
    let longest = chains.max_by_key(|(_, chain)| chain.duration());
    let by_chain = longest.map(|(at, chain)| (at, chain.duration() + DOWN_TIME));
    let (ends_in, limit) = match by_chain {
        Some((at, ends_in)) if ends_in > by_limit => (ends_in, Limit::Chain(at)),
        _ => (by_limit, Limit::MaxDown),
    };
    Forecast {
        ends_in,
        late_instances: late_by_limit(wave, first).max(late_by_chain(wave)),
        limit,
    }
}

/// Number of instances that are late because too few may be down at once.
fn late_by_limit(wave: &Wave, first: Duration) -> usize {
    let remaining = wave.remaining();
    let time = wave.time_left.saturating_sub(first);
    let rounds = time.as_millis() / DOWN_TIME.as_millis();
    let rounds = usize::try_from(rounds).unwrap_or(usize::MAX);
    remaining.saturating_sub(rounds.saturating_mul(wave.max_down.max(1)))
}

/// Number of instances that are late because tasks of some chain leave them too late.
fn late_by_chain(wave: &Wave) -> usize {
    let time = wave.time_left.saturating_sub(DOWN_TIME);
    let steps = time.as_millis() / MOVE_TIME.as_millis();
    let steps = u32::try_from(steps).unwrap_or(u32::MAX);
    let left = wave.chains.iter().map(|chain| {
        let moved = steps.saturating_mul(chain.at_once.max(1));
        chain.tasks.saturating_sub(moved)
    });
    let left = usize::try_from(left.max().unwrap_or(0)).unwrap_or(usize::MAX);
    let with_lasting = wave.candidates.iter().filter(|c| !c.lasting.is_empty());
    left.min(with_lasting.count())
}

/// Converts a number of instances, rounding up.
fn round_up(number: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and the largest number stands for any above it"
    )]
    let rounded = number.ceil() as usize;
    rounded
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
