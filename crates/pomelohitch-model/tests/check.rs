//! The check finds no broken promise in the protocol, and the expected one for each mutant.

use pomelohitch_model::promise::Promise;
use pomelohitch_model::scenario::{self, Mutant};
use pomelohitch_model::{Scenario, check};

/// Returns the promise that `mutant` breaks, and a shortest sequence of steps to it.
fn counterexample_of(mutant: Mutant, scenario: &Scenario) -> (Promise, String) {
    let scenario = Scenario {
        mutant: Some(mutant),
        ..scenario.clone()
    };
    let found = check(&scenario).counterexample;
    let found = found.expect("every mutant breaks a promise");
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
    // Terms only reduce wasted work. Every promise also holds if decisions of any term are
    // accepted, so a planner that resumes after a pause breaks no promise.
    let scenario = Scenario {
        records: 3,
        mutant: Some(Mutant::FoldSkipsTerm),
        ..scenario::planning()
    };
    assert_eq!(check(&scenario).counterexample, None);
}

#[test]
fn a_fold_that_ignores_the_expected_phase_puts_an_instance_in_two_pools() {
    // A cancellation is appended after the instance was drained. The log then has the instance
    // active in the pool that it was to move to, while the platform has it in its old pool.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsSince, &scenario::cancelling_drains());
    assert_eq!(promise, Promise::OnePool);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_ignores_the_budget_breaks_it() {
    // Two planners, or one with an outdated state, each drain an instance of the same pool.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsBudget, &scenario::planning());
    assert_eq!(promise, Promise::Budget);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_ignores_base_versions_reverts_a_publish() {
    // The second of two operators publishes a change that is not based on the first one's and
    // reverts it.
    let (promise, path) = counterexample_of(Mutant::FoldSkipsBase, &scenario::publishing());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn a_fold_that_applies_repeats_makes_an_answer_false() {
    // The acknowledgement of an append is lost, so the proposal is sent again. Evaluated as a new
    // record, the second copy conflicts with the first, and the operator gets the answer that the
    // publish is not in force.
    let (promise, path) = counterexample_of(Mutant::FoldAppliesRepeats, &scenario::publishing());
    assert_eq!(promise, Promise::TrueAnswer);
    insta::assert_snapshot!(path);
}

#[test]
fn an_answer_given_before_the_outcome_is_known_is_false() {
    // The operator gets the answer that the publish is not in force, but its append may already
    // have succeeded or may still succeed.
    let (promise, path) = counterexample_of(Mutant::AnswersBeforeOutcome, &scenario::publishing());
    assert_eq!(promise, Promise::TrueAnswer);
    insta::assert_snapshot!(path);
}

#[test]
fn an_effect_without_an_accepted_record_is_detected() {
    // A planner drains an instance at the platform before the drain is accepted, and it may still
    // be rejected.
    let (promise, path) = counterexample_of(Mutant::EffectBeforeVerdict, &scenario::planning());
    assert_eq!(promise, Promise::EffectsAccepted);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_serves_before_the_head_reverts_configuration() {
    // A replaced entry instance accepts requests with an outdated configuration.
    let (promise, path) = counterexample_of(Mutant::ServesBeforeHead, &scenario::outage());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_wakes_and_goes_on_reverts_configuration() {
    // An entry instance resumes after a pause and serves requests with the configuration from
    // before the pause.
    let (promise, path) = counterexample_of(Mutant::ServesAfterPause, &scenario::outage());
    assert_eq!(promise, Promise::NeverReverts);
    insta::assert_snapshot!(path);
}

#[test]
fn an_entry_instance_that_serves_before_a_heartbeat_accepts_a_withdrawn_key() {
    // A key is withdrawn during a log outage. A replaced entry instance reads to the head as soon
    // as the log is back, but the withdrawal is not in the log yet.
    let (promise, path) =
        counterexample_of(Mutant::ServesBeforeHeartbeat, &scenario::withdrawing());
    assert_eq!(promise, Promise::KeyWithdrawn);
    insta::assert_snapshot!(path);
}

#[test]
fn a_reader_that_skips_trimmed_records_diverges() {
    // A new reader needs records that were trimmed. Without them its state lacks the members,
    // pools and keys.
    let (promise, path) = counterexample_of(Mutant::SkipsTrimmed, &scenario::joining());
    assert_eq!(promise, Promise::SameState);
    insta::assert_snapshot!(path);
}

#[test]
fn a_reader_that_loads_a_torn_snapshot_diverges() {
    // The writer of the newest snapshot ended before writing all of its chunks.
    let (promise, path) = counterexample_of(Mutant::LoadsTornSnapshot, &scenario::joining());
    assert_eq!(promise, Promise::SameState);
    insta::assert_snapshot!(path);
}

#[test]
fn the_window_between_check_and_call_is_known() {
    // A known limitation without a mutant: a planner reads to the head, decides to drain, and
    // pauses before the call. Meanwhile the drain is cancelled and another instance is drained. The
    // platform does not compare offsets and accepts the late call: the instance finishes its work
    // and gets no new requests until the planner undrains it.
    let scenario = Scenario {
        checks_call_window: true,
        records: 5,
        lost_answers: 0,
        ..scenario::cancelling_drains()
    };
    let found = check(&scenario).counterexample;
    let found = found.expect("the late call breaks the budget");
    assert_eq!(found.promise, Promise::Budget);
    insta::assert_snapshot!(found.to_string());
}
