//! Properties that hold for any sequence of records.

use std::sync::atomic::{AtomicU32, Ordering};

use pomelohitch_core::record::{Body, DrainPurpose, FleetDecision, FleetStep, Leave, TakeTerm};
use pomelohitch_core::state::Phase;
use pomelohitch_core::state::waves::Spread;
use pomelohitch_core::{State, Verdict};

use crate::support::{Log, adopt, join, move_to, publish, spare, start_wave, team, web, withdraw};

/// Selects one record, usually one that the state accepts; see [`body`].
type Choice = (u8, u8, u8);

const POOLS: [&str; 3] = ["web", "spare", "gone"];

fn body(log: &Log, (kind, a, b): Choice) -> Body {
    let id = format!("i{}", a % 6);
    let since = log
        .state
        .fleet
        .instances
        .get(&*id)
        .map_or(u64::from(b), |i| i.since);
    let instance = id.as_str().into();
    let base = |path: &str| log.state.config.files.get(path).map(|file| file.version);
    let step = match kind % 18 {
        0 => return join(["a", "b"][usize::from(a % 2)]),
        1 => {
            let (member, known) = match log.state.members.by_id.iter().nth(usize::from(a % 2)) {
                Some((member, known)) => (member.clone(), known.incarnation),
                None => ("a".into(), 0),
            };
            return Body::TakeTerm(TakeTerm {
                member,
                incarnation: known,
                term: log.state.members.term + u64::from(b % 8 != 0),
            });
        }
        2 if b % 8 == 0 => {
            return Body::Leave(Leave {
                member: "b".into(),
                incarnation: log
                    .state
                    .members
                    .by_id
                    .get("b")
                    .map_or(0, |m| m.incarnation),
            });
        }
        2 | 3 => return publish("web", base("web"), Some(web(u32::from(b % 4)))),
        4 if b % 4 == 0 => return publish("spare", base("spare"), None),
        4 => return publish("spare", base("spare"), Some(spare(u32::from(b % 3)))),
        5 => return publish("team", base("team"), Some(team("snow", &["k0", "k1"]))),
        6 => return withdraw(["k0", "k1"][usize::from(b % 2)]),
        7 => {
            return start_wave(
                POOLS[usize::from(a % 3)],
                pomelohitch_core::record::WaveLimits::default(),
            );
        }
        8..=10 => adopt(&id, POOLS[usize::from(b % 3)], a % 6),
        11 => drain(instance, since, DrainPurpose::Maintain),
        12 => drain(instance, since, move_to(POOLS[usize::from(b % 3)])),
        13 if b % 4 == 0 => drain(instance, since, DrainPurpose::Leaving),
        13 | 14 => FleetStep::Drained { instance, since },
        15 => FleetStep::Return { instance, since },
        16 if b % 2 == 0 => FleetStep::Fail { instance, since },
        16 => FleetStep::Forget { instance, since },
        _ => FleetStep::EndWave {
            pool: "web".into(),
            since: log
                .state
                .waves
                .by_pool
                .get("web")
                .map_or(0, |wave| wave.since),
        },
    };
    let term = log.state.members.term;
    Body::Fleet(FleetDecision { term, step })
}

fn drain(instance: Box<str>, since: u64, purpose: DrainPurpose) -> FleetStep {
    FleetStep::Drain {
        instance,
        since,
        purpose,
    }
}

fn assert_rules(state: &State) {
    for (id, instance) in &state.fleet.instances {
        assert!(
            state.config.pools.contains_key(&instance.pool),
            "{id} is in {}, which isn't a pool",
            instance.pool
        );
        let to = instance.phase.moving_to();
        assert!(
            to.is_none_or(|to| state.config.pools.contains_key(to)),
            "{id} moves to {to:?}, which isn't a pool"
        );
    }
    for key in state.withdrawn.iter() {
        assert!(state.team_of_key(key).is_none(), "{key} is withdrawn");
    }
}

