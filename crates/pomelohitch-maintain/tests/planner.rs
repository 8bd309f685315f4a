//! Planning passes over the real fold and a simulated platform in virtual time.

#[allow(dead_code, reason = "shared with the measurements, which use the rest")]
#[path = "../examples/measure/simulation.rs"]
mod simulation;

use std::time::Duration;

use pomelohitch_core::Verdict;
use pomelohitch_core::config::FleetFile;
use pomelohitch_core::record::{Body, DrainPurpose, FleetStep, MaintainOrder, WaveLimits};
use pomelohitch_core::state::Phase;
use pomelohitch_maintain::demand::{self, Load, Weighting};
use pomelohitch_maintain::{Decision, Options, Planner};
use pomelohitch_platform::instances::ListedState;
use simulation::{Simulation, pool, service};

const TICK: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

fn file(min_available: u32) -> FleetFile {
    FleetFile {
        pools: vec![pool("web", false, 0), pool("staff", true, 2)],
        services: vec![service("passes", "web", min_available)],
        ..FleetFile::default()
    }
}

/// A pool of 12 instances with a budget of 9, and a spare pool of 4 with a floor of 2.
fn simulation() -> Simulation {
    let mut sim = Simulation::new(Planner::default(), file(9));
    sim.add_instances("web", 12);
    sim.add_instances("staff", 4);
    let adopted = sim.run_until(TICK, HOUR, |sim| sim.state.fleet.instances.len() == 16);
    adopted.expect("every listed instance is adopted");
    sim
}

fn start_wave(sim: &mut Simulation) {
    sim.accept(Body::Maintain(MaintainOrder::Start {
        pool: "web".into(),
        limits: WaveLimits::default(),
    }));
}

fn active(sim: &Simulation) -> u32 {
    sim.state.fleet.active_in("web")
}

fn instances_in_phase(sim: &Simulation, is: impl Fn(&Phase) -> bool) -> Vec<Box<str>> {
    let instances = sim.state.fleet.instances.iter();
    let found = instances.filter(|(_, i)| is(&i.phase));
    found.map(|(id, _)| id.clone()).collect()
}

fn draining(sim: &Simulation) -> Vec<Box<str>> {
    instances_in_phase(sim, |phase| matches!(phase, Phase::Draining(_)))
}

fn drained(sim: &Simulation) -> Vec<Box<str>> {
    instances_in_phase(sim, |phase| matches!(phase, Phase::Drained(_)))
}

fn set_listed_state(sim: &mut Simulation, id: &str, state: ListedState) {
    sim.platform.get_mut(id).expect("it is listed").state = state;
}

