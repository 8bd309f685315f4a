//! Counts of stray runs.

use std::time::Duration;

use pomelohitch_sched::strays::{StrayCounts, Strays};
use pomelohitch_sched::{EndpointId, TaskId};

const TASK: TaskId = TaskId {
    job: 1,
    occurrence: 0,
    step: 0,
    index: 0,
};

#[test]
fn a_stray_run_that_is_listed_again_and_again_counts_once() {
    let id: EndpointId = "e0".into();
    let at = Duration::from_secs;
    let mut strays = Strays::default();
    assert!(strays.listed((id.clone(), TASK, 1), true, at(1)));
    assert!(!strays.listed((id.clone(), TASK, 1), true, at(2)));
    assert!(strays.listed((id.clone(), TASK, 2), false, at(2)));
    let expected = StrayCounts {
        alone: 1,
        beside_another: 1,
    };
    assert_eq!(strays.take_counts(), expected);
    strays.prune(at(30));
    assert!(strays.listed((id, TASK, 1), true, at(31)));
    assert_eq!(strays.take_counts().beside_another, 1);
}
