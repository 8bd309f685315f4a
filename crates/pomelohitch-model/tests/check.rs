//! The check finds nothing in the protocol, and finds what each mutant breaks.

use pomelohitch_model::promise::Promise;
use pomelohitch_model::scenario::{self, Mutant};
use pomelohitch_model::{Scenario, check};

/// The shortest way to what `mutant` breaks.
fn counterexample_of(mutant: Mutant, scenario: &Scenario) -> (Promise, String) {
    let scenario = Scenario {
        mutant: Some(mutant),
        ..scenario.clone()
    };
    let found = check(&scenario).counterexample;
    let found = found.expect("the mutant breaks a promise");
    (found.promise, found.to_string())
}

#[test]
fn every_promise_holds_where_operators_race() {
    let outcome = check(&scenario::publishing());
    assert_eq!(outcome.counterexample, None);
    assert!(outcome.states > 10_000);
}

#[test]
fn no_promise_needs_terms() {
    // Terms only keep the waste small. With the decisions of any planner accepted in any term, every
    // promise still holds, so a planner that was paused and wakes can do no harm.
    let scenario = Scenario {
        records: 3,
        mutant: Some(Mutant::FoldSkipsTerm),
        ..scenario::planning()
    };
    assert_eq!(check(&scenario).counterexample, None);
}

#[test]
fn a_fold_that_ignores_the_expected_phase_puts_an_instance_in_two_pools() {
    // A "take the drain back" lands after the instance was drained. The log then has it at work in
    // the pool that it was to move to, and the platform in the one it came from.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsSince, &scenario::taking_back());
    assert_eq!(promise, Promise::OnePool);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_ignores_the_budget_breaks_it() {
    // Two planners, or one with an old view, each drain an instance of the same pool.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsBudget, &scenario::planning());
    assert_eq!(promise, Promise::Budget);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_ignores_base_versions_reverts_a_publish() {
    // The second of two operators never saw the first one's change, and undoes it.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsBase, &scenario::publishing());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_applies_repeats_makes_an_answer_false() {
    // The answer of an append is lost, so it is sent again. Judged anew, the second copy meets its
    // own first one as a conflict, and the operator is told that nothing is in force.
    let (promise, path) = counterexample_of(Mutant::FoldCountsRepeats, &scenario::publishing());
    assert_eq!(promise, Promise::TrueAnswer);
    insta::assert_snapshot!(path);
}

#[test]
fn an_answer_given_before_the_outcome_is_known_is_false() {
    // The append is still on its way when the operator is told that it didn't happen.
    let (promise, path) = counterexample_of(Mutant::GuessesNotInForce, &scenario::publishing());
    assert_eq!(promise, Promise::TrueAnswer);
    insta::assert_snapshot!(path);
}

#[test]
fn an_effect_requested_before_the_verdict_is_found() {
    // A planner drains an instance at the platform although the log may yet reject the drain.
    let (promise, path) = counterexample_of(Mutant::EffectBeforeVerdict, &scenario::planning());
    assert_eq!(promise, Promise::EffectsAccepted);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_serves_before_the_head_reverts_configuration() {
    // A replaced entry instance takes requests with the configuration of long ago.
    let (promise, path) = counterexample_of(Mutant::ServesBeforeHead, &scenario::outage());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_wakes_and_goes_on_reverts_configuration() {
    // An entry instance was frozen for minutes; its callers meet what was in force before.
    let (promise, path) = counterexample_of(Mutant::ServesAfterPause, &scenario::outage());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_serves_before_a_heartbeat_accepts_a_withdrawn_key() {
    // A key is withdrawn while the log is down. An entry instance that starts just after the log
    // came back reads to the head, where the withdrawal doesn't stand yet.
    let (promise, path) = counterexample_of(Mutant::ServesUnheard, &scenario::withdrawing());
    assert_eq!(promise, Promise::KeyWithdrawn);
    insta::assert_snapshot!(path);
}

#[test]
fn a_reader_that_skips_trimmed_records_diverges() {
    // The log dropped the records that a new reader needs; going on without them, it knows no
    // members, no pools and no keys.
    let (promise, path) = counterexample_of(Mutant::SkipsTrimmed, &scenario::joining());
    assert_eq!(promise, Promise::SameState);
    insta::assert_snapshot!(path);
}

#[test]
fn a_reader_that_loads_a_torn_snapshot_diverges() {
    // Whoever wrote the newest snapshot died half-way.
    let (promise, path) = counterexample_of(Mutant::TakesTornSnapshot, &scenario::joining());
    assert_eq!(promise, Promise::SameState);
    insta::assert_snapshot!(path);
}

#[test]
fn the_window_between_check_and_call_is_known() {
    // Not a mutant, but what remains: a planner read to the head, decided to drain, and was paused
    // right before the call. Meanwhile the drain was taken back and another instance drained. Its
    // call then reaches a platform that doesn't compare offsets. The instance finishes its work and
    // gets no new requests from the platform until the planner undrains it.
    let scenario = Scenario {
        checks_call_window: true,
        records: 5,
        lost_answers: 0,
        ..scenario::taking_back()
    };
    let found = check(&scenario).counterexample;
    let found = found.expect("the window is there");
    assert_eq!(found.promise, Promise::Budget);
    insta::assert_snapshot!(found.to_string());
}
