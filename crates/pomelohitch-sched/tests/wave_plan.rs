//! Plans of maintenance waves, and waves played by them.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_sched::wave_plan::{Candidate, Chain, DOWN_TIME, Limit, MOVE_TIME, Wave, plan};

const SECOND: Duration = Duration::from_secs(1);

/// An instance with ordinary tasks that end within a second.
fn busy() -> Candidate {
    Candidate {
        runs_end_in: SECOND,
        used_cpu: 1_000,
        ..Candidate::default()
    }
}

fn with_lasting(chain: usize) -> Candidate {
    Candidate {
        lasting: vec![chain],
        ..busy()
    }
}

fn wave(candidates: Vec<Candidate>, chains: Vec<Chain>) -> Wave {
    Wave {
        candidates,
        chains,
        max_down: 20,
        within: 60 * SECOND,
        time_left: 60 * SECOND,
        ..Wave::default()
    }
}

#[test]
fn an_instance_that_is_being_emptied_stays_selected() {
    let mut candidates = vec![busy(); 5];
    candidates[3] = Candidate {
        is_begun: true,
        used_cpu: 9_000,
        ..busy()
    };
    assert_eq!(plan(&wave(candidates, Vec::new())).emptying, [3]);
}

/// Guards against waiting for instances whose rack is down while those that could be emptied are
/// left.
#[test]
fn instances_that_cannot_be_emptied_take_no_place() {
    let down = Candidate {
        is_unavailable: true,
        ..Candidate::default()
    };
    let mut candidates = vec![down; 20];
    candidates.extend(vec![busy(); 4]);
    let plan = plan(&wave(candidates, Vec::new()));
    assert!(!plan.emptying.is_empty());
    assert!(plan.emptying.iter().all(|&at| at >= 20));
}

#[test]
fn a_chain_that_takes_the_rest_of_the_time_begins_first() {
    let mut candidates = vec![busy(); 5];
    candidates.extend(vec![with_lasting(0); 22]);
    let chain = Chain {
        tasks: 22,
        at_once: 1,
    };
    let planned = plan(&wave(candidates, vec![chain]));
    let lasting = planned.emptying.iter().filter(|&&at| at >= 5);
    assert_eq!(lasting.count(), 1, "{planned:?}");
}

#[test]
fn more_are_emptied_at_once_as_time_runs_out() {
    let at_once = [60, 40, 30, 20, 10].map(|seconds| {
        let wave = Wave {
            time_left: seconds * SECOND,
            ..wave(vec![busy(); 100], Vec::new())
        };
        plan(&wave).emptying.len()
    });
    assert!(at_once.is_sorted(), "{at_once:?}");
    assert!(at_once[0] < at_once[4], "{at_once:?}");
}

/// Guards against instances that are emptied and then wait, without work, for others to be back.
#[test]
fn no_more_are_emptied_than_may_soon_be_down() {
    let wave = Wave {
        max_down: 4,
        time_left: SECOND,
        ..wave(vec![busy(); 100], Vec::new())
    };
    assert!(plan(&wave).emptying.len() <= 8);
}

#[test]
fn the_forecast_names_what_limits_the_wave() {
    let chain = |tasks| Chain { tasks, at_once: 2 };
    let chains = vec![chain(10), chain(41)];
    let candidates = vec![with_lasting(0), with_lasting(1)];
    let by_chain = plan(&wave(candidates, chains)).forecast;
    assert_eq!(by_chain.limit, Limit::Chain(1));
    assert_eq!(by_chain.ends_in, 21 * MOVE_TIME + DOWN_TIME);

    let narrow = Wave {
        max_down: 1,
        ..wave(vec![busy(); 40], Vec::new())
    };
    let by_limit = plan(&narrow).forecast;
    assert_eq!(by_limit.limit, Limit::MaxDown);
    assert_eq!(by_limit.ends_in, SECOND + 40 * DOWN_TIME);
    assert!(by_limit.is_late(narrow.time_left, false));
    assert_eq!(by_limit.late_instances, 19);
}

/// Guards against a verdict that changes with each look while a wave is just in time.
#[test]
fn a_late_wave_is_in_time_again_only_with_some_distance() {
    let forecast = plan(&wave(vec![busy(); 10], Vec::new())).forecast;
    let just_enough = forecast.ends_in;
    assert!(!forecast.is_late(just_enough, false));
    assert!(forecast.is_late(just_enough, true));
    assert!(!forecast.is_late(just_enough + 2 * SECOND, true));
}

/// A wave in play: instances empty and return, and the lasting tasks of a step move as many at once
/// as allowed, from selected instances.
struct Play {
    wave: Wave,
    /// When each instance down is back.
    back_at: Vec<Duration>,
    /// When each selected instance in use is empty of tasks that end by themselves.
    empty_at: BTreeMap<usize, Duration>,
    /// Moves under way: chain and end.
    moves: Vec<(usize, Duration)>,
    is_done: Vec<bool>,
    most_on_the_way: usize,
}

