//! Batches whose records aren't durable yet.

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::order::{Action, Answer};
use pomelohitchd::fleet::leader::in_flight::InFlight;

fn reply(call: u64) -> Batch {
    let mut batch = Batch::default();
    batch.actions.push(Action::Reply {
        call,
        answer: Answer::Accepted,
        is_effect_possible: true,
    });
    batch
}

fn calls(batches: Vec<Batch>) -> Vec<u64> {
    let actions = batches.into_iter().flat_map(|b| b.actions);
    let calls = actions.map(|action| match action {
        Action::Reply { call, .. } => call,
        other => panic!("{other:?}"),
    });
    calls.collect()
}

/// A caller that submits its job again while the first submission's record is in flight must not be
/// answered "accepted" early: the job would be lost if the leader ended then.
#[test]
fn answers_wait_for_the_records_of_earlier_batches() {
    let mut in_flight = InFlight::default();
    in_flight.push(1, Some(reply(10)));
    in_flight.push(3, Some(reply(11)));
    assert!(in_flight.push_without_records(reply(12)).is_none());
    assert_eq!(calls(in_flight.take_durable(1)), [10]);
    assert_eq!(calls(in_flight.take_durable(2)), [0; 0]);
    assert_eq!(calls(in_flight.take_durable(3)), [11, 12]);
    assert!(in_flight.is_empty());
}

#[test]
fn an_answer_that_depends_on_no_record_is_sent_at_once() {
    let mut in_flight = InFlight::default();
    let given = in_flight.push_without_records(reply(10));
    assert_eq!(calls(given.into_iter().collect()), [10]);
    assert!(in_flight.is_empty());
}

#[test]
fn batches_without_records_do_not_count_as_appends() {
    let mut in_flight = InFlight::default();
    in_flight.push(1, None);
    in_flight.push(2, Some(reply(10)));
    for call in 11..20 {
        assert!(in_flight.push_without_records(reply(call)).is_none());
    }
    assert_eq!(in_flight.append_count(), 2);
}
