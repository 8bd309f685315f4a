//! Calls to other entry instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::call::{self, Client, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tracing::warn;

/// Default timeout. Entry instances answer heartbeats and probes within a few milliseconds.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(350);
/// Connect timeout; a connection that takes longer isn't expected to succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of calls that one question to several peers makes at a time.
pub const MAX_CONCURRENT_CALLS: usize = 32;
/// Stack of a thread that makes calls, bytes.
const STACK_SIZE: usize = 256 * 1024;

/// A call to another entry instance that failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The peer didn't answer, or refused the call.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the call.
        source: call::Error,
    },
    /// A message that can't be encoded or decoded.
    #[snafu(display("{path} at {peer}: {source}"))]
    Message {
        /// Path of the call.
        path: &'static str,
        /// Entry instance that was called.
        peer: SocketAddr,
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A client of one entry instance, for one thread.
#[must_use]
pub fn client(peer: SocketAddr) -> Client {
    Client::new(peer, CONNECT_TIMEOUT)
}

/// Sends a message and reads the answer.
///
/// # Errors
/// If the peer doesn't answer in time or refuses, or a message can't be encoded or decoded.
pub fn ask<T: DeserializeOwned>(
    client: &Client,
    path: &'static str,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<T> {
    let peer = client.peer();
    let body = postcard::to_allocvec(message).context(MessageSnafu { path, peer })?;
    let body = client
        .call_ok(&Request {
            step: path,
            path,
            body: Some(&body),
            timeout,
            ..Request::default()
        })
        .context(CallSnafu)?;
    postcard::from_bytes(&body).context(MessageSnafu { path, peer })
}

/// Asks all of `peers`; returns the answers that arrive within a default timeout.
pub fn ask_all<T: DeserializeOwned + Send>(
    peers: &[SocketAddr],
    path: &'static str,
    message: &(impl Serialize + Sync),
) -> Vec<(SocketAddr, T)> {
    ask_all_within(peers, path, message, DEFAULT_TIMEOUT)
}

/// Asks all of `peers`, up to [`MAX_CONCURRENT_CALLS`] at a time; returns the answers that arrive
/// within `timeout` of their call.
pub fn ask_all_within<T: DeserializeOwned + Send>(
    peers: &[SocketAddr],
    path: &'static str,
    message: &(impl Serialize + Sync),
    timeout: Duration,
) -> Vec<(SocketAddr, T)> {
    let next = AtomicUsize::new(0);
    let answers = Mutex::new(Vec::new());
    let ask_next = || {
        while let Some(&peer) = peers.get(next.fetch_add(1, Ordering::Relaxed)) {
            if let Ok(answer) = ask::<T>(&client(peer), path, message, timeout) {
                let answers = answers.lock();
                let mut answers = answers.unwrap_or_else(PoisonError::into_inner);
                answers.push((peer, answer));
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..peers.len().min(MAX_CONCURRENT_CALLS) {
            let thread = std::thread::Builder::new()
                .name("ask".into())
                .stack_size(STACK_SIZE)
                .spawn_scoped(scope, ask_next);
            if let Err(error) = thread {
                warn!(%error, "failed to start a thread that asks peers");
            }
        }
    });
    answers.into_inner().unwrap_or_else(PoisonError::into_inner)
}
