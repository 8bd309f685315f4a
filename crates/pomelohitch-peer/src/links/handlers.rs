//! Callbacks of the links' thread into the process, and calls that the process makes to peers.

use std::time::Instant;

use pomelohitch_core::id::MemberId;

use super::Error;
use crate::message::Heartbeat;
use crate::permits::{Batch, Claim, Replies, Verdict};

/// Receives the answer to a call, `None` if the call failed or timed out. Runs on the links'
/// thread.
pub type OnAnswer<T> = Box<dyn FnOnce(Option<T>) + Send>;

/// A call to a peer.
pub enum Call {
    /// Requests permits from the home of the resources.
    Permits(Batch, OnAnswer<Replies>),
    /// Claims or releases an idempotency key at its home.
    Claim(Claim, OnAnswer<Verdict>),
}

impl std::fmt::Debug for Call {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Call::Permits(batch, _) => f.debug_tuple("Permits").field(batch).finish(),
            Call::Claim(claim, _) => f.debug_tuple("Claim").field(claim).finish(),
        }
    }
}

impl Call {
    /// Completes the call without an answer.
    pub(super) fn fail(self) {
        match self {
            Call::Permits(_, on_answer) => on_answer(None),
            Call::Claim(_, on_answer) => on_answer(None),
        }
    }
}

/// A heartbeat received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// The peer sent it after this time, at which our clock had the echoed value; `None` if it
    /// echoes no value of our clock. The arrival time is no bound, because the heartbeat may have
    /// waited in a socket buffer.
    pub sent_after: Option<Instant>,
}

/// Receives the error of a failed link, with the peer's id.
pub type OnError = Box<dyn Fn(&MemberId, &Error)>;

/// Callbacks into the process. They run on the links' thread and must not block.
pub struct Handlers {
    /// Returns the heartbeat to send; the links set its `clock` and `echo`.
    pub own_heartbeat: Box<dyn Fn() -> Heartbeat>,
    /// Handles a heartbeat received from a peer.
    pub on_heartbeat: Box<dyn Fn(ReceivedHeartbeat)>,
    /// Answers a peer that regards this member as the home of the resources.
    pub on_batch: Box<dyn Fn(Batch) -> Replies>,
    /// Answers a peer that regards this member as the home of the key.
    pub on_claim: Box<dyn Fn(Claim) -> Verdict>,
    /// Reports a failed link; the links reconnect it on their own.
    pub on_error: OnError,
}

impl Default for Handlers {
    /// Handlers that send empty heartbeats, grant nothing and ignore all input.
    fn default() -> Self {
        Handlers {
            own_heartbeat: Box::new(Heartbeat::default),
            on_heartbeat: Box::new(|_| {}),
            on_batch: Box::new(|_| Replies::default()),
            on_claim: Box::new(|_| Verdict::Unknown),
            on_error: Box::new(|_, _| {}),
        }
    }
}
