use pomelohitch::propose::{Outcome, catch_up, fleet_follower, propose};
use pomelohitch_core::Body;
use pomelohitch_core::record::WithdrawKey;

use super::memory_log::{Fault, NOT_POISONED, memory_log, virtual_time};

fn withdraw() -> Body {
    Body::WithdrawKey(WithdrawKey {
        key: "aa".repeat(32).into(),
    })
}

/// The log stores the record and the response is lost. Reporting a failure would be wrong: the
/// change is in force.
#[test]
fn an_append_whose_response_is_lost_is_found_by_reading() {
    let (store, log) = memory_log();
    store.lock().expect(NOT_POISONED).append_faults = [Fault::ResponseLost].into();
    let mut follower = fleet_follower(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::InForce { offset: 0 }),
        "{outcome:?}"
    );
    assert_eq!(store.lock().expect(NOT_POISONED).records.len(), 1);
}

/// A lost request can't be told from a lost response, so the record is appended again with the same
/// id until it is read.
#[test]
fn a_lost_append_is_repeated_with_the_same_id() {
    let (store, log) = memory_log();
    store.lock().expect(NOT_POISONED).append_faults =
        [Fault::RequestLost, Fault::RequestLost, Fault::ResponseLost].into();
    let mut follower = fleet_follower(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::InForce { offset: 0 }),
        "{outcome:?}"
    );
}

/// The log refuses every append until the limit, so the change can't come into force later.
#[test]
fn an_append_refused_until_the_limit_is_not_in_force() {
    let (store, log) = memory_log();
    store.lock().expect(NOT_POISONED).appends_down = true;
    let mut follower = fleet_follower(&log);
    let outcome = propose(&log, &mut follower, withdraw(), &virtual_time());
    assert!(
        matches!(outcome, Outcome::NotAppended { .. }),
        "{outcome:?}"
    );
    store.lock().expect(NOT_POISONED).appends_down = false;
    catch_up(&mut follower, &virtual_time()).expect("the log is back");
    assert!(follower.state().withdrawn.is_empty());
}

/// An append may have taken effect, and then the log is down until the limit. Neither "in force"
/// nor "not in force" would be certain.
#[test]
fn an_unknown_append_followed_by_an_outage_is_not_known() {
    let (store, log) = memory_log();
    {
        let mut store = store.lock().expect(NOT_POISONED);
        store.append_faults = [Fault::ResponseLost].into();
        store.reads_down = true;
    }
    let mut follower = fleet_follower(&log);
    let mut options = virtual_time();
    let store_in_sleep = store.clone();
    let sleep = options.clock.sleep;
    options.clock.sleep = Box::new(move |time| {
        store_in_sleep.lock().expect(NOT_POISONED).appends_down = true;
        sleep(time);
    });
    let outcome = propose(&log, &mut follower, withdraw(), &options);
    assert!(matches!(outcome, Outcome::NotKnown { .. }), "{outcome:?}");
}
