//! Reads the log and publishes each new state to the other threads.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_platform::Follower;
use pomelohitch_platform::follower::Progress;
use tracing::{info, warn};

use crate::node::Node;

/// Time that one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reads the log forever. While it can't be read, the last state stays current.
pub fn run(node: &Arc<Node>) {
    let mut follower = Follower::new(node.log.clone(), State::default());
    load_snapshot(node, &mut follower);
    let mut is_down = false;
    loop {
        let started = Instant::now();
        match follower.poll(READ_WAIT) {
            Ok(progress) => {
                if is_down {
                    info!(next = follower.state().next, "log is readable again");
                }
                is_down = false;
                node.log_is_down.store(false, Ordering::Release);
                let is_at_head = follower.state().next >= progress.head;
                publish(node, &follower, progress);
                // A reader that is behind, for example after a pause, has an outdated state.
                if is_at_head {
                    node.record_log_read(started);
                }
            }
            Err(error) => {
                if !is_down {
                    warn!(%error, "could not read the log; keeping the current state");
                }
                is_down = true;
                node.log_is_down.store(true, Ordering::Release);
                metrics::counter!("log_read_errors").increment(1);
                std::thread::sleep(RETRY_AFTER);
            }
        }
    }
}

/// Starts from the newest snapshot. Without one the log is read from its beginning, which fails
/// with an error if the beginning was trimmed.
fn load_snapshot(node: &Node, follower: &mut Follower) {
    match follower.load_snapshot() {
        Ok(true) => {
            info!(next = follower.state().next, "started from a snapshot");
            node.publish_state(follower.state().clone(), Vec::new());
        }
        Ok(false) => {}
        Err(error) => warn!(%error, "could not load a snapshot; reading the log instead"),
    }
}

fn publish(node: &Node, follower: &Follower, progress: Progress) {
    node.head.store(progress.head, Ordering::Release);
    node.first_kept.store(progress.first, Ordering::Release);
    if progress.has_loaded {
        metrics::counter!("snapshots_loaded").increment(1);
        warn!(
            next = follower.state().next,
            "records were trimmed before they were read; loaded a snapshot"
        );
    }
    if progress.applied.is_empty() && !progress.has_loaded {
        return;
    }
    metrics::counter!("log_records_read").increment(progress.applied.len() as u64);
    node.publish_state(follower.state().clone(), progress.applied);
}
