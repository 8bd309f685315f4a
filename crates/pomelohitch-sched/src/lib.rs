//! Scheduling of multi-step jobs on a fleet of endpoints.
//!
//! The crate is pure: it turns events into records and orders, performs no I/O and reads no clock.
//! The driver of a [`Cell`] reports each event with its time, makes the returned records durable,
//! and only then carries out the orders returned with them.
//!
//! * [`id`]: identifiers of jobs, tasks, endpoints and instances.
//! * [`resources`]: processors, memory and accelerators.
//! * [`config`]: configuration of queues, services and workspaces.
//! * [`job`]: job specifications and their validation.
//! * [`policy`]: policy switches and parameters.
//! * [`progress`]: progress of jobs, and the durable records of it.
//! * [`acks`]: acknowledgements of the leader's heartbeats.
//! * [`admission`]: refusal of jobs that can't be of use any more.
//! * [`attempts`]: what a caller may be told after several attempts at its request.
//! * [`avoidance`]: limit on the endpoints avoided because runs stall there.
//! * [`copies`]: choice of the runs that get a copy on another endpoint.
//! * [`demand`]: forecast of the processors that each service needs.
//! * [`endpoint`]: state of an endpoint, its clock and its lease.
//! * [`estimates`]: run times that tasks are expected to take.
//! * [`evacuations`]: evacuations of availability zones.
//! * [`flow`]: window on the starts in flight.
//! * [`forwarding`]: window on the requests forwarded to the leader.
//! * [`loss`]: causes of lost runs.
//! * [`order`]: orders, operations and answers, and their outcomes.
//! * [`place`]: choice of the endpoint for a task.
//! * [`speeds`]: speed of endpoints, learned from the progress of runs.
//! * [`strays`]: runs that endpoints list although they were given up.
//! * [`suspicion`]: detection of tasks that crash their endpoints.
//! * [`absence`]: when a run that is missing from an endpoint's answer doesn't exist.
//! * [`unanswered`]: starts that were given up and may still be carried out.
//! * [`urgency`]: ordering of waiting jobs.
//! * [`instances`]: moves of instances, and maintenance in waves.
//! * [`wave_plan`]: which instances of a wave to empty now, and when the wave will end.
//! * [`rate`]: rate limit for calls.
//! * [`relaying`]: assignment of endpoints to the members that relay the leader's calls.
//! * [`rto`]: adaptive timeouts of calls.
//! * [`pools`]: planning of moves between pools.
//! * [`sharing`]: division of the fleet's room among workspaces.
//! * [`overload`]: how much work is let in while a service is overloaded.
//! * [`withdrawn`]: jobs that were cancelled before they were submitted.
//! * [`cell`]: the scheduler's state, which combines all of these.
#![forbid(unsafe_code)]

pub mod absence;
pub mod acks;
pub mod admission;
pub mod attempts;
pub mod avoidance;
pub mod cell;
pub mod config;
pub mod confirmation;
pub mod copies;
pub mod demand;
pub mod endpoint;
pub mod estimates;
pub mod evacuations;
pub mod flow;
pub mod forwarding;
pub mod id;
pub mod instances;
pub mod job;
pub mod loss;
pub mod order;
pub mod overload;
pub mod place;
pub mod policy;
pub mod pools;
pub mod progress;
pub mod rate;
pub mod relaying;
pub mod resources;
pub mod rto;
pub mod sharing;
pub mod speeds;
pub mod strays;
pub mod suspicion;
pub mod unanswered;
pub mod urgency;
pub mod wave_plan;
pub mod withdrawn;

pub use cell::{Cell, Settings};
pub use id::{
    EndpointId, Epoch, InstanceId, JobId, QueueName, ServiceName, TaskId, WorkspaceName, ZoneName,
};
pub use resources::Resources;

/// Time on a monotonic clock that also advances while the machine is suspended.
pub type Steady = std::time::Duration;

/// Milliseconds since 1970.
pub type UnixMs = u64;

/// A reading of both clocks at the same moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub steady: Steady,
    /// Time of day.
    pub unix_ms: UnixMs,
}
