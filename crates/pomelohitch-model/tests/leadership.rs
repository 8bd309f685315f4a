//! The check finds no broken promise in the rules of leaderships, and one without each part of them.

use pomelohitch_model::leadership::rules::{AsOf, ConfirmedBy, ExpiryAfter, LeaseEnd, Quorum};
use pomelohitch_model::leadership::scenario::{self, Connected, Scenario};
use pomelohitch_model::leadership::{Promise, Rules, can_take_over, check};

/// Returns a shortest sequence of steps with which `rules` break `promise`.
fn counterexample_of(rules: &Rules, scenario: &Scenario, promise: Promise) -> String {
    let found = check(scenario, rules).counterexample;
    let found = found.expect("the rules break a promise");
    assert_eq!(found.promise, promise);
    found.to_string()
}

#[test]
fn every_promise_holds_while_leaders_follow_each_other() {
    let outcome = check(&scenario::successors(), &Rules::default());
    assert_eq!(outcome.counterexample, None);
    assert!(outcome.states > 100_000);
}

#[test]
fn leases_last_through_a_store_outage() {
    let outcome = check(&scenario::store_outage(), &Rules::default());
    assert_eq!(outcome.counterexample, None);
    assert!(outcome.states > 1000);
}

/// Guards against a leader that is cut off with another member and renews leases beside the next one.
#[test]
fn without_quorum_a_task_runs_twice() {
    let rules = Rules::without_quorum();
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a confirmation by fewer members than the next leader takes for the quorum.
#[test]
fn confirmed_by_any_member_a_task_runs_twice() {
    let rules = Rules {
        confirmed_by: ConfirmedBy::AnyMember,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::joining(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a wait that begins while a majority may still confirm the former leader.
#[test]
fn with_a_wait_from_the_takeover_a_task_runs_twice() {
    let rules = Rules {
        expiry_after: ExpiryAfter::Takeover,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a majority that consists of members that the former leader doesn't know.
#[test]
fn with_a_majority_of_joined_members_a_task_runs_twice() {
    let rules = Rules {
        expiry_after: ExpiryAfter::OwnMajority,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::first_members(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against an acknowledgement that arrives after its sender has acknowledged a later epoch.
#[test]
fn confirmed_as_of_the_receipt_a_task_runs_twice() {
    let rules = Rules {
        confirmed_as_of: AsOf::Receipt,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::delays(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a lease that is counted from its order instead of from the last confirmation.
#[test]
fn with_leases_from_the_arrival_a_task_runs_twice() {
    let rules = Rules {
        lease_end: LeaseEnd::AfterArrival,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a member that has forgotten a later epoch in a restart.
#[test]
fn confirmed_by_members_that_have_read_nothing_a_task_runs_twice() {
    let rules = Rules {
        reads_before_confirming: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::restarts(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a member that has acknowledged a later epoch and confirms a former leader.
#[test]
fn confirmed_by_members_that_know_a_later_epoch_a_task_runs_twice() {
    let rules = Rules {
        members_fence: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a leader that counts itself after it has acknowledged a later epoch.
#[test]
fn with_a_leader_that_acknowledges_another_a_task_runs_twice() {
    let rules = Rules {
        ends_when_acknowledging: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a wait that is shorter than a lease and the delay of its end.
#[test]
fn with_a_shorter_wait_a_task_runs_twice() {
    let rules = Rules::default();
    let rules = Rules {
        expiry_wait: rules.expiry_wait - 1,
        ..rules
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a third leader that knows nothing of the first one's smaller quorum.
#[test]
fn with_a_quorum_of_the_last_leadership_only_a_task_runs_twice() {
    let rules = Rules {
        carries_former_quorum: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::first_members(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a former leader that renews at an endpoint that the next one has read.
#[test]
fn with_endpoints_that_obey_former_leaders_a_task_runs_twice() {
    let rules = Rules {
        endpoint_fences: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a leader that takes a former one's lease for expired once the endpoint is silent.
#[test]
fn without_a_wait_after_reading_a_task_runs_twice() {
    let rules = Rules {
        waits_after_reading: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::successors(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// Guards against a renewal whose answer is lost and that the leader therefore disregards.
#[test]
fn without_a_wait_for_unanswered_renewals_a_task_runs_twice() {
    let rules = Rules {
        waits_for_unanswered: false,
        ..Rules::default()
    };
    let path = counterexample_of(&rules, &scenario::delays(), Promise::OneRun);
    insta::assert_snapshot!(path);
}

/// A quorum only grows, so that a record of an older one is merely stricter.
#[test]
fn no_promise_needs_the_quorum_in_liveness_records() {
    let rules = Rules {
        records_quorum_growth: false,
        ..Rules::default()
    };
    assert_eq!(check(&scenario::joining(), &rules).counterexample, None);
}

/// The share that is a quorum decides only who renews longer, and who concludes later.
#[test]
fn one_run_needs_no_majority() {
    let rules = Rules {
        quorum: Quorum::Half,
        ..Rules::default()
    };
    for scenario in [scenario::even_number(), scenario::joining()] {
        assert_eq!(check(&scenario, &rules).counterexample, None);
    }
    let outage = Scenario {
        members: 4,
        joiners: 0,
        connected: Some(Connected::Half),
        ..scenario::store_outage()
    };
    assert_eq!(check(&outage, &rules).counterexample, None);
    let half_ended = Scenario {
        ended: 2,
        ..scenario::even_number()
    };
    assert!(can_take_over(&half_ended, &Rules::default()));
    assert!(!can_take_over(&half_ended, &rules));
}

/// A known limitation: without the store, half of the members are not enough to renew leases.
#[test]
fn leases_expire_without_the_store_and_without_a_majority() {
    let scenario = Scenario {
        members: 4,
        joiners: 0,
        connected: Some(Connected::Half),
        ..scenario::store_outage()
    };
    let path = counterexample_of(&Rules::default(), &scenario, Promise::LeaseKept);
    insta::assert_snapshot!(path);
}

/// A known limitation: members that restart without the store confirm nothing until it is back.
#[test]
fn leases_expire_without_the_store_when_members_restart() {
    let scenario = Scenario {
        restarts: 1,
        ..scenario::store_outage()
    };
    let path = counterexample_of(&Rules::default(), &scenario, Promise::LeaseKept);
    insta::assert_snapshot!(path);
}

/// A known limitation: unknown leases never count as expired while a quorum of members is silent.
#[test]
fn a_leader_needs_acknowledgements_to_take_over() {
    let with_ended = |ended| Scenario {
        ended,
        ..scenario::successors()
    };
    assert!(can_take_over(&with_ended(1), &Rules::default()));
    assert!(!can_take_over(&with_ended(2), &Rules::default()));
}

/// A known limitation: a member must not be removed before its process has ended.
#[test]
fn with_members_that_are_removed_while_they_run_a_task_runs_twice() {
    let scenario = Scenario {
        removals: 1,
        ..scenario::successors()
    };
    let path = counterexample_of(&Rules::default(), &scenario, Promise::OneRun);
    insta::assert_snapshot!(path);
}
