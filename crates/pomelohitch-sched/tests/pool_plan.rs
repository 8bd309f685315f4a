//! Plans of moves between pools.

use pomelohitch_sched::policy::Margins;
use pomelohitch_sched::pools::{Candidate, Pool, plan};

fn pool(name: &str, wanted: f64) -> Pool {
    Pool {
        name: name.into(),
        is_spare: false,
        wanted,
        peak_soon: Some(wanted),
        backlog: 0.0,
        is_short: false,
        only_late_wait: false,
        granted: None,
        is_blocked: false,
        label: None,
    }
}

fn instances(pool: &str, count: usize) -> Vec<Candidate> {
    let instance = |number| Candidate {
        id: format!("{pool}{number}").into(),
        pool: pool.into(),
        labels: Vec::new().into(),
        cpu: 4_000,
        is_movable: true,
        is_reserved: false,
        is_evacuated: false,
        used: 4_000,
    };
    (0..count).map(instance).collect()
}

/// The load of one pool with far more work than room beside another whose lasting tasks have to
/// move. Guards against a wave or an evacuation that waits for the first to have enough.
#[test]
fn a_pool_with_blocked_lasting_tasks_gets_an_instance_of_an_overloaded_one() {
    let blocked = Pool {
        is_short: true,
        is_blocked: true,
        ..pool("blocked", 8_000.0)
    };
    let pools = [pool("overloaded", 900_000.0), blocked];
    let mut candidates = instances("overloaded", 6);
    candidates.extend(instances("blocked", 3));
    for candidate in &mut candidates[6..] {
        candidate.is_movable = false;
    }
    let moves = plan(&pools, &candidates, &Margins::default()).moves;
    let to: Vec<&str> = moves.iter().map(|m| &*m.to).collect();
    assert_eq!(to, ["blocked"]);
}
