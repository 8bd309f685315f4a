//! When a run that is missing from an answer doesn't exist.

use std::time::Duration;

use pomelohitch_sched::absence::{MAX_LISTING_DELAY, STOP_MARGIN, decisive_from, is_void};
use pomelohitch_sched::progress::{Phase, RunView};
use pomelohitch_sched::unanswered::MAX_ORDER_DELAY;

const AT: Duration = Duration::from_secs(7);

fn view(phase: Phase) -> RunView {
    RunView {
        phase,
        ..RunView::default()
    }
}

#[test]
fn a_run_is_ruled_out_a_listing_delay_after_what_rules_it_out() {
    let decisive = Some(AT + MAX_LISTING_DELAY);
    let stopped = RunView {
        stop_acked_at: Some(AT),
        ..view(Phase::Unanswered)
    };
    assert_eq!(decisive_from(&view(Phase::Ordered), Some(AT)), None);
    assert_eq!(decisive_from(&view(Phase::Unanswered), Some(AT)), None);
    assert_eq!(decisive_from(&stopped, None), Some(AT + STOP_MARGIN));
    let sent = RunView {
        sent_at: Some(AT),
        ..view(Phase::Unanswered)
    };
    assert_eq!(
        decisive_from(&sent, None),
        Some(AT + MAX_ORDER_DELAY + MAX_LISTING_DELAY)
    );
    assert_eq!(
        decisive_from(&view(Phase::Taken { at: AT }), None),
        decisive
    );
    assert_eq!(decisive_from(&view(Phase::Recorded), Some(AT)), decisive);
    assert_eq!(decisive_from(&view(Phase::Recorded), None), None);
}

#[test]
fn a_run_that_was_listed_is_ruled_out_a_listing_delay_after_it_was_first_missing() {
    let listed = RunView {
        seen_at: Some(AT),
        ..view(Phase::Taken { at: AT })
    };
    assert_eq!(decisive_from(&listed, Some(AT)), None);
    let missing = RunView {
        missing_since: Some(AT * 2),
        ..listed
    };
    let decisive = Some(AT * 2 + MAX_LISTING_DELAY);
    assert_eq!(decisive_from(&missing, Some(AT)), decisive);
}

#[test]
fn an_unanswered_start_is_void_a_listing_delay_after_its_deadline() {
    let unanswered = RunView {
        void_after: Some(AT),
        ..view(Phase::Unanswered)
    };
    let void_after = AT + MAX_LISTING_DELAY;
    let later = void_after + Duration::from_millis(1);
    assert!(!is_void(&unanswered, None));
    assert!(!is_void(&unanswered, Some(void_after)));
    assert!(is_void(&unanswered, Some(later)));
    let taken = RunView {
        phase: Phase::Taken { at: AT },
        ..unanswered
    };
    assert!(!is_void(&taken, Some(later)));
}
