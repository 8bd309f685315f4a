//! Every metric of the daemon: name, unit, labels.
//!
//! `docs/METRICS.md` holds the same table; a test compares them, and both with the source.

use std::sync::atomic::Ordering;

use pomelohitch_core::id::InstanceId;
use pomelohitch_core::state::Phase;
use pomelohitch_core::status::Status;

use crate::node::Node;
use crate::permits;

/// Type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A count that only grows, from 0 at the start of the process.
    Counter,
    /// A current value, which may rise and fall.
    Gauge,
    /// A distribution: quantiles, sum and count of the values.
    Histogram,
}

/// One metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// Its type.
    pub kind: Kind,
    /// What is counted.
    pub unit: &'static str,
    /// Names of its labels, separated by commas; empty if it has none.
    pub labels: &'static str,
    /// One sentence for operators.
    pub about: &'static str,
}

const fn counter(name: &'static str, unit: &'static str, about: &'static str) -> Metric {
    Metric {
        name,
        kind: Kind::Counter,
        unit,
        labels: "",
        about,
    }
}

const fn gauge(
    name: &'static str,
    unit: &'static str,
    labels: &'static str,
    about: &'static str,
) -> Metric {
    Metric {
        name,
        kind: Kind::Gauge,
        unit,
        labels,
        about,
    }
}

