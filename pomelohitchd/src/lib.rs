//! The daemon of an entry instance.
//!
//! Threads and I/O around the decision logic of the other crates:
//!
//! * [`settings`]: command-line flags and environment variables.
//! * [`node`]: state shared by the threads: the current state, proposing records, peers seen.
//! * [`freshness`]: whether the process's state is recent enough to dispatch work.
//! * [`reader`]: reads the log and publishes each new state to the other threads.
//! * [`peers`]: connections to the other entry instances.
//! * [`front`]: the callers' port.
//! * [`permits`]: limits, queues and runners, and the exchange of permits with peers.
//! * [`admin`]: the operators' port.
//! * [`metrics_list`]: every metric with unit and labels.
//! * [`burn`]: counts answers for the burn rate of service-level objectives.
//! * [`leaving`]: instances that the platform removes while the log can't record it.
//! * [`liveness`]: removes dead members, and takes the term when no member plans.
//! * [`planner`]: decides about instances while this member holds the term.
//! * [`jobs_api`]: serves `/v1/jobs`.
//! * [`group_commit`]: combines changes of jobs by many callers in shared appends.
//! * [`batch`]: places and starts batch jobs while this member plans.
//! * [`readiness`]: whether a member that joined has caught up far enough to serve.
//! * [`withdraw`]: withdraws a key at once, even while the log is unavailable.
//! * [`fleet`]: the daemon on the users' platform, which runs there in place of these modules.
//! * [`snapshots`]: writes snapshots while this member plans.
//! * [`lifecycle`]: start, graceful shutdown, exit codes.

pub mod admin;
pub mod batch;
pub mod burn;
pub mod fleet;
pub mod freshness;
pub mod front;
pub mod group_commit;
pub mod jobs_api;
pub mod leaving;
pub mod lifecycle;
pub mod liveness;
pub mod metrics_list;
pub mod node;
pub mod peers;
pub mod permits;
pub mod planner;
pub mod reader;
pub mod readiness;
pub mod settings;
pub mod snapshots;
pub mod withdraw;
