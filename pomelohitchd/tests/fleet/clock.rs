//! The clock of timeouts.

use std::time::Duration;

use pomelohitchd::fleet::clock::{MAX_STEP, WaitClock};

const TICK: Duration = Duration::from_millis(50);

/// Guards against peers that are taken for silent at the end of a suspension, and against ones that
/// are waited for without end by a process that runs seldom.
#[test]
fn a_suspension_counts_as_one_step() {
    let mut clock = WaitClock::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        now += TICK;
        clock.tick(now);
    }
    assert_eq!(clock.at(now), 4 * TICK);
    now += Duration::from_secs(3);
    assert_eq!(clock.at(now), 4 * TICK + MAX_STEP);
    clock.tick(now);
    assert_eq!(clock.at(now), 4 * TICK + MAX_STEP);
    for _ in 0..5 {
        now += Duration::from_secs(1);
        clock.tick(now);
    }
    assert_eq!(clock.at(now), 4 * TICK + 6 * MAX_STEP);
}
