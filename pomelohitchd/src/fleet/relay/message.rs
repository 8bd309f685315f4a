//! Messages between the leader and a relay.
//!
//! A frame is a length and a message encoded with `postcard`. Requests or replies that are ready at
//! the same time share a frame.

use std::io;
use std::sync::Arc;

use futures::{SinkExt, StreamExt};
use pomelohitch_sched::id::RunNumber;
use pomelohitch_sched::job::JobSpec;
use pomelohitch_sched::order::{Order, OrderReply, PollFailure, PollOrder, Target};
use pomelohitch_sched::{EndpointId, Epoch, Steady, TaskId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::bytes::Bytes;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::listing::Delta;
use super::spec_cache::SpecCache;

/// Identifies a call on a connection, to match its reply.
pub type CallNumber = u32;

/// Failure to send or receive a message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// The I/O error.
        source: io::Error,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("frame: {source}"))]
    Frame {
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The first frame from the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Epoch of its leadership.
    pub epoch: Epoch,
}

/// A frame from the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct Requests {
    /// When it was sent, on the leader's steady clock.
    pub sent_at: Steady,
    /// Requests, handled in this order.
    pub requests: Vec<Request>,
}

/// A request of the leader to a relay.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Specification of a job, sent before the first start of its runs.
    Job(Arc<JobSpec>),
    /// Send an order to an endpoint.
    Order(CallNumber, Target, Instruction),
    /// Poll an endpoint.
    #[serde(rename = "Look")]
    Poll(CallNumber, PollOrder),
    /// Drop the state of an endpoint that no longer exists.
    Forget(EndpointId),
}

/// An order without the specification of its job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Instruction {
    /// Starts a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Number of the run.
        run: RunNumber,
        /// Time on the endpoint's clock after which the order is void.
        deadline: Steady,
        /// Checkpoint to resume from; empty to start from the beginning.
        checkpoint: Box<str>,
        /// Ticket that the policy issued for the run.
        ticket: Option<Box<str>>,
    },
    /// Stops a run.
    Stop(TaskId, RunNumber),
    /// Throttles a run to a percentage of its full speed.
    Pace(TaskId, RunNumber, u32),
}

impl Instruction {
    /// Strips the job's specification from an order.
    #[must_use]
    pub fn from_order(order: &Order) -> Instruction {
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

    /// Restores the order; `None` if it is a start and its job's specification isn't cached.
    #[must_use]
    pub fn into_order(self, specs: &SpecCache) -> Option<Order> {
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
                spec: specs.get(task.job)?,
                deadline,
                checkpoint,
                ticket,
            },
            Instruction::Stop(task, run) => Order::Stop { task, run },
            Instruction::Pace(task, run, percent) => Order::Pace { task, run, percent },
        })
    }
}

/// A frame from the relay: results of calls. An empty one is a keep-alive.
pub type Replies = Vec<Reply>;

/// Result of a call.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Result of an order.
    Ordered(CallNumber, OrderReply),
    /// Answer to a poll, or why there is none.
    #[serde(rename = "Looked")]
    Polled(CallNumber, std::result::Result<Delta, PollFailure>),
}

/// Sends frames.
pub type Writer<W> = FramedWrite<W, LengthDelimitedCodec>;
/// Receives frames.
pub type Reader<R> = FramedRead<R, LengthDelimitedCodec>;

/// Largest frame. A poll lists at most 500 completions with their checkpoints.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The codec of frames: a length, then the message.
#[must_use]
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
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
/// If it can't be decoded, or the connection fails.
pub async fn receive<R: AsyncRead + Unpin, T: DeserializeOwned>(
    reader: &mut Reader<R>,
) -> Result<Option<T>> {
    let Some(frame) = reader.next().await else {
        return Ok(None);
    };
    let frame = frame.context(ConnectionSnafu)?;
    postcard::from_bytes(&frame).map(Some).context(FrameSnafu)
}
