//! Calls to other entry instances.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_adapter::call::{self, Client, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Default timeout. Entry instances answer heartbeats and probes within a few milliseconds.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(350);
/// Connect timeout; a connection that takes longer isn't expected to succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack of a thread that makes one call, bytes.
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

/// Asks all of `peers` concurrently; returns the answers that arrive within a default timeout.
pub fn ask_all<T: DeserializeOwned + Send + 'static>(
    peers: &[SocketAddr],
    path: &'static str,
    message: &(impl Serialize + Clone + Send + 'static),
) -> Vec<(SocketAddr, T)> {
    ask_all_within(peers, path, message, DEFAULT_TIMEOUT)
}

/// Asks all of `peers` concurrently; returns the answers that arrive in time.
pub fn ask_all_within<T: DeserializeOwned + Send + 'static>(
    peers: &[SocketAddr],
    path: &'static str,
    message: &(impl Serialize + Clone + Send + 'static),
    timeout: Duration,
) -> Vec<(SocketAddr, T)> {
    let clients: Vec<_> = peers.iter().map(|&peer| client(peer)).collect();
    ask_clients(&clients, path, message, timeout)
}

/// Like [`ask_all_within`], but over the clients' open connections.
pub fn ask_clients<T: DeserializeOwned + Send + 'static>(
    clients: &[Client],
    path: &'static str,
    message: &(impl Serialize + Clone + Send + 'static),
    timeout: Duration,
) -> Vec<(SocketAddr, T)> {
    let threads: Vec<_> = clients
        .iter()
        .map(|client| {
            let (client, message) = (client.clone(), message.clone());
            let peer = client.peer();
            std::thread::Builder::new()
                .name("ask".into())
                .stack_size(STACK_SIZE)
                .spawn(move || ask::<T>(&client, path, &message, timeout))
                .map(|thread| (peer, thread))
        })
        .collect();
    let answers = threads.into_iter().flatten().filter_map(|(peer, thread)| {
        let answer = thread.join().ok()?.ok()?;
        Some((peer, answer))
    });
    answers.collect()
}
