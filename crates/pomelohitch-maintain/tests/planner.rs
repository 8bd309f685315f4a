//! What a planner decides, over the real fold and a platform in virtual time.

#[allow(dead_code, reason = "shared with the measurements, which use the rest")]
#[path = "../examples/measure/site.rs"]
mod site;

use std::time::Duration;

use pomelohitch_core::Verdict;
use pomelohitch_core::config::FleetFile;
use pomelohitch_core::record::{Body, DrainPurpose, FleetStep, MaintainOrder, WaveLimits};
use pomelohitch_core::state::Phase;
use pomelohitch_maintain::demand::{self, Load, Weighting};
use pomelohitch_maintain::{Decision, Options, Planner};
use pomelohitch_platform::instances::ListedState;
use site::{Site, pool, service};

const TICK: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

fn file(min_available: u32) -> FleetFile {
    FleetFile {
        pools: vec![pool("web", false, 0), pool("staff", true, 2)],
        services: vec![service("passes", "web", min_available)],
        ..FleetFile::default()
    }
}

/// 12 instances of which 9 have to stay, and 4 spares of which 2 have to stay.
fn site() -> Site {
    let mut site = Site::new(Planner::default(), file(9));
    site.add_instances("web", 12);
    site.add_instances("staff", 4);
    let adopted = site.run_until(TICK, HOUR, |site| site.state.fleet.instances.len() == 16);
    adopted.expect("every listed instance is adopted");
    site
}

fn start_wave(site: &mut Site) {
    site.accept(Body::Maintain(MaintainOrder::Start {
        pool: "web".into(),
        limits: WaveLimits::default(),
    }));
}

fn active(site: &Site) -> u32 {
    site.state.fleet.active_in("web")
}

fn in_phase(site: &Site, is: impl Fn(&Phase) -> bool) -> Vec<Box<str>> {
    let instances = site.state.fleet.instances.iter();
    let found = instances.filter(|(_, i)| is(&i.phase));
    found.map(|(id, _)| id.clone()).collect()
}

fn draining(site: &Site) -> Vec<Box<str>> {
    in_phase(site, |phase| matches!(phase, Phase::Draining(_)))
}

fn drained(site: &Site) -> Vec<Box<str>> {
    in_phase(site, |phase| matches!(phase, Phase::Drained(_)))
}

fn set(site: &mut Site, id: &str, state: ListedState) {
    site.platform.get_mut(id).expect("it is listed").state = state;
}

