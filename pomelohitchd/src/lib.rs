//! The daemon of an entry instance.
//!
//! A thin layer of threads around the decisions of the other crates:
//!
//! * [`settings`]: what the process is told by flags and environment variables.
//! * [`node`]: what the threads share: the state in force, proposing records, peers seen.
//! * [`freshness`]: whether what the process knows is recent enough to send work by it.
//! * [`reader`]: follows the log and puts each new state in force.
//! * [`peers`]: links to the other entry instances.
//! * [`front`]: the callers' port.
//! * [`permits`]: limits, queues and runners, and the exchange of permits with peers.
//! * [`admin`]: the operators' port.
//! * [`metrics_list`]: every metric with unit and labels.
//! * [`burn`]: counts answers for service-level burn.
//! * [`leaving`]: instances that the platform takes away while no record can say so.
//! * [`liveness`]: removes dead members, and takes the term when nobody plans.
//! * [`planner`]: decides about instances while this member holds the term.
//! * [`jobs_api`]: `/v1/jobs`, [`group_commit`]: many callers' proposals in one append.
//! * [`batch`]: places batch jobs and carries it out, while this member plans.
//! * [`readiness`]: whether a member that joined has caught up far enough to serve.
//! * [`withdraw`]: withdraws a key at once, also while the log is down.
//! * [`fleet`]: the daemon on the users' platform, which takes the place of all of these there.
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
