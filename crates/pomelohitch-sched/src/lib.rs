//! Schedules jobs of steps on endpoints.
//!
//! Pure: facts in, records and orders out; no I/O and no clock of its own. Whoever drives a
//! [`Cell`] tells it what happened and when, makes its records durable, and only then carries out
//! the orders that came with them.
//!
//! * [`id`]: names of jobs, tasks, endpoints and instances.
//! * [`resources`]: processors, memory and accelerators.
//! * [`config`]: queues, services and workspaces in force.
//! * [`job`]: what a caller asks for, and the check of it.
//! * [`policy`]: which mechanisms decide.
//! * [`progress`]: how far a job is; the durable records.
//! * [`demand`]: what each service will want.
//! * [`endpoint`]: what is known of one endpoint, its clock and its lease.
//! * [`evacuations`]: availability zones in which nothing may start.
//! * [`flow`]: how many starts may be under way.
//! * [`forwarding`]: how many requests of callers may wait for the leader's answer.
//! * [`loss`]: how runs are lost.
//! * [`order`]: what goes out and how it ended.
//! * [`place`]: which endpoint takes a task.
//! * [`suspicion`]: which tasks are suspected of crashing their endpoints.
//! * [`urgency`]: which job goes first.
//! * [`instances`]: operations on instances, and maintenance in waves.
//! * [`rate`]: how many calls a second may go out.
//! * [`relaying`]: which member carries calls to which endpoints.
//! * [`rto`]: how long an answer is waited for.
//! * [`pools`]: which instances should move to which pool.
//! * [`cell`]: the state that ties them together.
#![forbid(unsafe_code)]

pub mod cell;
pub mod config;
pub mod demand;
pub mod endpoint;
pub mod evacuations;
pub mod flow;
pub mod forwarding;
pub mod id;
pub mod instances;
pub mod job;
pub mod loss;
pub mod order;
pub mod place;
pub mod policy;
pub mod pools;
pub mod progress;
pub mod rate;
pub mod relaying;
pub mod resources;
pub mod rto;
pub mod suspicion;
pub mod urgency;

pub use cell::{Cell, Settings};
pub use id::{
    EndpointId, Epoch, InstanceId, JobId, QueueName, ServiceName, TaskId, WorkspaceName, ZoneName,
};
pub use resources::Resources;

/// A point of time on the steady clock that also counts while the machine is suspended.
pub type Steady = std::time::Duration;

/// Milliseconds since 1970.
pub type UnixMs = u64;

/// Both clocks, read together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on the steady clock.
    pub steady: Steady,
    /// Time of day.
    pub unix_ms: UnixMs,
}