#[test]
fn a_wave_maintains_every_instance_once_and_keeps_the_budget() {
    let mut site = site();
    start_wave(&mut site);
    let since = site.state.waves.by_pool["web"].since;
    let mut least = u32::MAX;
    let took = site.run_until(TICK, HOUR, |site| {
        least = least.min(active(site));
        site.state.waves.by_pool.is_empty()
    });
    let web: Vec<_> = site.state.fleet.in_pool("web").collect();
    assert!(web.iter().all(|(_, i)| i.maintained > since));
    assert_eq!(web.len(), 12);
    assert_eq!(least, 9, "as fast as the budget allows, and no faster");
    assert!(site.rejected.is_empty(), "{:?}", site.rejected);
    insta::assert_debug_snapshot!(took, @"
    Some(
        853s,
    )
    ");
}

#[test]
fn a_failure_in_mid_wave_takes_drains_back() {
    // Three instances drain, which is all that the budget allows, and a fourth one fails. Callers
    // would meet a service below its budget until the slowest of the three has rebooted.
    let mut site = site();
    start_wave(&mut site);
    site.run_until(TICK, HOUR, |site| draining(site).len() == 3)
        .expect("the wave begins");
    let victim = in_phase(&site, |phase| *phase == Phase::Active)
        .into_iter()
        .find(|id| &*site.platform[id].pool == "web")
        .expect("others work");
    set(&mut site, &victim, ListedState::Down);
    site.run_until(TICK, HOUR, |site| {
        in_phase(site, |p| *p == Phase::Failed).len() == 1
    })
    .expect("the failure is noticed");
    site.look();
    assert_eq!((active(&site), draining(&site).len()), (9, 2));
    site.now += TICK;
    site.look();
    assert_eq!(draining(&site).len(), 2, "no further drain");
}

#[test]
fn a_raised_budget_takes_drains_back() {
    // An operator raises the budget while instances drain for a wave.
    let mut site = site();
    start_wave(&mut site);
    site.run_until(TICK, HOUR, |site| draining(site).len() == 3)
        .expect("the wave begins");
    site.publish(file(11));
    site.look();
    assert_eq!((active(&site), draining(&site).len()), (11, 1));
}

#[test]
fn a_stale_list_starts_nothing_new() {
    // The platform's list stands still. It shows no failures any more, so a wave that went on by
    // it would take instances away on top of those that failed meanwhile.
    let mut site = site();
    start_wave(&mut site);
    site.list_is_stale = true;
    for _ in 0..10 {
        let plan = site.look();
        assert!(plan.decisions.is_empty(), "{:?}", plan.decisions);
        site.now += TICK;
    }
    site.list_is_stale = false;
    site.look();
    assert_eq!(draining(&site).len(), 3);
}

#[test]
fn what_was_begun_is_finished_with_a_stale_list() {
    let mut site = site();
    start_wave(&mut site);
    site.look();
    assert_eq!(draining(&site).len(), 3);
    site.list_is_stale = true;
    site.run_until(TICK, HOUR, |site| active(site) == 12)
        .expect("the three come back");
}

#[test]
fn an_instance_that_never_comes_back_is_lost_and_the_wave_goes_on() {
    // One instance doesn't survive its reboot. Without a limit it would use up a part of the budget
    // for ever, and the wave would slow down with each one.
    let mut site = site();
    site.never_return.insert("instance-00000".into());
    start_wave(&mut site);
    site.run_until(TICK, HOUR, |site| site.state.waves.by_pool.is_empty())
        .expect("the wave ends");
    assert_eq!(
        in_phase(&site, |p| *p == Phase::Failed),
        ["instance-00000".into()]
    );
}

#[test]
fn a_wave_that_loses_instances_is_paused_until_an_operator_resumes_it() {
    // The maintenance itself breaks instances. A wave that went on would break them all, at
    // night, with nobody watching.
    let mut site = site();
    for n in 0..12 {
        site.never_return.insert(format!("instance-{n:05}").into());
    }
    start_wave(&mut site);
    site.run_until(TICK, HOUR, |site| site.state.waves.is_paused("web"))
        .expect("the wave is paused");
    let lost = in_phase(&site, |p| *p == Phase::Failed).len();
    site.run_until(TICK, HOUR, |_| false);
    assert!(in_phase(&site, |p| *p == Phase::Failed).len() <= lost + 1);
    assert!(active(&site) >= 9);
    let pool = Some("web".into());
    site.accept(Body::Maintain(MaintainOrder::Resume { pool }));
    site.look();
    assert!(
        !site.state.waves.is_paused("web"),
        "not paused again at once"
    );
}

#[test]
fn a_move_that_was_half_done_when_its_planner_died_is_completed() {
    // A planner drained an instance, the platform moved it, and the planner died before it said
    // so. Its successor remembers nothing; the instance must end in one pool, at work.
    let mut site = site();
    let id = "instance-00012";
    let step = FleetStep::Drain {
        instance: id.into(),
        since: site.state.fleet.instances[id].since,
        purpose: DrainPurpose::MoveTo("web".into()),
    };
    let body = Decision::Fleet(step).body(&site.state);
    assert_eq!(site.append(body), Verdict::Accepted);
    site.run_until(TICK, HOUR, |site| drained(site).len() == 1)
        .expect("it drains");
    site.platform.get_mut(id).expect("listed").pool = "web".into();
    set(&mut site, id, ListedState::Live);
    site.planner = Planner::default();
    site.run_until(TICK, HOUR, |site| active(site) == 13)
        .expect("the successor completes the move");
    assert_eq!(&*site.state.fleet.instances[id].pool, "web");
}

#[test]
fn a_failed_instance_that_is_back_is_adopted_into_the_pool_that_the_platform_has_it_in() {
    let mut site = site();
    let id = "instance-00000";
    set(&mut site, id, ListedState::Down);
    site.run_until(TICK, HOUR, |site| active(site) == 11)
        .expect("the failure is noticed");
    set(&mut site, id, ListedState::Live);
    site.platform.get_mut(id).expect("listed").pool = "staff".into();
    site.run_until(TICK, HOUR, |site| site.state.fleet.active_in("staff") == 5)
        .expect("it is adopted afresh");
}

#[test]
fn a_drain_waits_until_every_entry_instance_knows() {
    // An instance that is idle for a moment counts as drained for the platform. One entry instance
    // hasn't read the drain yet and goes on sending; the reboot would cut its requests.
    let mut site = site();
    start_wave(&mut site);
    site.known_by_all = Some(site.state.next);
    site.look();
    assert_eq!(draining(&site).len(), 3);
    site.now += TICK;
    let waiting = site.look();
    assert!(waiting.effects.is_empty());
    site.known_by_all = None;
    assert_eq!(site.look().effects.len(), 3);
}

#[test]
fn an_entry_instance_that_is_not_heard_holds_up_a_drain_for_seconds_only() {
    let mut site = site();
    start_wave(&mut site);
    site.known_by_all = Some(0);
    site.look();
    assert!(site.look().effects.is_empty());
    site.now += Options::default().known_after;
    assert_eq!(site.look().effects.len(), 3);
}

#[test]
fn a_drain_that_never_ends_is_taken_back_and_the_wave_goes_on() {
    // A caller keeps a request open for ever. Its instance would use up a part of the budget until
    // somebody looks; a reboot would cut the request.
    let mut site = site();
    let id = "instance-00000";
    site.drains.insert(id.into(), 1000 * HOUR);
    start_wave(&mut site);
    let since = site.state.waves.by_pool["web"].since;
    let others_are_done = |site: &Site| {
        let web = site.state.fleet.in_pool("web");
        web.filter(|(_, i)| i.maintained > since).count() == 11
    };
    site.run_until(TICK, HOUR, others_are_done)
        .expect("the others are maintained");
    let is_back = |site: &Site| active(site) == 12;
    site.run_until(TICK, HOUR, is_back).expect("taken back");
    site.run_until(TICK, HOUR, |_| false);
    assert_eq!(active(&site), 12, "not drained again so soon");
    site.drains.remove(id);
    let ended = |site: &Site| site.state.waves.by_pool.is_empty();
    site.run_until(TICK, 4 * HOUR, ended).expect("later it is");
}

#[test]
fn an_instance_that_is_still_drained_at_the_platform_is_undrained() {
    // A drain was taken back, or a paused planner's call arrived late: the log has the instance at
    // work, and the platform holds it back.
    let mut site = site();
    set(&mut site, "instance-00000", ListedState::Drained);
    let live = |site: &Site| site.platform["instance-00000"].state == ListedState::Live;
    site.run_until(TICK, HOUR, live).expect("it is undrained");
}

#[test]
fn a_pool_that_lacks_instances_gets_spares_but_not_below_their_floor() {
    let mut site = site();
    site.needs = [("web".into(), 16)].into();
    site.run_until(TICK, HOUR, |site| active(site) == 14)
        .expect("two spares come");
    site.run_until(TICK, HOUR, |_| false);
    assert_eq!(
        (active(&site), site.state.fleet.active_in("staff")),
        (14, 2)
    );
    assert!(site.rejected.is_empty(), "{:?}", site.rejected);
}

#[test]
fn a_burst_of_seconds_moves_nothing() {
    // Each queue in turn asks for five times its mean for some seconds. Instances that were moved
    // for it would arrive when it is over, and be missing where they came from.
    let mut site = site();
    for second in 0..600 {
        let need = if second % 40 < 20 { 14 } else { 4 };
        site.needs = [("web".into(), need)].into();
        site.look();
        site.now += TICK;
    }
    assert_eq!(site.moves, 0);
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
    // Each window holds two bursts of 10 s: 35 slots on average, at 8 slots an instance of which
    // 65 % are busy.
    assert_eq!(load.need(&options, 8), Some(7));
    assert_eq!(Load::default().need(&options, 8), None);
}

#[test]
fn a_pool_whose_instances_wait_for_weeks_gets_a_wave_by_itself() {
    // Nobody watches. Every instance has to be maintained once in five weeks.
    let mut site = site();
    site.now += Options::default().maintain_after.saturating_sub(HOUR);
    site.look();
    assert!(site.state.waves.by_pool.is_empty());
    site.now += 2 * HOUR;
    let maintained = |site: &Site| {
        let instances = &site.state.fleet.instances;
        site.state.waves.by_pool.is_empty() && instances.values().all(|i| i.maintained > 20)
    };
    site.look();
    assert_eq!(site.state.waves.by_pool.len(), 2);
    site.run_until(TICK, 24 * HOUR, maintained)
        .expect("both pools are maintained");
}

/// What happens to the fleet between two looks.
fn happen(site: &mut Site, (kind, which): (u8, u8)) {
    let ids: Vec<_> = site.platform.keys().cloned().collect();
    let id = &ids[usize::from(which) % ids.len()];
    match kind % 8 {
        0 => set(site, id, ListedState::Down),
        1 => recover(site, id),
        2 => site.planner = Planner::default(),
        3 => site.list_is_stale = !site.list_is_stale,
        4 => site.publish(file(6 + u32::from(which % 6))),
        5 => site.needs = [("web".into(), 8 + u32::from(which % 8))].into(),
        6 if !site.state.waves.by_pool.contains_key("web") => start_wave(site),
        _ => {}
    }
    site.now += Duration::from_secs(u64::from(which % 64));
}

fn recover(site: &mut Site, id: &str) {
    if site.platform[id].state == ListedState::Down {
        set(site, id, ListedState::Live);
    }
}

/// Failures, new planners, stale lists, changed budgets and waves, in any order. A fleet that is left
/// in peace afterwards keeps no instance out of work for ever.
fn play(events: &[(u8, u8)]) {
    let mut site = site();
    site.look();
    site.list_lags = events.len().is_multiple_of(2);
    site.look();
    for event in events {
        happen(&mut site, *event);
        site.look();
    }
    assert!(site.rejected.is_empty(), "{:?}", site.rejected);
    site.list_is_stale = false;
    for id in site.platform.keys().cloned().collect::<Vec<_>>() {
        recover(&mut site, &id);
    }
    site.publish(file(6));
    let pool = Some("web".into());
    site.accept(Body::Maintain(MaintainOrder::Resume { pool }));
    let is_whole = |site: &Site| {
        let working = in_phase(site, |phase| *phase == Phase::Active).len();
        site.state.waves.by_pool.is_empty() && working == 16
    };
    let whole = site.run_until(5 * TICK, 4 * HOUR, is_whole);
    assert!(whole.is_some(), "{:?}", site.state.fleet);
}

#[test]
fn whatever_happens_no_plan_is_rejected_and_everything_comes_back_to_work() {
    pomelohitch_property::check(|events: &Vec<(u8, u8)>| play(events));
}

/// Guards against taking a reboot that went on unseen, behind a stale list, for a failed one.
#[test]
fn what_rebooted_behind_a_stale_list_is_not_lost() {
    let seed = 161_786_985_636_042_651_898_766_093_771_730_925_357;
    pomelohitch_property::check_one(seed, |events: &Vec<(u8, u8)>| play(events));
}
