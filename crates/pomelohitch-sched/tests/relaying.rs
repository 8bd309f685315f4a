//! Tests of the assignment of endpoints to members.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use pomelohitch_sched::relaying::{Assignment, Layout, Relays};
use pomelohitch_sched::{EndpointId, ServiceName};

const MEMBERS: [u32; 12] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];

fn endpoints() -> Vec<(ServiceName, EndpointId)> {
    let of = |service: &'static str| {
        (0..30).map(move |n| (service.into(), format!("{service}-{n}").into()))
    };
    ["a", "b", "c", "d"].into_iter().flat_map(of).collect()
}

fn assign(layout: Layout, members: &[u32]) -> BTreeMap<EndpointId, u32> {
    let mut assignment = Assignment::default();
    assignment.set_layout(layout);
    assignment.set_members(members.iter().copied().collect());
    members_of_all(&mut assignment)
}

fn members_of_all(assignment: &mut Assignment<u32>) -> BTreeMap<EndpointId, u32> {
    let of = |(service, id): (ServiceName, EndpointId)| {
        let member = assignment.member(&service, &id);
        Some((id, member?))
    };
    endpoints().into_iter().filter_map(of).collect()
}

#[test]
fn few_endpoints_on_a_fast_link_are_called_directly() {
    let direct = Layout::of(372, 5, Some(25e6));
    assert_eq!(direct, Layout::default());
    assert!(assign(direct, &MEMBERS).is_empty());
    assert_eq!(Layout::of(0, 0, Some(1.0)), Layout::default());
}

/// Guards against a leader whose slow link carries all polls and starts of the fleet.
#[test]
fn most_members_share_the_calls_of_a_slow_link() {
    let layout = Layout::of(120, 4, Some(250_000.0));
    let assign = assign(layout, &MEMBERS);
    assert_eq!(assign.len(), 120);
    let members: BTreeSet<_> = assign.values().collect();
    assert!(members.len() >= 9, "{members:?}");
}

/// Guards against moving the calls to all endpoints when one member leaves.
#[test]
fn only_the_endpoints_of_a_lost_member_move() {
    let layout = Layout::of(120, 4, Some(250_000.0));
    let before = assign(layout, &MEMBERS);
    let others: Vec<u32> = MEMBERS.into_iter().filter(|m| *m != 3).collect();
    let after = assign(layout, &others);
    for (id, member) in before {
        assert!(member == 3 || after[&id] == member, "{id}");
    }
}

/// Guards against moving all endpoints to other members whenever an endpoint joins or leaves.
#[test]
fn the_layout_is_stable_while_endpoints_come_and_go() {
    let mut layout = Layout::default();
    let mut changes = Vec::new();
    for endpoints in (600..3000)
        .step_by(40)
        .chain([2900, 2400, 2950, 2380, 590, 30])
    {
        let next = layout.successor(Layout::of(endpoints, 5, Some(25e6)));
        if next != layout {
            changes.push((endpoints, next.shards));
        }
        layout = next;
    }
    insta::assert_debug_snapshot!(changes);
}

/// Guards against moving all endpoints to other members when the number of shards grows.
#[test]
fn half_of_the_endpoints_stay_when_the_shards_double() {
    let [few, many] = [4, 8].map(|shards| assign(Layout { shards }, &MEMBERS));
    let stayed = few.iter().filter(|(id, member)| many[*id] == **member);
    assert!(stayed.count() >= 40, "fewer than 40 of 120 stayed");
}

/// Guards against kept choices that differ from those of a leader that has just started.
#[test]
fn members_that_come_and_go_leave_the_assignment_of_those_present() {
    let layout = Layout { shards: 8 };
    let mut assignment = Assignment::default();
    assignment.set_layout(layout);
    for members in [&MEMBERS[..3], &MEMBERS[2..9], &MEMBERS, &MEMBERS[5..]] {
        assignment.set_members(members.iter().copied().collect());
        assert_eq!(members_of_all(&mut assignment), assign(layout, members));
    }
    assignment.remove(&7);
    let left: Vec<u32> = MEMBERS[5..].iter().copied().filter(|m| *m != 7).collect();
    assert_eq!(members_of_all(&mut assignment), assign(layout, &left));
}

thread_local! {
    static HASHES: Cell<usize> = const { Cell::new(0) };
}

/// A member that counts how often any member is hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CountedMember(u32);

impl Hash for CountedMember {
    fn hash<H: Hasher>(&self, state: &mut H) {
        HASHES.with(|hashes| hashes.set(hashes.get() + 1));
        self.0.hash(state);
    }
}

/// Number of calls, and of hashes of members for them, in a fleet of some size where one member is
/// lost and comes back.
fn count_hashes(members: u32, endpoints: usize) -> (usize, usize) {
    let services: Vec<ServiceName> = ["a", "b", "c", "d", "e"].map(Into::into).into();
    let mut assignment = Assignment::default();
    assignment.set_layout(Layout::of(endpoints, services.len(), None));
    let all: BTreeSet<_> = (0..members).map(CountedMember).collect();
    assignment.set_members(all.clone());
    let ids: Vec<EndpointId> = (0..endpoints).map(|n| format!("e{n}").into()).collect();
    let call_all = |assignment: &mut Assignment<CountedMember>| {
        for (n, id) in ids.iter().enumerate() {
            assignment.member(&services[n % services.len()], id);
        }
    };
    call_all(&mut assignment);
    HASHES.with(|hashes| hashes.set(0));
    for round in 0..10 {
        if round == 3 {
            assignment.remove(&CountedMember(1));
        }
        if round == 6 {
            assignment.set_members(all.clone());
        }
        call_all(&mut assignment);
    }
    (10 * endpoints, HASHES.with(Cell::get))
}

/// Guards against work for each call that grows with the number of members.
#[test]
fn calls_hash_no_members_unless_members_change() {
    for (members, endpoints) in [(588, 6_000), (1_176, 12_000)] {
        let (calls, hashes) = count_hashes(members, endpoints);
        assert!(hashes * 10 <= calls, "{hashes} hashes for {calls} calls");
    }
}

/// Guards against telling every member that an endpoint is gone.
#[test]
fn only_members_that_relayed_calls_learn_that_an_endpoint_is_gone() {
    let mut relays = Relays::default();
    let (first, second): (EndpointId, EndpointId) = ("e1".into(), "e2".into());
    for member in [3, 3, 5, 3] {
        relays.record(&first, member);
    }
    relays.record(&second, 4);
    assert_eq!(relays.forget(&first), [3, 5]);
    assert!(relays.forget(&first).is_empty());
    assert_eq!(relays.forget(&second), [4]);
}
