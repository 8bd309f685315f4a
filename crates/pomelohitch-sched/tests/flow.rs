//! How many starts may be on their way.

use std::time::Duration;

use pomelohitch_sched::flow::Flow;

/// Decides as many starts as may be.
fn fill(flow: &mut Flow) -> usize {
    let mut decided = 0;
    while flow.has_room() {
        flow.decided();
        decided += 1;
    }
    decided
}

/// A new leader finds three thousand tasks waiting. Ordered all at once, half of them would be too
/// old when their turn to be sent came.
#[test]
fn a_new_leader_does_not_order_all_at_once() {
    let mut flow = Flow::default();
    assert_eq!(fill(&mut flow), 160);
    flow.answered(Duration::from_secs(1));
    assert_eq!(fill(&mut flow), 1);
}

/// Where starts are answered quickly, many may be under way.
#[test]
fn what_is_answered_quickly_may_be_more() {
    let mut flow = Flow::default();
    let mut now = Duration::from_secs(1);
    let mut decided = 0;
    for _ in 0..200 {
        decided += fill(&mut flow);
        now += Duration::from_millis(10);
        for _ in 0..40 {
            flow.answered(now);
        }
    }
    assert!(decided > 7_000, "{decided}");
    let more = fill(&mut flow);
    assert!(more <= 2_000, "{more}");
}
