use pomelohitch_core::record::{Body, DrainPurpose, FleetDecision};
use pomelohitch_core::{Rejection, Verdict};

use crate::support::{Log, adopt, move_to, publish, web};

fn rejected(rejection: Rejection) -> Verdict {
    Verdict::Rejected(rejection)
}

#[test]
fn a_move_that_would_break_a_budget_is_rejected() {
    // Two planners, or one with an outdated state, can drain too many instances in sum. The fold
    // counts itself, so that a service never has fewer runners than declared.
    let mut log = Log::with_instances();
    log.accept_step(log.drain("i0", move_to("spare")));
    log.accept_step(log.drain("i1", move_to("spare")));
    let verdict = log.step(log.drain("i2", move_to("spare")));
    let broken = Rejection::BudgetBroken {
        service: "shop".into(),
        left: 1,
        min_available: 2,
    };
    assert_eq!(verdict, rejected(broken));
}

#[test]
fn a_failed_instance_counts_against_the_budget() {
    // An instance fails during a wave. If failures didn't count, the failure and the maintenance
    // together would leave too few active instances.
    let mut log = Log::with_instances();
    log.accept_step(log.fail("i0"));
    log.accept_step(log.drain("i1", move_to("spare")));
    let verdict = log.step(log.drain("i2", move_to("spare")));
    assert!(matches!(
        verdict,
        Verdict::Rejected(Rejection::BudgetBroken { left: 1, .. })
    ));
}

#[test]
fn drains_of_leaving_instances_ignore_the_budget() {
    // The platform takes these instances away in any case, so rejecting the drains would only leave
    // the state wrong.
    let mut log = Log::with_instances();
    for id in ["i0", "i1", "i2", "i3"] {
        log.accept_step(log.drain(id, DrainPurpose::Leaving));
    }
    assert_eq!(log.state.fleet.active_in("web"), 0);
}

#[test]
fn a_pool_keeps_its_floor_when_others_ask_for_instances() {
    let mut log = Log::with_instances();
    log.accept_step(log.drain("i4", move_to("web")));
    let verdict = log.step(log.drain("i5", move_to("web")));
    let broken = Rejection::FloorBroken {
        pool: "spare".into(),
        left: 0,
        floor: 1,
    };
    assert_eq!(verdict, rejected(broken));
}

#[test]
fn a_publish_that_raises_a_budget_stops_further_drains() {
    // An operator raises the budget while instances drain. The new budget applies at once: drains
    // in progress can be cancelled, and further ones are rejected.
    let mut log = Log::with_instances();
    log.accept_step(log.drain("i0", move_to("spare")));
    let version = log.state.config.files["web"].version;
    log.accept(publish("web", Some(version), Some(web(4))));
    let verdict = log.step(log.drain("i1", move_to("spare")));
    assert!(matches!(
        verdict,
        Verdict::Rejected(Rejection::BudgetBroken { left: 2, .. })
    ));
    log.accept_step(log.return_to_work("i0"));
    assert_eq!(log.state.fleet.active_in("web"), 4);
}

#[test]
fn a_pool_to_which_an_instance_moves_cannot_be_removed() {
    // If the target pool of a move could be removed during the move, the instance would end up in
    // no pool and stay unused.
    let mut log = Log::with_instances();
    for id in ["i4", "i5"] {
        log.accept_step(log.fail(id));
        log.accept_step(log.forget(id));
    }
    log.accept_step(log.drain("i0", move_to("spare")));
    let version = log.state.config.files["spare"].version;
    let verdict = log.append(publish("spare", Some(version), None));
    assert_eq!(verdict, rejected(Rejection::PoolInUse("spare".into())));
    log.accept_step(log.drained("i0"));
    log.accept_step(log.return_to_work("i0"));
    assert_eq!(&*log.state.fleet.instances["i0"].pool, "spare");
}

#[test]
fn a_late_return_is_rejected_after_a_phase_change() {
    // The append of a `Return` gets no answer and lands much later, when the instance has entered
    // another phase. Without the check, callers would be routed to a rebooting instance.
    let mut log = Log::with_instances();
    log.accept_step(log.drain("i0", move_to("spare")));
    let late = log.return_to_work("i0");
    log.accept_step(log.drained("i0"));
    let since = log.since("i0");
    assert_eq!(log.step(late), rejected(Rejection::PhaseChanged(since)));
}

#[test]
fn a_late_adoption_of_a_forgotten_instance_is_rejected() {
    // The append of an adoption is delayed. Meanwhile the instance was adopted, failed and was
    // forgotten. Without the check, callers would be routed to an address that doesn't answer.
    let mut log = Log::with_planner();
    let after = log.state.next;
    log.accept_step(adopt("i0", "web", 0));
    log.accept_step(log.fail("i0"));
    log.accept_step(log.forget("i0"));
    let forgotten = log.state.next - 1;
    // The adoption: `with_planner` appended records 0 to 3.
    let mut late = log.records[4].clone();
    late.id = pomelohitch_core::id::RecordId::from_u128(99);
    late.after = after;
    let verdict = log.append_record(late);
    assert_eq!(verdict, rejected(Rejection::Forgotten(forgotten)));
    log.accept_step(adopt("i0", "spare", 0));
}

#[test]
fn a_failed_instance_comes_back_only_by_a_fresh_adoption() {
    // An instance fails during a move that the platform then completes. If it could simply return,
    // its pool in the state would differ from its pool at the platform.
    let mut log = Log::with_instances();
    log.accept_step(log.drain("i0", move_to("spare")));
    log.accept_step(log.drained("i0"));
    log.accept_step(log.fail("i0"));
    let verdict = log.step(log.return_to_work("i0"));
    let failed = pomelohitch_core::state::Phase::Failed;
    assert_eq!(verdict, rejected(Rejection::WrongPhase(failed)));
    log.accept_step(log.forget("i0"));
    log.accept_step(adopt("i0", "spare", 0));
    assert_eq!(&*log.state.fleet.instances["i0"].pool, "spare");
}

#[test]
fn an_active_instance_cannot_be_forgotten() {
    // An outdated list of the platform may lack an active instance. Forgetting it would bypass the
    // availability budget.
    let mut log = Log::with_instances();
    assert!(matches!(
        log.step(log.forget("i0")),
        Verdict::Rejected(Rejection::WrongPhase(_))
    ));
}

#[test]
fn a_planner_of_an_earlier_term_decides_nothing() {
    // A planner is suspended, another one takes a new term, and the first one resumes.
    let mut log = Log::with_instances();
    let step = log.drain("i0", move_to("spare"));
    let incarnation = log.state.members.by_id["a"].incarnation;
    log.accept(Body::TakeTerm(pomelohitch_core::record::TakeTerm {
        member: "a".into(),
        incarnation,
        term: 2,
    }));
    let verdict = log.append(Body::Fleet(FleetDecision { term: 1, step }));
    assert_eq!(verdict, rejected(Rejection::StaleTerm { current: 2 }));
}