/// All metrics of the daemon.
pub const METRICS: &[Metric] = &[
    counter(
        "admin_refused",
        "requests",
        "Requests to the administration API without a key in force.",
    ),
    counter(
        "burn_append_errors",
        "appends",
        "Appends of burn counts that failed; the counts wait.",
    ),
    counter(
        "caller_accept_errors",
        "connections",
        "Connections of callers that couldn't be accepted; descriptors may have run out.",
    ),
    counter(
        "caller_thread_errors",
        "connections",
        "Connections of callers that were closed because no thread could be started.",
    ),
    counter(
        "callers_refused",
        "connections",
        "Connections of callers that were refused because there were too many.",
    ),
    counter(
        "instance_effect_errors",
        "calls",
        "Failed calls to drain, reboot or move an instance; they are made again.",
    ),
    counter(
        "instance_list_errors",
        "calls",
        "Failed reads of the platform's list of instances; nothing new is drained or moved meanwhile.",
    ),
    counter(
        "job_appends",
        "appends",
        "Appends of what callers asked for about jobs; one carries many.",
    ),
    counter(
        "job_decision_errors",
        "proposals",
        "Decisions about jobs that got no verdict.",
    ),
    counter(
        "job_report_errors",
        "proposals",
        "Reports about jobs that couldn't be appended; they are sent again.",
    ),
    counter(
        "jobs_placed",
        "jobs",
        "Jobs given to a worker by this entry instance as planner.",
    ),
    counter(
        "jobs_preempted",
        "attempts",
        "Attempts stopped to make room.",
    ),
    counter(
        "jobs_refused",
        "jobs",
        "Jobs ended because they can never run.",
    ),
    counter(
        "jobs_turned_away",
        "jobs",
        "Submits refused because too many jobs are kept.",
    ),
    counter(
        "join_errors",
        "proposals",
        "Joins that got no verdict; they are sent again.",
    ),
    Metric {
        name: "limit_borders_moved",
        kind: Kind::Counter,
        unit: "proposals",
        labels: "verdict",
        about: "Proposals to divide a team's limit anew between requests and jobs, by what became of them.",
    },
    counter(
        "log_read_errors",
        "reads",
        "Failed reads of the log; what is in force stays in force.",
    ),
    counter("log_records_read", "records", "Records read from the log."),
    gauge(
        "members",
        "entry instances",
        "",
        "Entry instances that joined and haven't left.",
    ),
    gauge(
        "offset_lag",
        "records",
        "",
        "Records that this entry instance has still to read.",
    ),
    gauge(
        "offset_next",
        "records",
        "",
        "The offset of the next record that this entry instance applies.",
    ),
    counter(
        "peer_link_errors",
        "calls",
        "Failed calls to other entry instances; the links are made anew.",
    ),
    Metric {
        name: "key_claims",
        kind: Kind::Counter,
        unit: "claims",
        labels: "verdict",
        about: "Claims of idempotency keys, by what became of them.",
    },
    counter(
        "key_notices_resent",
        "messages",
        "Uses and releases of idempotency keys that were sent again, since a home didn't acknowledge them.",
    ),
    counter(
        "permit_messages",
        "messages",
        "Messages about permits between entry instances.",
    ),
    Metric {
        name: "leadership_confirmed_age_seconds",
        kind: Kind::Gauge,
        unit: "seconds",
        labels: "by",
        about: "Time since the store or a majority of the members confirmed the leadership, at the leader.",
    },
    Metric {
        name: "journal_append_seconds",
        kind: Kind::Histogram,
        unit: "seconds",
        labels: "",
        about: "How long appends of the leader to the platform's store took.",
    },
    Metric {
        name: "runs_lost",
        kind: Kind::Counter,
        unit: "runs",
        labels: "cause",
        about: "Runs that were gone without an end of their own, at the leader, by what that is put down to.",
    },
    Metric {
        name: "stray_runs",
        kind: Kind::Counter,
        unit: "runs",
        labels: "other_run",
        about: "Runs that endpoints listed although they were given up, at the leader, by whether their task had another run.",
    },
    counter(
        "jobs_given_up",
        "jobs",
        "Jobs that failed because endpoints crash under one of their tasks, at the leader.",
    ),
    counter(
        "copies_started",
        "runs",
        "Second runs of a task that were started because the first would end too late, at the leader.",
    ),
    counter(
        "copies_won",
        "runs",
        "Copies that ended before the first run.",
    ),
    counter(
        "copies_lost",
        "runs",
        "Copies that were in vain: the first run ended before, or the copy failed or was lost.",
    ),
    gauge(
        "slow_endpoints",
        "endpoints",
        "",
        "Endpoints on which runs take much longer than elsewhere, at the leader.",
    ),
    gauge(
        "run_time_factor",
        "ratio",
        "queue",
        "Expected run time of a queue's tasks as a multiple of the declared one, at the leader.",
    ),
    gauge(
        "run_time_deviation",
        "ratio",
        "queue",
        "Standard deviation of the run time of a queue's tasks, relative to the expected one, at the leader.",
    ),
    Metric {
        name: "submissions_refused",
        kind: Kind::Counter,
        unit: "requests",
        labels: "reason",
        about: "Submissions that the leader refused, at the leader, by the reason that callers are told.",
    },
    gauge(
        "evacuated_zones",
        "zones",
        "",
        "Availability zones that are being evacuated, at the leader.",
    ),
    gauge(
        "pool_wanted_cpu",
        "cores",
        "pool",
        "Processors that a pool needs by forecast and backlog, at the leader.",
    ),
    gauge(
        "pool_granted_cpu",
        "cores",
        "pool",
        "Processors that a pool may have, at the leader; less than wanted while there isn't enough for all pools.",
    ),
    gauge(
        "pool_held_cpu",
        "cores",
        "pool",
        "Processors of a pool's instances, including those on their way, at the leader.",
    ),
    gauge(
        "pool_let_in_ratio",
        "ratio",
        "pool",
        "Multiple of the work that a pool can do in time above which jobs are deferred, at the leader.",
    ),
    gauge(
        "pool_jobs_deferred",
        "jobs",
        "pool",
        "Jobs that wait in favour of others that can be in time, at the leader.",
    ),
    gauge(
        "workspace_wanted_cpu",
        "cores",
        "workspace",
        "Processors that a workspace wants of all pools, at the leader; 0 while there is enough for all pools.",
    ),
    gauge(
        "workspace_granted_cpu",
        "cores",
        "workspace",
        "Its fair share of them, at the leader; 0 while there is enough for all pools.",
    ),
    gauge(
        "wave_instances_late",
        "instances",
        "",
        "Instances of maintenance waves that will not be maintained in time, by the leader's forecast.",
    ),
    counter(
        "requests_not_passed_on",
        "requests",
        "Requests of callers that were refused because too many waited for the leader's answer.",
    ),
    counter(
        "requests_abandoned",
        "requests",
        "Requests of callers that left before a leader had answered.",
    ),
    counter(
        "requests_given_up",
        "requests",
        "Requests of callers for which no leader answered in time.",
    ),
    counter(
        "refusals_after_unknown_attempt",
        "answers",
        "Refusals by a leader after an attempt that an earlier leader may have executed.",
    ),
    counter(
        "log_lines_dropped",
        "lines",
        "Log lines that were dropped because too many waited to be written.",
    ),
    Metric {
        name: "planner_look_seconds",
        kind: Kind::Histogram,
        unit: "seconds",
        labels: "",
        about: "How long this entry instance took, as planner, to decide about instances.",
    },
    counter(
        "planner_proposal_errors",
        "proposals",
        "Decisions about instances that got no verdict.",
    ),
    Metric {
        name: "planner_proposals",
        kind: Kind::Counter,
        unit: "proposals",
        labels: "verdict",
        about: "Decisions about instances that were proposed, by what became of them.",
    },
    gauge(
        "pool_active",
        "instances",
        "pool",
        "Instances that take work.",
    ),
    gauge(
        "pool_failed",
        "instances",
        "pool",
        "Instances that are lost.",
    ),
    gauge(
        "pool_out",
        "instances",
        "pool",
        "Instances that drain or are drained.",
    ),
    Metric {
        name: "problems",
        kind: Kind::Counter,
        unit: "requests",
        labels: "step",
        about: "Requests answered by a problem document, by the step at which they failed.",
    },
    gauge(
        "ready",
        "0 or 1",
        "",
        "Whether this entry instance serves callers.",
    ),
    counter(
        "request_retries",
        "requests",
        "Further tries of idempotent requests.",
    ),
    gauge(
        "requests_draining",
        "requests",
        "",
        "Requests of this entry instance under way at instances that take no new work.",
    ),
    counter(
        "requests_withheld",
        "requests",
        "Requests that were stopped right before their first byte, since a check no longer passed.",
    ),
    counter("requests", "requests", "Requests that arrived whole."),
    counter(
        "requests_unreadable",
        "requests",
        "Requests that were refused because they weren't HTTP within the limits.",
    ),
    counter(
        "snapshots_loaded",
        "snapshots",
        "Snapshots taken over in place of records.",
    ),
    counter("snapshots_written", "snapshots", "Snapshots written."),
    counter(
        "task_start_errors",
        "calls",
        "Failed starts of a task at a worker.",
    ),
    counter(
        "tasks_throttled",
        "tasks",
        "Tasks throttled because they use more than was set aside.",
    ),
    gauge("term", "terms", "", "The planner's term."),
    gauge(
        "waiting",
        "matters",
        "",
        "Matters that wait; `pomelohitch status` says which and why.",
    ),
    counter(
        "worker_list_errors",
        "calls",
        "Failed reads of the platform's list of workers.",
    ),
    counter(
        "worker_report_errors",
        "calls",
        "Failed reads of the platform's reports about tasks.",
    ),
];

