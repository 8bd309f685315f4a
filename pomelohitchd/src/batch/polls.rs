//! Reads the platform's lists of workers and their reports in the background.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use pomelohitch_platform::workers::{List, Reports};

use crate::node::Node;

/// Interval between reads of the list of workers.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the reports.
const REPORTS_INTERVAL: Duration = Duration::from_millis(100);

/// The result of one read.
#[derive(Debug)]
pub enum Update {
    /// The list of workers.
    List(List),
    /// New reports; may be empty.
    Reports(Reports),
}

/// Starts threads that read lists, and reports from position `reports_from` on, so that a slow
/// platform doesn't delay decisions. They end after the receiver is dropped.
#[must_use]
pub fn start(node: &Arc<Node>, reports_from: u64) -> mpsc::Receiver<Update> {
    let (tx, rx) = mpsc::channel();
    let (lister, list_tx) = (node.clone(), tx.clone());
    std::thread::spawn(move || read_lists(&lister, &list_tx));
    let reporter = node.clone();
    std::thread::spawn(move || read_reports(&reporter, reports_from, &tx));
    rx
}

fn read_lists(node: &Node, tx: &mpsc::Sender<Update>) {
    loop {
        match (node.workers.list)() {
            Ok(list) => {
                if tx.send(Update::List(list)).is_err() {
                    return;
                }
            }
            Err(_) => metrics::counter!("worker_list_errors").increment(1),
        }
        std::thread::sleep(LIST_INTERVAL);
        if !super::is_planner(node) {
            return;
        }
    }
}

fn read_reports(node: &Node, mut from: u64, tx: &mpsc::Sender<Update>) {
    loop {
        match (node.workers.reports)(from) {
            Ok(reports) => {
                from = reports.next;
                if tx.send(Update::Reports(reports)).is_err() {
                    return;
                }
            }
            Err(_) => metrics::counter!("worker_report_errors").increment(1),
        }
        std::thread::sleep(REPORTS_INTERVAL);
        if !super::is_planner(node) {
            return;
        }
    }
}
