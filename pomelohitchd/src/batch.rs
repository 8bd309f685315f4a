//! Plans batch jobs: passes changes to `pomelohitch-place`, proposes its decisions, and carries
//! out what the log accepted.
//!
//! Nothing is persisted here: a new planner starts from the state and the platform's reports.
//!
//! * [`effects`]: calls to workers.
//! * [`polls`]: reads the platform's lists and reports.
//! * [`driver`]: the planning loop.

use std::sync::Arc;
use std::time::Duration;

use tracing::info;

use crate::node::Node;

pub mod driver;
pub mod effects;
pub mod polls;

pub use driver::Driver;

/// Interval between two steps of the driver.
const STEP_INTERVAL: Duration = Duration::from_millis(25);

/// Options for batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The shortest lease. A change of planner takes seconds, so no lease expires because of it.
    pub shortest_lease: Duration,
    /// The longest lease. A partitioned worker may go on running an attempt for this long.
    pub longest_lease: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            shortest_lease: Duration::from_mins(5),
            longest_lease: Duration::from_hours(1),
        }
    }
}

/// Plans batch jobs forever; does nothing while another member holds the term.
pub fn run(node: &Arc<Node>) {
    run_with(node, Options::default());
}

/// [`run`] with options other than the default.
pub fn run_with(node: &Arc<Node>, options: Options) {
    let mut driver = None;
    loop {
        std::thread::sleep(STEP_INTERVAL);
        if !is_planner(node) {
            if driver.take().is_some() {
                info!("stopped planning batch jobs");
            }
            continue;
        }
        let driver = driver.get_or_insert_with(|| {
            info!("started planning batch jobs");
            Driver::start(node, options)
        });
        driver.step();
    }
}

/// Whether this member is ready and holds the term, according to the records applied here.
pub(crate) fn is_planner(node: &Node) -> bool {
    let state = node.state.load();
    node.is_ready() && state.members.planner.as_ref() == Some(&node.settings.member)
}