/// Asserts that an accepted drain respects pauses, floors, wave limits and availability budgets.
fn assert_budgets_kept(before: &State, after: &State, body: &Body) {
    let Body::Fleet(FleetDecision {
        step: FleetStep::Drain {
            instance, purpose, ..
        },
        ..
    }) = body
    else {
        return;
    };
    let pool = &before.fleet.instances[instance].pool;
    match purpose {
        DrainPurpose::Leaving => return,
        DrainPurpose::MoveTo(_) => {
            assert!(after.fleet.staying_in(pool) >= after.config.pools[pool].floor);
        }
        DrainPurpose::Maintain => {
            let zones = Spread::of(&after.fleet, pool).zones.len();
            let limit = after.waves.by_pool[pool].limits.zones;
            assert!(limit.is_none_or(|limit| zones <= limit as usize));
        }
    }
    assert!(!after.waves.is_paused(pool));
    for service in after.config.services.values() {
        let (had, left) = (
            before.fleet.active_in(&service.pool),
            after.fleet.active_in(&service.pool),
        );
        assert!(left == had || left >= service.min_available);
    }
}

#[test]
fn no_records_break_a_rule() {
    pomelohitch_property::check(|choices: &Vec<Choice>| {
        let mut log = Log::with_instances();
        for choice in choices {
            let before = log.state.clone();
            let body = body(&log, *choice);
            let verdict = log.append(body.clone());
            if verdict == Verdict::Accepted {
                assert_budgets_kept(&before, &log.state, &body);
            } else {
                assert_unchanged(&before, &log.state);
            }
            assert_rules(&log.state);
        }
    });
}

/// Asserts that all parts that these records can change are equal.
fn assert_unchanged(before: &State, after: &State) {
    assert_eq!(before.config, after.config);
    assert_eq!(before.withdrawn, after.withdrawn);
    assert_eq!(before.members, after.members);
    assert_eq!(before.fleet, after.fleet);
    assert_eq!(before.waves, after.waves);
    assert_eq!(before.jobs, after.jobs);
}

#[test]
fn the_same_records_give_the_same_state_whichever_snapshot_a_reader_starts_from() {
    pomelohitch_property::check(|(at, choices): &(u8, Vec<Choice>)| {
        let mut log = Log::with_instances();
        let mut late_reader: Option<State> = None;
        for (n, choice) in choices.iter().enumerate() {
            if n == usize::from(*at % 16) {
                late_reader = Some(round_trip(&log.state));
            }
            let offset = log.state.next;
            let verdict = log.append(body(&log, *choice));
            if let Some(late_reader) = &mut late_reader {
                let record = log.records.last().expect("a record was just appended");
                assert_eq!(late_reader.apply(offset, record), verdict);
                assert_eq!(*late_reader, log.state);
            }
        }
        let mut replayed = State::default();
        for (offset, record) in (0..).zip(&log.records) {
            replayed.apply(offset, record);
        }
        assert_eq!(replayed, log.state);
    });
}

fn round_trip(state: &State) -> State {
    let text = serde_json::to_string(state).expect("all map keys serialise as strings");
    serde_json::from_str(&text).expect("a serialised state can be deserialised")
}

#[test]
fn a_record_that_lands_twice_changes_nothing_the_second_time() {
    pomelohitch_property::check(|choices: &Vec<(Choice, u8)>| {
        let mut log = Log::with_instances();
        for (choice, earlier) in choices {
            log.append(body(&log, *choice));
            let earlier = usize::from(*earlier) % log.records.len();
            let first = log.state.offset_of(&log.records[earlier].id);
            let before = log.state.clone();
            let verdict = log.append_record(log.records[earlier].clone());
            let first = first.expect("all ids are within the repeat window");
            assert_eq!(verdict, Verdict::Repeat(first));
            assert_unchanged(&before, &log.state);
        }
    });
}

#[test]
fn generated_records_reach_every_phase() {
    // The other properties would hold trivially if all records were rejected.
    static REACHED: [AtomicU32; 4] = [const { AtomicU32::new(0) }; 4];
    pomelohitch_property::check(|choices: &Vec<Choice>| {
        let mut log = Log::with_instances();
        for choice in choices {
            log.append(body(&log, *choice));
        }
        for instance in log.state.fleet.instances.values() {
            let phase = match instance.phase {
                Phase::Active => 0,
                Phase::Draining(_) => 1,
                Phase::Drained(_) => 2,
                Phase::Failed => 3,
            };
            REACHED[phase].fetch_add(1, Ordering::Relaxed);
        }
    });
    assert!(
        REACHED.iter().all(|n| n.load(Ordering::Relaxed) > 0),
        "{REACHED:?}"
    );
}