/// Updates the gauges; called whenever the metrics are read.
pub fn observe(node: &Node) {
    let state = node.state.load_full();
    let status = Status::of(&state);
    let head = node.head.load(Ordering::Acquire);
    let set = |gauge: metrics::Gauge, value: u64| {
        // Numbers of instances and records stay far below 2^52.
        #[expect(clippy::cast_precision_loss)]
        gauge.set(value as f64);
    };
    set(metrics::gauge!("members"), status.members.len() as u64);
    set(
        metrics::gauge!("offset_lag"),
        head.saturating_sub(state.next),
    );
    set(metrics::gauge!("offset_next"), state.next);
    set(metrics::gauge!("ready"), u64::from(node.is_ready()));
    // Counted by a state that was loaded before: no request is sent by an older one any more.
    let takes_work = |id: &InstanceId| {
        let instance = state.fleet.instances.get(id);
        instance.is_some_and(|instance| instance.phase == Phase::Active)
    };
    let draining = permits::running_at(node, |id| !takes_work(id));
    set(metrics::gauge!("requests_draining"), draining.into());
    set(metrics::gauge!("term"), status.term);
    set(metrics::gauge!("waiting"), status.waiting.len() as u64);
    for pool in status.pools {
        let id = pool.pool.to_string();
        let out = pool.draining + pool.drained;
        set(
            metrics::gauge!("pool_active", "pool" => id.clone()),
            pool.active.into(),
        );
        set(
            metrics::gauge!("pool_failed", "pool" => id.clone()),
            pool.failed.into(),
        );
        set(metrics::gauge!("pool_out", "pool" => id), out.into());
    }
}
