//! Tests of the division of room among workspaces.

use std::sync::Arc;

use pomelohitch_sched::WorkspaceName;
use pomelohitch_sched::sharing::{Claim, Division, Owner, RecentWork, divide};

fn owner<T: From<WorkspaceName>>(name: &str) -> T {
    T::from(WorkspaceName::from(name))
}

fn claim(name: &str, service: &str, cpu: f64) -> Claim {
    Claim {
        owner: owner(name),
        weight: 1,
        service: Arc::from(service),
        cpu,
    }
}

fn rounded(division: &Division) -> Vec<(&str, u64)> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    let services = division
        .services
        .iter()
        .map(|(name, cpu)| (&**name, cpu.round() as u64));
    services.collect()
}

#[test]
fn with_room_for_all_everyone_gets_what_it_wants() {
    let claims = [claim("a", "desk", 300.0), claim("b", "lab", 500.0)];
    assert_eq!(
        rounded(&divide(&claims, 1_000.0)),
        [("desk", 300), ("lab", 500)]
    );
}

/// Load: one workspace wants seven times the room of `desk`, while two others want a little of `lab`
/// and `gate`. Their pools keep what they need, and `desk` gets the rest.
#[test]
fn a_workspace_that_wants_most_takes_nothing_from_the_pools_of_others() {
    let claims = [
        claim("a", "desk", 7_000.0),
        claim("b", "lab", 200.0),
        claim("c", "gate", 100.0),
    ];
    assert_eq!(
        rounded(&divide(&claims, 1_000.0)),
        [("desk", 700), ("gate", 100), ("lab", 200)]
    );
}

/// Load: a workspace wants several times all room of two services at once. It divides its part among
/// them, and the other workspace's part of each is untouched.
#[test]
fn a_workspace_divides_its_part_among_its_services() {
    let claims = [
        claim("a", "desk", 6_000.0),
        claim("a", "lab", 2_000.0),
        claim("b", "lab", 500.0),
    ];
    assert_eq!(
        rounded(&divide(&claims, 1_000.0)),
        [("desk", 375), ("lab", 625)]
    );
}

/// Load: two workspaces want more than there is, one of them has three times the weight.
#[test]
fn parts_follow_weights() {
    let heavy = Claim {
        weight: 3,
        ..claim("a", "desk", 2_000.0)
    };
    let division = divide(&[heavy, claim("b", "lab", 2_000.0)], 1_000.0);
    assert_eq!(rounded(&division), [("desk", 750), ("lab", 250)]);
    assert!((division.workspaces[&owner::<Owner>("b")].granted - 250.0).abs() < 1e-6);
}

/// Load: 240 workspaces use 37 services. The parts add up to the room.
#[test]
fn the_parts_of_many_workspaces_add_up_to_the_room() {
    let claims: Vec<Claim> = (0..240_u32)
        .flat_map(|w| (0..37_u32).map(move |s| (w, s)))
        .map(|(w, s)| {
            claim(
                &format!("w{w}"),
                &format!("s{s}"),
                f64::from((w * 7 + s) % 13),
            )
        })
        .collect();
    let granted: f64 = divide(&claims, 20_000.0).services.values().sum();
    assert!((granted - 20_000.0).abs() < 1e-3, "{granted}");
}

#[test]
fn no_claims_and_no_room_divide_to_nothing() {
    assert_eq!(divide(&[], 1_000.0), Division::default());
    assert_eq!(
        rounded(&divide(&[claim("a", "desk", 5.0)], 0.0)),
        [("desk", 0)]
    );
}

#[test]
fn recent_work_gives_the_parts_of_workspaces() {
    let desk = Arc::from("desk");
    let mut work = RecentWork::default();
    work.add(&desk, &owner("a"), 6e6, 1_000);
    work.add(&desk, &owner("b"), 2e6, 1_000);
    work.add(&desk, &owner("b"), 1e6, 3_000);
    let (a, b): (Owner, Owner) = (owner("a"), owner("b"));
    let parts: Vec<_> = work.parts(&desk, 9_000);
    assert_eq!(parts.len(), 2);
    assert_eq!((parts[0].0, parts[1].0), (&a, &b));
    assert!((parts[0].1 - 0.6).abs() < 1e-9, "{parts:?}");
}

/// Guards against parts that depend on the order in which a new leader reads its records.
#[test]
fn recent_work_does_not_depend_on_the_order_of_records() {
    let desk = Arc::from("desk");
    let records = [("a", 6e6, 1_000), ("b", 2e6, 4_000), ("a", 1e6, 2_500)];
    let parts = |records: &[(&str, f64, u64)]| {
        let mut work = RecentWork::default();
        for (name, amount, at_ms) in records {
            work.add(&desk, &owner(name), *amount, *at_ms);
        }
        work.parts(&desk, 5_000)[0].1
    };
    let reversed: Vec<_> = records.iter().copied().rev().collect();
    assert!((parts(&records) - parts(&reversed)).abs() < 1e-9);
}

/// Guards against memory that grows with every workspace that ever used a service.
#[test]
fn workspaces_without_recent_work_are_dropped() {
    let desk = Arc::from("desk");
    let mut work = RecentWork::default();
    for index in 0..1_000_u64 {
        work.add(&desk, &owner(&format!("w{index}")), 1e6, index * 1_000);
        work.prune(index * 1_000);
    }
    assert!(work.len() < 30, "{}", work.len());
}
