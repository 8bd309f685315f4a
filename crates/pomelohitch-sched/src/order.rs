//! What goes out and how it ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, Epoch, InstanceId, RunNumber, ServiceName, TaskId};
use crate::job::JobSpec;
use crate::progress::JobState;
use crate::{Steady, UnixMs};

/// Where an order goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The endpoint.
    pub id: EndpointId,
    /// Which life of it.
    pub born: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start {
        /// Which task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// Whose text goes along.
        spec: Arc<JobSpec>,
        /// The order is void after this point of the endpoint's clock; set once its record is
        /// durable.
        deadline: Duration,
        /// Where to go on; empty for the start.
        checkpoint: Box<str>,
        /// What the policy gave out for it.
        ticket: Option<Box<str>>,
    },
    /// Stops a run, and rejects it if it comes later.
    Stop {
        /// Which task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
    },
    /// Lets a run work at a share of its speed.
    Pace {
        /// Which task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The share, percent.
        percent: u32,
    },
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was taken.
    Taken,
    /// It had no effect, and won't have any.
    Refused(Refusal),
    /// Its answer was lost; it may still be carried out.
    Unanswered,
}

/// Why an order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint has seen a higher epoch.
    Fenced,
    /// A higher run was there before.
    OldRun,
    /// The order's deadline had passed.
    Late,
    /// No room.
    Room,
    /// The policy's ticket isn't valid.
    Ticket,
    /// The endpoint says that it is unwell.
    Unwell,
    /// The order is malformed in its eyes.
    Malformed,
    /// Another endpoint has this address now, or nothing listens there.
    Elsewhere,
    /// It was given up before it was sent.
    Unsent,
}

/// An operation on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Moves it to another pool.
    Move {
        /// The pool.
        pool: ServiceName,
    },
    /// Takes it down for maintenance.
    Maintain {
        /// The wave that asks for it.
        wave: u64,
    },
}

/// How an operation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It is under way or done.
    Taken,
    /// It had no effect: the instance isn't up.
    Busy,
    /// It had no effect, and asking again is in vain.
    Refused,
    /// It had no effect: too many calls, or the service is away.
    Later,
    /// The answer was lost; it may have been carried out.
    Unanswered,
}

/// Says which call an answer belongs to.
pub type CallId = u64;

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted and durable.
    Accepted,
    /// The job's state.
    State(JobState),
    /// The job failed: endpoints crash under one of its tasks.
    GivenUp,
    /// The job is cancelled, durably.
    Cancelled,
    /// There is no such job.
    Gone,
    /// How many jobs of the queue haven't begun.
    Waiting(usize),
    /// No such queue.
    NoQueue,
    /// Key missing, unknown or withdrawn.
    NoKey,
    /// Not a job.
    Malformed(Box<str>),
    /// Not now, and nothing was done.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// Whether the other jobs of its queue are refused until then, too.
        is_for_queue: bool,
        /// Why.
        reason: &'static str,
    },
}

/// Something to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An order to an endpoint, decided at `at`.
    Order {
        /// Where to.
        target: Target,
        /// What.
        order: Order,
        /// The epoch that it carries.
        epoch: Epoch,
        /// When it was decided; an order that waited too long isn't sent.
        at: Steady,
    },
    /// A look at an endpoint.
    Look(LookOrder),
    /// An operation on an instance.
    Operate {
        /// Which instance.
        instance: InstanceId,
        /// What.
        operation: Operation,
        /// When it was decided; one that waited too long isn't sent.
        at: Steady,
    },
    /// Reads the platform's list of instances.
    ListInstances,
    /// An answer to a caller.
    Reply {
        /// Which call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Says how a wave is.
    WaveStatus {
        /// Which wave.
        wave: u64,
        /// Whether all of it is done.
        is_completed: bool,
    },
    /// Asks the policy which endpoints may run a step.
    Advise {
        /// The job, occurrence and step; the index is 0.
        step: TaskId,
        /// Endpoints to ask about.
        endpoints: Vec<EndpointId>,
    },
}

/// A look at an endpoint, which also renews its lease and acknowledges ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookOrder {
    /// Which endpoint.
    pub target: Target,
    /// The epoch that it carries.
    pub epoch: Epoch,
    /// Ends up to here are durably noted.
    pub noted: u64,
    /// The end of the lease that is asked for, on the endpoint's clock; none before that clock was
    /// read.
    pub lease: Option<Duration>,
    /// How long the endpoint may wait for an end before it answers.
    pub wait: Duration,
}

/// Why a look gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookFailure {
    /// The endpoint has seen a higher epoch.
    Fenced,
    /// Another endpoint has this address now, or nothing listens there.
    Elsewhere,
    /// No answer, or one that can't be read.
    Failed,
}

/// A job due at some time of day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Due {
    /// When.
    pub at_ms: UnixMs,
    /// Which job.
    pub job: crate::id::JobId,
}