#[test]
fn a_wave_maintains_every_instance_once_and_keeps_the_budget() {
    let mut sim = simulation();
    start_wave(&mut sim);
    let since = sim.state.waves.by_pool["web"].since;
    let mut least = u32::MAX;
    let took = sim.run_until(TICK, HOUR, |sim| {
        least = least.min(active(sim));
        sim.state.waves.by_pool.is_empty()
    });
    let web: Vec<_> = sim.state.fleet.in_pool("web").collect();
    assert!(web.iter().all(|(_, i)| i.maintained > since));
    assert_eq!(web.len(), 12);
    assert_eq!(least, 9, "the wave uses the whole budget and no more");
    assert!(sim.rejected.is_empty(), "{:?}", sim.rejected);
    insta::assert_debug_snapshot!(took, @"
    Some(
        853s,
    )
    ");
}

#[test]
fn a_failure_during_a_wave_cancels_drains() {
    // Three instances drain, as many as the budget allows, and a fourth one fails. Without a
    // cancellation the service stays below its budget until a drained instance returns.
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.run_until(TICK, HOUR, |sim| draining(sim).len() == 3)
        .expect("the wave begins");
    let victim = instances_in_phase(&sim, |phase| *phase == Phase::Active)
        .into_iter()
        .find(|id| &*sim.platform[id].pool == "web")
        .expect("another instance is active");
    set_listed_state(&mut sim, &victim, ListedState::Down);
    sim.run_until(TICK, HOUR, |sim| {
        instances_in_phase(sim, |p| *p == Phase::Failed).len() == 1
    })
    .expect("the failure is noticed");
    sim.run_planner();
    assert_eq!((active(&sim), draining(&sim).len()), (9, 2));
    sim.now += TICK;
    sim.run_planner();
    assert_eq!(draining(&sim).len(), 2, "no further drain");
}

#[test]
fn a_raised_budget_cancels_drains() {
    // An operator raises the budget while instances drain for a wave.
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.run_until(TICK, HOUR, |sim| draining(sim).len() == 3)
        .expect("the wave begins");
    sim.publish(file(11));
    sim.run_planner();
    assert_eq!((active(&sim), draining(&sim).len()), (11, 1));
}

#[test]
fn a_stale_list_starts_nothing_new() {
    // A list that is no longer updated hides failures, so a wave that continued would drain
    // instances in addition to those that failed.
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.list_is_stale = true;
    for _ in 0..10 {
        let plan = sim.run_planner();
        assert!(plan.decisions.is_empty(), "{:?}", plan.decisions);
        sim.now += TICK;
    }
    sim.list_is_stale = false;
    sim.run_planner();
    assert_eq!(draining(&sim).len(), 3);
}

#[test]
fn effects_in_progress_complete_with_a_stale_list() {
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.run_planner();
    assert_eq!(draining(&sim).len(), 3);
    sim.list_is_stale = true;
    sim.run_until(TICK, HOUR, |sim| active(sim) == 12)
        .expect("the three instances return");
}

#[test]
fn an_instance_that_never_comes_back_is_lost_and_the_wave_goes_on() {
    // Without a timeout, an instance that fails to reboot occupies part of the budget for ever, and
    // the wave slows down with each one.
    let mut sim = simulation();
    sim.never_return.insert("instance-00000".into());
    start_wave(&mut sim);
    sim.run_until(TICK, HOUR, |sim| sim.state.waves.by_pool.is_empty())
        .expect("the wave ends");
    assert_eq!(
        instances_in_phase(&sim, |p| *p == Phase::Failed),
        ["instance-00000".into()]
    );
}

#[test]
fn a_wave_that_loses_instances_is_paused_until_an_operator_resumes_it() {
    // If the maintenance itself breaks instances, a wave that continued would break all of them.
    let mut sim = simulation();
    for n in 0..12 {
        sim.never_return.insert(format!("instance-{n:05}").into());
    }
    start_wave(&mut sim);
    sim.run_until(TICK, HOUR, |sim| sim.state.waves.is_paused("web"))
        .expect("the wave is paused");
    let lost = instances_in_phase(&sim, |p| *p == Phase::Failed).len();
    sim.run_until(TICK, HOUR, |_| false);
    assert!(instances_in_phase(&sim, |p| *p == Phase::Failed).len() <= lost + 1);
    assert!(active(&sim) >= 9);
    let pool = Some("web".into());
    sim.accept(Body::Maintain(MaintainOrder::Resume { pool }));
    sim.run_planner();
    assert!(
        !sim.state.waves.is_paused("web"),
        "not paused again at once"
    );
}

#[test]
fn a_new_planner_completes_a_move_that_its_predecessor_began() {
    // The platform has moved a drained instance, and the planner ends before it records this. The
    // new planner has no memory of it and must bring the instance back as active in its new pool.
    let mut sim = simulation();
    let id = "instance-00012";
    let step = FleetStep::Drain {
        instance: id.into(),
        since: sim.state.fleet.instances[id].since,
        purpose: DrainPurpose::MoveTo("web".into()),
    };
    let body = Decision::Fleet(step).body(&sim.state);
    assert_eq!(sim.append(body), Verdict::Accepted);
    sim.run_until(TICK, HOUR, |sim| drained(sim).len() == 1)
        .expect("the instance is drained");
    sim.platform.get_mut(id).expect("listed").pool = "web".into();
    set_listed_state(&mut sim, id, ListedState::Live);
    sim.planner = Planner::default();
    sim.run_until(TICK, HOUR, |sim| active(sim) == 13)
        .expect("the new planner completes the move");
    assert_eq!(&*sim.state.fleet.instances[id].pool, "web");
}

#[test]
fn a_recovered_instance_is_adopted_into_the_pool_that_the_platform_lists() {
    let mut sim = simulation();
    let id = "instance-00000";
    set_listed_state(&mut sim, id, ListedState::Down);
    sim.run_until(TICK, HOUR, |sim| active(sim) == 11)
        .expect("the failure is noticed");
    set_listed_state(&mut sim, id, ListedState::Live);
    sim.platform.get_mut(id).expect("listed").pool = "staff".into();
    sim.run_until(TICK, HOUR, |sim| sim.state.fleet.active_in("staff") == 5)
        .expect("it is adopted again");
}

#[test]
fn a_drain_waits_until_every_entry_instance_knows() {
    // The platform reports an instance as drained once it is idle for a moment. An entry instance
    // that has not read the drain yet keeps sending requests, which the reboot would cut off.
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.applied_by_all = Some(sim.state.next);
    sim.run_planner();
    assert_eq!(draining(&sim).len(), 3);
    sim.now += TICK;
    let waiting = sim.run_planner();
    assert!(waiting.effects.is_empty());
    sim.applied_by_all = None;
    assert_eq!(sim.run_planner().effects.len(), 3);
}

#[test]
fn an_unreachable_entry_instance_delays_a_drain_by_at_most_the_propagation_timeout() {
    let mut sim = simulation();
    start_wave(&mut sim);
    sim.applied_by_all = Some(0);
    sim.run_planner();
    assert!(sim.run_planner().effects.is_empty());
    sim.now += Options::default().propagation_timeout;
    assert_eq!(sim.run_planner().effects.len(), 3);
}

#[test]
fn a_drain_that_never_ends_is_cancelled_and_the_wave_goes_on() {
    // A request that never ends keeps its instance draining. Without a timeout the instance
    // occupies part of the budget for ever; a reboot would cut the request off.
    let mut sim = simulation();
    let id = "instance-00000";
    sim.drain_times.insert(id.into(), 1000 * HOUR);
    start_wave(&mut sim);
    let since = sim.state.waves.by_pool["web"].since;
    let others_are_maintained = |sim: &Simulation| {
        let web = sim.state.fleet.in_pool("web");
        web.filter(|(_, i)| i.maintained > since).count() == 11
    };
    sim.run_until(TICK, HOUR, others_are_maintained)
        .expect("the others are maintained");
    let is_back = |sim: &Simulation| active(sim) == 12;
    sim.run_until(TICK, HOUR, is_back)
        .expect("the drain is cancelled");
    sim.run_until(TICK, HOUR, |_| false);
    assert_eq!(active(&sim), 12, "not drained again within the retry delay");
    sim.drain_times.remove(id);
    let ended = |sim: &Simulation| sim.state.waves.by_pool.is_empty();
    sim.run_until(TICK, 4 * HOUR, ended)
        .expect("the instance is maintained later");
}

#[test]
fn an_instance_that_is_still_drained_at_the_platform_is_undrained() {
    // After a cancelled drain, or a late call of a paused planner, the instance is active in the
    // log but gets no work from the platform.
    let mut sim = simulation();
    set_listed_state(&mut sim, "instance-00000", ListedState::Drained);
    let live = |sim: &Simulation| sim.platform["instance-00000"].state == ListedState::Live;
    sim.run_until(TICK, HOUR, live).expect("it is undrained");
}

#[test]
fn a_pool_that_lacks_instances_gets_spares_but_not_below_their_floor() {
    let mut sim = simulation();
    sim.needs = [("web".into(), 16)].into();
    sim.run_until(TICK, HOUR, |sim| active(sim) == 14)
        .expect("two spares are moved");
    sim.run_until(TICK, HOUR, |_| false);
    assert_eq!((active(&sim), sim.state.fleet.active_in("staff")), (14, 2));
    assert!(sim.rejected.is_empty(), "{:?}", sim.rejected);
}

#[test]
fn a_burst_of_a_few_seconds_moves_no_instance() {
    // Instances moved for a burst of some seconds would arrive after its end, and be missing in
    // the pool that they came from.
    let mut sim = simulation();
    for second in 0..600 {
        let need = if second % 40 < 20 { 14 } else { 4 };
        sim.needs = [("web".into(), need)].into();
        sim.run_planner();
        sim.now += TICK;
    }
    assert_eq!(sim.moves, 0);
}

#[test]
fn the_need_is_a_quantile_of_averaged_load() {
    let options = demand::Options::weighted(Weighting::FewMoves);
    let mut load = Load::default();
    for second in 0..3600_u32 {
        let burst = second % 60 < 10;
        let busy = if burst { 200.0 } else { 2.0 };
        load.measure(&options, Duration::from_secs(second.into()), busy);
    }
    // Each window holds two bursts of 10 s, 35 busy slots on average. An instance has 8 slots, of
    // which 65 % are planned to be busy.
    assert_eq!(load.need(&options, 8), Some(7));
    assert_eq!(Load::default().need(&options, 8), None);
}

#[test]
fn a_pool_whose_instances_wait_for_weeks_gets_a_wave_by_itself() {
    // Every instance must be maintained once in five weeks, also without an order of an operator.
    let mut sim = simulation();
    sim.now += Options::default().maintain_after.saturating_sub(HOUR);
    sim.run_planner();
    assert!(sim.state.waves.by_pool.is_empty());
    sim.now += 2 * HOUR;
    let maintained = |sim: &Simulation| {
        let instances = &sim.state.fleet.instances;
        sim.state.waves.by_pool.is_empty() && instances.values().all(|i| i.maintained > 20)
    };
    sim.run_planner();
    assert_eq!(sim.state.waves.by_pool.len(), 2);
    sim.run_until(TICK, 24 * HOUR, maintained)
        .expect("both pools are maintained");
}

/// Applies a random event between two planning passes, and advances the clock.
fn apply_event(sim: &mut Simulation, (kind, which): (u8, u8)) {
    let ids: Vec<_> = sim.platform.keys().cloned().collect();
    let id = &ids[usize::from(which) % ids.len()];
    match kind % 8 {
        0 => set_listed_state(sim, id, ListedState::Down),
        1 => recover(sim, id),
        2 => sim.planner = Planner::default(),
        3 => sim.list_is_stale = !sim.list_is_stale,
        4 => sim.publish(file(6 + u32::from(which % 6))),
        5 => sim.needs = [("web".into(), 8 + u32::from(which % 8))].into(),
        6 if !sim.state.waves.by_pool.contains_key("web") => start_wave(sim),
        _ => {}
    }
    sim.now += Duration::from_secs(u64::from(which % 64));
}

fn recover(sim: &mut Simulation, id: &str) {
    if sim.platform[id].state == ListedState::Down {
        set_listed_state(sim, id, ListedState::Live);
    }
}

/// Applies failures, planner restarts, stale lists, budget changes and waves in any order, and
/// checks that no decision is rejected and that every instance is active again some time after
/// the last event.
fn check_recovery(events: &[(u8, u8)]) {
    let mut sim = simulation();
    sim.run_planner();
    sim.list_lags = events.len().is_multiple_of(2);
    sim.run_planner();
    for event in events {
        apply_event(&mut sim, *event);
        sim.run_planner();
    }
    assert!(sim.rejected.is_empty(), "{:?}", sim.rejected);
    sim.list_is_stale = false;
    for id in sim.platform.keys().cloned().collect::<Vec<_>>() {
        recover(&mut sim, &id);
    }
    sim.publish(file(6));
    let pool = Some("web".into());
    sim.accept(Body::Maintain(MaintainOrder::Resume { pool }));
    let is_recovered = |sim: &Simulation| {
        let working = instances_in_phase(sim, |phase| *phase == Phase::Active).len();
        sim.state.waves.by_pool.is_empty() && working == 16
    };
    let recovered = sim.run_until(5 * TICK, 4 * HOUR, is_recovered);
    assert!(recovered.is_some(), "{:?}", sim.state.fleet);
}

#[test]
fn no_decision_is_rejected_and_every_instance_returns_to_work() {
    pomelohitch_property::check(|events: &Vec<(u8, u8)>| check_recovery(events));
}

/// Time covered by a stale list must not count towards the return timeout: an instance that reboots
/// meanwhile would be marked as failed.
#[test]
fn an_instance_that_reboots_during_a_stale_list_is_not_failed() {
    let seed = 161_786_985_636_042_651_898_766_093_771_730_925_357;
    pomelohitch_property::check_one(seed, |events: &Vec<(u8, u8)>| check_recovery(events));
}
