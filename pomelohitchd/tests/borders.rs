//! How the limit of a team is split between its requests and its jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::{FileChange, Publish};
use pomelohitch_core::{Body, Record, State, Verdict};
use pomelohitchd::permits::limit_split::{
    LimitSplits, Outcome, SplitDemand, is_change_needed, jobs_part,
};

fn part(limit: u32, active: u32, jobs: u32, requests: u32) -> u32 {
    let wants = SplitDemand {
        active,
        jobs,
        requests,
    };
    jobs_part(limit, &wants)
}

#[test]
fn each_side_gets_what_the_other_does_not_use() {
    insta::assert_debug_snapshot!(
        [
            part(100, 0, 0, 0),
            part(100, 10, 20, 40),
            part(100, 0, 300, 0),
            part(100, 0, 0, 300),
            part(100, 0, 300, 20),
            part(100, 0, 20, 300),
            part(100, 0, 300, 300),
            part(100, 90, 300, 300),
            part(1, 0, 1, 1),
            part(0, 0, 5, 5),
        ],
        @r"
    [
        50,
        40,
        100,
        0,
        80,
        20,
        50,
        90,
        0,
        0,
    ]
    "
    );
}

/// The demand of one side never takes the other one below half of the limit or its own demand.
#[test]
fn each_side_gets_at_least_half_of_the_limit_or_its_demand() {
    pomelohitch_property::check(|&(limit, active, waiting, requests): &(u8, u8, u8, u8)| {
        let (limit, requests) = (u32::from(limit), u32::from(requests));
        let active = u32::from(active).min(limit / 2);
        let jobs = active + u32::from(waiting);
        let part = part(limit, active, jobs, requests);
        assert!(part <= limit);
        assert!(part >= active);
        assert!(part >= jobs.min(limit / 2));
        assert!(limit - part >= requests.min(limit - limit / 2));
    });
}

#[test]
fn the_split_is_not_moved_while_both_sides_have_enough() {
    let wants = SplitDemand {
        active: 5,
        jobs: 5,
        requests: 5,
    };
    assert!(!is_change_needed(100, 50, 52, &wants));
    assert!(is_change_needed(100, 4, 50, &wants));
    assert!(is_change_needed(100, 97, 50, &wants));
}

fn publish(state: &mut State, limit: u32) -> Team {
    let team = Team {
        id: "choir".into(),
        share: 1,
        limit,
        keys: vec![],
    };
    let file = Some(FleetFile {
        teams: vec![team.clone()],
        ..FleetFile::default()
    });
    let base = state.config.files.get("team").map(|file| file.version);
    let changes = BTreeMap::from([("team".into(), FileChange { base, file })]);
    let record = Record {
        id: RecordId::from_u128(u128::from(state.next)),
        after: state.next,
        at: Duration::ZERO,
        by: "operator".into(),
        body: Body::Publish(Publish { changes }),
    };
    assert_eq!(state.apply(state.next, &record), Verdict::Accepted);
    team
}

/// The answer to a proposal is lost, and an operator lowers the limit meanwhile. Repeated
/// unchanged, the proposal would be rejected for ever and keep the whole limit from the requests:
/// none of the team's callers would be served until the members change.
#[test]
fn an_unknown_proposal_above_a_lowered_limit_is_proposed_within_it() {
    let mut state = State::default();
    let mut borders = LimitSplits::default();
    let wants = SplitDemand {
        active: 0,
        jobs: 100,
        requests: 0,
    };
    let team = publish(&mut state, 100);
    assert_eq!(borders.target(&state, &team, &wants), Some(100));
    borders.on_outcome(&team.id, Outcome::Unknown);
    let team = publish(&mut state, 10);
    assert_eq!(borders.requests_of(&state, &team.id), 0);
    assert_eq!(borders.target(&state, &team, &wants), Some(10));
}
