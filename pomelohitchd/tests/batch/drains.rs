//! Workers that leave while jobs run on them.

use pomelohitch_core::state::jobs::Outcome;

use crate::support::{Platform, job, wait_until};

/// A worker drains while a non-idempotent job runs on it. The job is checkpointed and resumed on
/// another worker, and the draining worker gets nothing new.
#[test]
fn a_job_on_a_leaving_worker_resumes_on_another_worker() {
    let platform = Platform::start(8);
    let entry = platform.planner(100);
    entry.adopt("worker-0");
    let long = serde_json::json!({
        "class": "settle", "cpu_milli": 1000, "memory_mib": 512, "run_ms": 600_000,
        "idempotent": false, "command": "run=3000",
    });
    let id = entry.submit(&long.to_string());
    entry.wait_for(&id, "running");
    assert_eq!(entry.show(&id).worker.as_deref(), Some("worker-0"));
    entry.drain("worker-0");
    wait_until("it runs elsewhere", || {
        let view = entry.show(&id);
        &*view.state == "running" && view.worker.as_deref() != Some("worker-0")
    });
    let next = entry.submit(&job("print", true, "run=60000"));
    entry.wait_for(&next, "running");
    assert_ne!(entry.show(&next).worker.as_deref(), Some("worker-0"));
    assert_eq!(entry.end_of(&id).outcome, Outcome::Succeeded);
    let runs = &platform.ledger().jobs[&id];
    assert_eq!((runs.started, runs.most_at_once), (2, 1));
}

/// A peer has seen that a worker leaves, and the log has no record of it yet. The peer's
/// notification is enough to place nothing new on the worker.
#[test]
fn a_worker_that_a_peer_reports_as_leaving_gets_nothing_new() {
    let platform = Platform::start(8);
    let entry = platform.planner(100);
    entry.end_of(&entry.submit(&job("print", true, "run=10")));
    let seen = ["worker-0".into()].into();
    entry.node.record_leaving(&"entry-2".into(), seen);
    let id = entry.submit(&job("print", true, "run=60000"));
    entry.wait_for(&id, "running");
    assert_eq!(entry.show(&id).worker.as_deref(), Some("worker-1"));
}
