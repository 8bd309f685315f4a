//! Messages between the leader and a member that carries its calls.
//!
//! Frames of a length and a message in `postcard`. What there is to tell at a time goes into one
//! frame.

use std::io;
use std::sync::Arc;

use futures::{SinkExt, StreamExt};
use pomelohitch_sched::id::RunNumber;
use pomelohitch_sched::job::JobSpec;
use pomelohitch_sched::order::{LookFailure, LookOrder, Order, Outcome, Target};
use pomelohitch_sched::{EndpointId, Epoch, Steady, TaskId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::jobs::Jobs;
use super::listing::Delta;

/// Tells which call an answer belongs to.
pub type CallNumber = u32;

/// A message that can't be sent or received.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// Why.
        source: io::Error,
    },
    /// A frame that can't be read or written.
    #[snafu(display("frame: {source}"))]
    Frame {
        /// What is wrong with it.
        source: postcard::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The first frame of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Which leadership.
    pub epoch: Epoch,
}

/// A frame of the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct Requests {
    /// When it was sent, on the leader's steady clock.
    pub sent_at: Steady,
    /// What is asked, in order.
    pub requests: Vec<Request>,
}

/// What the leader asks.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Describes a job whose starts follow.
    Job(Arc<JobSpec>),
    /// Sends an order.
    Order(CallNumber, Target, Instruction),
    /// Polls an endpoint.
    Look(CallNumber, LookOrder),
    /// An endpoint isn't known any more.
    Forget(EndpointId),
}

/// An order without the description of its job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Instruction {
    /// Starts a run.
    Start {
        /// Which task.
        task: TaskId,
        /// Which run.
        run: RunNumber,
        /// The order is void after this point of the endpoint's clock.
        deadline: Steady,
        /// Where to go on; empty for the start.
        checkpoint: Box<str>,
        /// What the policy gave out for it.
        ticket: Option<Box<str>>,
    },
    /// Stops a run.
    Stop(TaskId, RunNumber),
    /// Lets a run work at a share of its speed, percent.
    Pace(TaskId, RunNumber, u32),
}

impl Instruction {
    /// The order without its job.
    #[must_use]
    pub fn of(order: &Order) -> Instruction {
        match order {
            Order::Start {
                task,
                run,
                deadline,
                checkpoint,
                ticket,
                ..
            } => Instruction::Start {
                task: *task,
                run: *run,
                deadline: *deadline,
                checkpoint: checkpoint.clone(),
                ticket: ticket.clone(),
            },
            Order::Stop { task, run } => Instruction::Stop(*task, *run),
            Order::Pace { task, run, percent } => Instruction::Pace(*task, *run, *percent),
        }
    }

    /// The whole order, if its job was described.
    #[must_use]
    pub fn order(self, jobs: &Jobs) -> Option<Order> {
        Some(match self {
            Instruction::Start {
                task,
                run,
                deadline,
                checkpoint,
                ticket,
            } => Order::Start {
                task,
                run,
                spec: jobs.get(task.job)?,
                deadline,
                checkpoint,
                ticket,
            },
            Instruction::Stop(task, run) => Order::Stop { task, run },
            Instruction::Pace(task, run, percent) => Order::Pace { task, run, percent },
        })
    }
}

/// A frame of the member: how calls ended. An empty one says that it lives.
pub type Replies = Vec<Reply>;

/// How a call ended.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// An order.
    Ordered(CallNumber, Outcome),
    /// A poll.
    Looked(CallNumber, std::result::Result<Delta, LookFailure>),
}

/// Sends frames.
pub type Writer<W> = FramedWrite<W, LengthDelimitedCodec>;
/// Receives frames.
pub type Reader<R> = FramedRead<R, LengthDelimitedCodec>;

/// Frames of at most this many bytes: a poll lists at most 500 ends with their checkpoints.
const FRAME_BYTES: usize = 4 * 1024 * 1024;

/// How frames are told apart.
#[must_use]
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec()
}

/// Sends a message.
///
/// # Errors
/// If it can't be encoded, or the connection fails.
pub async fn send<W: AsyncWrite + Unpin>(
    writer: &mut Writer<W>,
    message: &impl Serialize,
) -> Result<()> {
    let frame = postcard::to_allocvec(message).context(FrameSnafu)?;
    let frame = Bytes::from(frame);
    writer.send(frame).await.context(ConnectionSnafu)
}

/// Receives a message; `None` when the connection has ended.
///
/// # Errors
/// If it can't be read, or the connection fails.
pub async fn receive<R: AsyncRead + Unpin, T: DeserializeOwned>(
    reader: &mut Reader<R>,
) -> Result<Option<T>> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame.context(ConnectionSnafu)?;
    postcard::from_bytes(&frame).map(Some).context(FrameSnafu)
}