impl Play {
    fn new(wave: Wave) -> Play {
        Play {
            is_done: vec![false; wave.candidates.len()],
            wave,
            back_at: Vec::new(),
            empty_at: BTreeMap::new(),
            moves: Vec::new(),
            most_on_the_way: 0,
        }
    }

    /// The wave as it is left, and the index of each of its candidates.
    fn left(&self, now: Duration) -> (Wave, Vec<usize>) {
        let left: Vec<usize> = (0..self.is_done.len())
            .filter(|&at| !self.is_done[at])
            .collect();
        let candidates: Vec<_> = left
            .iter()
            .map(|&at| self.wave.candidates[at].clone())
            .collect();
        let mut chains = self.wave.chains.clone();
        for (index, chain) in chains.iter_mut().enumerate() {
            let tasks = candidates
                .iter()
                .flat_map(|c| &c.lasting)
                .filter(|&&c| c == index);
            chain.tasks = u32::try_from(tasks.count()).expect("a few tasks");
        }
        let wave = Wave {
            candidates,
            chains,
            down: self.back_at.len(),
            time_left: self.wave.within.saturating_sub(now),
            ..self.wave
        };
        (wave, left)
    }

    fn step(&mut self, now: Duration) {
        self.back_at.retain(|&at| at > now);
        self.moves.retain(|&(_, end)| end > now);
        let (left, index) = self.left(now);
        let selected: Vec<usize> = plan(&left)
            .emptying
            .into_iter()
            .map(|at| index[at])
            .collect();
        self.most_on_the_way = self
            .most_on_the_way
            .max(selected.len() + self.back_at.len());
        for at in selected {
            let candidate = &mut self.wave.candidates[at];
            candidate.is_begun = true;
            let empty_at = *self
                .empty_at
                .entry(at)
                .or_insert(now + candidate.runs_end_in);
            if let Some(&chain) = candidate.lasting.first() {
                let moving = self.moves.iter().filter(|(c, _)| *c == chain).count();
                if moving < self.wave.chains[chain].at_once as usize {
                    candidate.lasting.remove(0);
                    self.moves.push((chain, now + MOVE_TIME));
                    self.empty_at.insert(at, empty_at.max(now + MOVE_TIME));
                }
            } else if empty_at <= now && self.back_at.len() < self.wave.max_down {
                self.is_done[at] = true;
                self.back_at.push(now + DOWN_TIME);
            }
        }
    }

    /// Plays the wave and returns when it ends. Nothing is decided in `pauses`.
    fn run(&mut self, pauses: &[(Duration, Duration)]) -> Duration {
        let mut now = Duration::ZERO;
        while self.is_done.contains(&false) || !self.back_at.is_empty() {
            now += SECOND / 5;
            assert!(now < 10 * self.wave.within, "the wave doesn't end");
            if !pauses.iter().any(|&(from, to)| from <= now && now < to) {
                self.step(now);
            }
        }
        now
    }
}

/// 350 instances, half of them with lasting tasks of eight steps, 12 of each, one at a time.
fn fleet_wave() -> Wave {
    let candidates = (0..175).map(|at| match at {
        0..96 => with_lasting(at % 8),
        _ => busy(),
    });
    let chain = Chain {
        tasks: 12,
        at_once: 1,
    };
    Wave {
        within: 40 * SECOND,
        max_down: 40,
        ..wave(candidates.collect(), vec![chain; 8])
    }
}

/// The load of a wave over half of a fleet with chains of lasting tasks.
#[test]
fn a_wave_with_chains_ends_before_its_reserve() {
    let mut play = Play::new(fleet_wave());
    let end = play.run(&[]);
    assert!(end <= 32 * SECOND, "{end:?}");
    assert!(play.most_on_the_way <= 60, "{}", play.most_on_the_way);
}

/// The same load while leaders are lost and the store is away for a while.
#[test]
fn a_wave_ends_in_time_although_nothing_is_decided_for_a_while() {
    let pauses = [(3, 6), (13, 16), (22, 26)].map(|(from, to)| (from * SECOND, to * SECOND));
    let mut play = Play::new(fleet_wave());
    let end = play.run(&pauses);
    assert!(end <= 40 * SECOND, "{end:?}");
}

/// The load of a wave over all instances of the largest fleet.
#[test]
fn a_plan_for_the_largest_fleet_takes_milliseconds() {
    let candidates = (0..6_800).map(|at| with_lasting(at % 240)).collect();
    let chain = Chain {
        tasks: 29,
        at_once: 2,
    };
    let wave = Wave {
        max_down: 400,
        within: 600 * SECOND,
        time_left: 600 * SECOND,
        ..wave(candidates, vec![chain; 240])
    };
    let began = std::time::Instant::now();
    let emptying = plan(&wave).emptying;
    assert!(began.elapsed() < SECOND / 2, "{:?}", began.elapsed());
    assert!(!emptying.is_empty());
}
