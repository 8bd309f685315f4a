//! Orders, operations and answers that the scheduler emits, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, Epoch, InstanceId, RunNumber, ServiceName, TaskId};
use crate::job::JobSpec;
use crate::progress::JobState;
use crate::{Steady, UnixMs};

/// Time after which a stop is sent again.
pub const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(700);

/// Destination of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Endpoint id.
    pub id: EndpointId,
    /// Incarnation of the endpoint.
    pub born: u64,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Address of the endpoint.
    pub addr: SocketAddr,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Run number.
        run: RunNumber,
        /// Job whose text is passed to the task.
        spec: Arc<JobSpec>,
        /// Time on the endpoint's clock after which the order is void; set once the start is
        /// durably recorded.
        deadline: Duration,
        /// Checkpoint to resume from; empty for none.
        checkpoint: Box<str>,
        /// Ticket that the placement policy issued for this start.
        ticket: Option<Box<str>>,
    },
    /// Stops a run, or rejects it if it arrives later.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Run number.
        run: RunNumber,
    },
    /// Limits the speed of a run.
    Pace {
        /// Task of the run.
        task: TaskId,
        /// Run number.
        run: RunNumber,
        /// Speed in percent of full speed.
        percent: u32,
    },
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint accepted it.
    Taken,
    /// It had no effect and will not have any.
    Refused(Refusal),
    /// The answer was lost; the order may still be carried out.
    Unanswered,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Outcome of the order.
    pub outcome: Outcome,
    /// The clock of the incarnation that answered, if the answer has it.
    pub clock: Option<Duration>,
}

impl From<Outcome> for OrderReply {
    /// A result without an answer.
    fn from(outcome: Outcome) -> Self {
        OrderReply {
            outcome,
            clock: None,
        }
    }
}

/// Why an order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint has seen a higher epoch.
    Fenced,
    /// The endpoint has already seen a higher run number of the task.
    OldRun,
    /// The order's deadline had passed.
    Late,
    /// The endpoint's free capacity is too small.
    Room,
    /// The placement policy's ticket is not valid.
    Ticket,
    /// The endpoint reports that it is unhealthy.
    Unwell,
    /// The endpoint considers the order malformed.
    Malformed,
    /// Nothing listens at the address, or another endpoint does.
    Elsewhere,
    /// It was dropped before it was sent.
    Unsent,
}

/// An operation on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Moves it to another pool.
    Move {
        /// Destination pool.
        pool: ServiceName,
    },
    /// Takes it down for maintenance.
    Maintain {
        /// Maintenance wave that requests it.
        wave: u64,
    },
}

/// Outcome of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It is in progress or done.
    Taken,
    /// It had no effect because the instance is not up.
    Busy,
    /// It had no effect, and a retry is futile.
    Refused,
    /// It had no effect: rate limit exceeded or service unavailable.
    Later,
    /// The answer was lost; the operation may have been carried out.
    Unanswered,
}

/// Identifies the call that an answer belongs to.
pub type CallId = u64;

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted and durable.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job failed because endpoints crashed under one of its tasks.
    GivenUp,
    /// The cancellation is durable.
    Cancelled,
    /// The job does not exist.
    Gone,
    /// Number of jobs of the queue that have not begun.
    Waiting(usize),
    /// The queue does not exist.
    NoQueue,
    /// The key is missing, unknown or withdrawn.
    NoKey,
    /// The request is not a valid job.
    Malformed(Box<str>),
    /// An earlier attempt may have taken effect, and the leader lacks the configuration or the record
    /// to tell.
    Undetermined,
    /// Refused for now, without any effect.
    Refused {
        /// When to retry.
        retry_after: Duration,
        /// Whether other jobs of the same queue will be refused until then, too.
        is_for_queue: bool,
        /// Reason for the refusal.
        reason: &'static str,
    },
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends an order to an endpoint.
    Order {
        /// Destination.
        target: Target,
        /// Order to send.
        order: Order,
        /// Epoch that it carries.
        epoch: Epoch,
        /// When it was decided; an order that has waited too long is not sent.
        at: Steady,
    },
    /// Polls an endpoint.
    Poll(PollOrder),
    /// Performs an operation on an instance.
    Operate {
        /// Instance to operate on.
        instance: InstanceId,
        /// Operation to perform.
        operation: Operation,
        /// When it was decided; an operation that has waited too long is not sent.
        at: Steady,
    },
    /// Reads the platform's list of instances.
    ListInstances,
    /// Answers a caller.
    Reply {
        /// Call that is answered.
        call: CallId,
        /// Answer to send.
        answer: Answer,
        /// Whether this or an earlier attempt may have taken effect: the leader holds the submitted
        /// job, or the cancelled one, or couldn't read all records.
        is_effect_possible: bool,
    },
    /// Reports the status of a maintenance wave.
    WaveStatus {
        /// Wave number.
        wave: u64,
        /// Whether the whole wave is done.
        is_completed: bool,
    },
    /// Asks the placement policy which endpoints may run a step.
    Advise {
        /// Job, occurrence and step; the index is 0.
        step: TaskId,
        /// Endpoints to ask about.
        endpoints: Vec<EndpointId>,
        /// Time after which the query has failed.
        timeout: Duration,
    },
}

/// A poll of an endpoint, which also renews its lease and acknowledges completions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollOrder {
    /// Endpoint to poll.
    pub target: Target,
    /// Epoch that it carries.
    pub epoch: Epoch,
    /// Completions up to this sequence number are durably recorded.
    pub noted: u64,
    /// End of the requested lease on the endpoint's clock; `None` until that clock was read.
    pub lease: Option<Duration>,
    /// How long the endpoint may wait for a completion before it answers.
    pub wait: Duration,
}

/// Why a poll failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollFailure {
    /// The endpoint has seen a higher epoch.
    Fenced,
    /// Nothing listens at the address, or another endpoint does.
    Elsewhere,
    /// There was no answer, or it could not be decoded.
    Failed,
}

/// A job that becomes due at a time of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Due {
    /// Due time.
    pub at_ms: UnixMs,
    /// Job id.
    pub job: crate::id::JobId,
}
