use pomelohitch_core::record::{Body, DrainPurpose, FleetStep, MaintainOrder, WaveLimits};
use pomelohitch_core::{Rejection, Verdict};

use crate::support::{Log, move_to, start_wave};

const ONE_ZONE: WaveLimits = WaveLimits {
    racks: None,
    zones: Some(1),
};

fn maintain(log: &mut Log, id: &str) {
    log.accept_step(log.drain(id, DrainPurpose::Maintain));
    log.accept_step(log.drained(id));
    log.accept_step(log.return_to_work(id));
}

#[test]
fn maintenance_without_a_wave_is_rejected() {
    let mut log = Log::with_instances();
    let verdict = log.step(log.drain("i0", DrainPurpose::Maintain));
    assert_eq!(verdict, Verdict::Rejected(Rejection::NotInWave));
}

#[test]
fn a_wave_maintains_each_instance_once_and_then_ends() {
    let mut log = Log::with_instances();
    log.accept(start_wave("web", WaveLimits::default()));
    let since = log.state.waves.by_pool["web"].since;
    for id in ["i0", "i1", "i2"] {
        maintain(&mut log, id);
    }
    let again = log.step(log.drain("i0", DrainPurpose::Maintain));
    assert_eq!(again, Verdict::Rejected(Rejection::NotInWave));
    let end = FleetStep::EndWave {
        pool: "web".into(),
        since,
    };
    let early = log.step(end.clone());
    assert_eq!(early, Verdict::Rejected(Rejection::WaveUnfinished));
    maintain(&mut log, "i3");
    log.accept_step(end);
    assert!(log.state.waves.by_pool.is_empty());
}

#[test]
fn a_wave_keeps_to_its_availability_zones() {
    // If a wave had instances in maintenance in every zone, the failure of a zone would come on top
    // of the maintenance in all others.
    let mut log = Log::with_instances();
    log.accept(start_wave("web", ONE_ZONE));
    log.accept_step(log.drain("i0", DrainPurpose::Maintain));
    let other_zone = log.step(log.drain("i1", DrainPurpose::Maintain));
    assert_eq!(other_zone, Verdict::Rejected(Rejection::TooWide));
    log.accept_step(log.drain("i2", DrainPurpose::Maintain));
}

#[test]
fn a_paused_pool_starts_no_drain_and_no_move() {
    let mut log = Log::with_instances();
    log.accept(start_wave("web", WaveLimits::default()));
    for pool in [None, Some("web".into())] {
        log.accept(Body::Maintain(MaintainOrder::Pause { pool: pool.clone() }));
        for purpose in [DrainPurpose::Maintain, move_to("spare")] {
            let verdict = log.step(log.drain("i0", purpose));
            assert_eq!(verdict, Verdict::Rejected(Rejection::Paused));
        }
        log.accept(Body::Maintain(MaintainOrder::Resume { pool }));
    }
    log.accept_step(log.drain("i0", DrainPurpose::Maintain));
}

#[test]
fn an_instance_lost_in_maintenance_is_counted_and_does_not_hold_up_the_end() {
    // An instance doesn't come back from its reboot. The wave must be able to end without it, and
    // has to report the loss.
    let mut log = Log::with_instances();
    log.accept(start_wave("web", WaveLimits::default()));
    for id in ["i1", "i2", "i3"] {
        maintain(&mut log, id);
    }
    log.accept_step(log.drain("i0", DrainPurpose::Maintain));
    log.accept_step(log.drained("i0"));
    log.accept_step(log.fail("i0"));
    let wave = log.state.waves.by_pool["web"].clone();
    assert_eq!(wave.lost, 1);
    log.accept_step(FleetStep::EndWave {
        pool: "web".into(),
        since: wave.since,
    });
}
