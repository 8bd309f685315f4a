//! Operations on instances.

use pomelohitchd::fleet::leader::platform_calls::operation_threads;

/// Guards against fewer operations than the platform of a large fleet allows.
#[test]
fn threads_for_operations_follow_the_allowed_rate() {
    let threads = [10.0, 64.0, 590.0, 1_180.0, 100_000.0].map(operation_threads);
    assert_eq!(threads, [4, 4, 6, 12, 32]);
}
