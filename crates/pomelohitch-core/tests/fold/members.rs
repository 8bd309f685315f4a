use pomelohitch_core::record::{Body, Leave, TakeTerm};
use pomelohitch_core::state::REPEAT_WINDOW;
use pomelohitch_core::{Rejection, Verdict};

use crate::support::{Log, join, withdraw};

fn take_term(incarnation: u64, term: u64) -> Body {
    Body::TakeTerm(TakeTerm {
        member: "a".into(),
        incarnation,
        term,
    })
}

#[test]
fn the_second_of_two_that_take_the_same_term_is_rejected() {
    let mut log = Log::default();
    log.accept(join("a"));
    log.accept(take_term(0, 1));
    let verdict = log.append(take_term(0, 1));
    assert_eq!(
        verdict,
        Verdict::Rejected(Rejection::StaleTerm { current: 1 })
    );
}

#[test]
fn a_restarted_member_is_a_new_incarnation_and_no_longer_plans() {
    // The planner's process restarts under the same id. The new process doesn't know what the
    // previous one had started, so it has to take a new term.
    let mut log = Log::with_planner();
    log.accept(join("a"));
    assert_eq!(log.state.members.planner, None);
    let verdict = log.append(take_term(0, 2));
    assert_eq!(verdict, Verdict::Rejected(Rejection::NotMember));
}

#[test]
fn a_late_leave_does_not_end_a_later_incarnation() {
    // The peers consider a member dead, and it joins again before their record lands.
    let mut log = Log::with_planner();
    log.accept(join("a"));
    let verdict = log.append(Body::Leave(Leave {
        member: "a".into(),
        incarnation: 0,
    }));
    assert_eq!(verdict, Verdict::Rejected(Rejection::NotMember));
}

#[test]
fn a_repeat_is_rejected_after_its_id_was_dropped() {
    // An append whose answer was lost is repeated very late, when its id has been dropped. The
    // record is still rejected, by the age of its proposer's view in `after`.
    let mut log = Log::default();
    log.accept(join("a"));
    let first = log.records[0].clone();
    for _ in 0..REPEAT_WINDOW {
        log.append(withdraw("k"));
    }
    assert_eq!(log.append_record(first.clone()), Verdict::Repeat(0));
    for _ in 0..2 * REPEAT_WINDOW {
        log.append(withdraw("k"));
    }
    let verdict = log.append_record(first);
    assert_eq!(verdict, Verdict::Rejected(Rejection::TooLate));
}

#[test]
fn a_record_from_beyond_the_head_is_rejected() {
    // The log service has lost its newest records. A proposer that had read them bases its decision
    // on a state that no other process has.
    let mut log = Log::with_planner();
    let mut record = log.records[0].clone();
    record.id = pomelohitch_core::id::RecordId::from_u128(77);
    record.after = log.state.next + 1;
    let verdict = log.append_record(record);
    assert_eq!(verdict, Verdict::Rejected(Rejection::AheadOfLog));
}
