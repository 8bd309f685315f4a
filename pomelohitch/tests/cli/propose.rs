use pomelohitch::propose::{Outcome, catch_up, follow, propose};
use pomelohitch_core::Body;
use pomelohitch_core::record::WithdrawKey;

use super::log::{Fault, WHOLE, shared, virtual_time};

fn withdraw() -> Body {
    Body::WithdrawKey(WithdrawKey {
        key: "aa".repeat(32).into(),
    })
}

/// The log stores the record and the response is lost. Reporting a failure would be wrong: the
/// change is in force.
#[test]
fn an_answer_lost_after_taking_effect_is_found_out_by_reading() {
    let (store, log) = shared();
    store.lock().expect(WHOLE).on_append = [Fault::AnswerLost].into();
    let mut follower = follow(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::InForce { offset: 0 }),
        "{outcome:?}"
    );
    assert_eq!(store.lock().expect(WHOLE).records.len(), 1);
}

/// A lost request can't be told from a lost response, so the record is appended again with the same
/// id until it is read.
#[test]
fn an_append_that_got_lost_is_sent_again_with_the_same_id() {
    let (store, log) = shared();
    store.lock().expect(WHOLE).on_append = [Fault::Lost, Fault::Lost, Fault::AnswerLost].into();
    let mut follower = follow(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::InForce { offset: 0 }),
        "{outcome:?}"
    );
}

/// The log refuses every append until the limit, so the change can't come into force later.
#[test]
fn a_log_that_refuses_for_longer_than_the_limit_leaves_nothing_behind() {
    let (store, log) = shared();
    store.lock().expect(WHOLE).appends_down = true;
    let mut follower = follow(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::NotAppended { .. }),
        "{outcome:?}"
    );
    store.lock().expect(WHOLE).appends_down = false;
    catch_up(&mut follower, &virtual_time()).expect("the log is back");
    assert!(follower.state().withdrawn.is_empty());
}

/// An append may have taken effect, and then the log is down until the limit. Neither "in force"
/// nor "not in force" would be certain.
#[test]
fn an_unknown_append_followed_by_an_outage_is_not_known() {
    let (store, log) = shared();
    {
        let mut store = store.lock().expect(WHOLE);
        store.on_append = [Fault::AnswerLost].into();
        store.reads_down = true;
    }
    let mut follower = follow(&log);
    let mut options = virtual_time();
    let downs = store.clone();
    let sleep = options.clock.sleep;
    options.clock.sleep = Box::new(move |time| {
        downs.lock().expect(WHOLE).appends_down = true;
        sleep(time);
    });
    let outcome = propose(&log, &mut follower, withdraw(), &options);
    assert!(matches!(outcome, Outcome::NotKnown { .. }), "{outcome:?}");
}
