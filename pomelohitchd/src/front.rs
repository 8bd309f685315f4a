//! The callers' port.
//!
//! * [`limits`]: limits per request, per connection and over all connections.
//! * [`connection`]: reads requests from one connection and writes their answers.
//! * [`exchange`]: handles one request from its head to its answer.
//!
//! The server of `rouille` limits neither the size of heads and bodies, nor the number of
//! connections, nor slow senders, so a few callers could exhaust the memory of an entry instance.
//! Connections are therefore accepted here, within limits; only the request and response types
//! are those of `rouille`.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_route::Head;
use rouille::Response;
use tracing::warn;

use crate::node::Node;

pub mod connection;
pub mod exchange;
pub mod limits;

pub use limits::Limits;

use exchange::Exchange;
use limits::{Budget, BudgetGuard};

/// Polling interval during a graceful shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Stack size of a connection's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Delay after a failed accept, most often caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One complete request.
#[derive(Debug)]
pub struct Incoming {
    /// Request line and headers.
    pub head: Head,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Time at which its head was complete.
    pub arrived: Instant,
    /// The caller's connection.
    pub caller: Arc<TcpStream>,
}

impl Incoming {
    /// Whether the caller has closed its connection, so that nobody waits for the answer.
    #[must_use]
    pub fn has_caller_left(&self) -> bool {
        if self.caller.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.caller.peek(&mut [0]);
        let is_usable = self.caller.set_nonblocking(false).is_ok();
        match peeked {
            Ok(0) => true,
            Ok(_) => !is_usable,
            Err(error) => !is_usable || error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// The callbacks with which the port serves requests.
pub struct Service {
    /// Whether the process shuts down.
    pub is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
    /// Answers a request.
    pub answer: Box<dyn Fn(Incoming) -> Response + Send + Sync>,
}

/// State shared by the connections.
pub struct Front {
    service: Service,
    /// Limits on connections, sizes and times.
    pub limits: Limits,
    connections: Budget,
    body_bytes: Budget,
}

impl Front {
    fn is_leaving(&self) -> bool {
        (self.service.is_leaving)()
    }
}

/// Serves callers until `node` shuts down and the last answer is written.
pub fn run(node: &Arc<Node>, listener: &TcpListener) {
    serve(node, listener, Limits::default());
}

/// Serves callers within `limits` until `node` shuts down and the last answer is written.
pub fn serve(node: &Arc<Node>, listener: &TcpListener, limits: Limits) {
    let exchange = Exchange::new(node.clone());
    let node = node.clone();
    let service = Service {
        is_leaving: Box::new(move || node.is_leaving()),
        answer: Box::new(move |i| exchange.answer(i.head, i.body, i.peer, i.arrived)),
    };
    serve_with(service, listener, limits);
}

/// Serves `service` within `limits` until it shuts down and the last answer is written.
pub fn serve_with(service: Service, listener: &TcpListener, limits: Limits) {
    let front = front(service, limits);
    match listener.try_clone() {
        Ok(listener) => accept_in_background(&front, listener),
        Err(error) => warn!(%error, "could not start accepting callers"),
    }
    while !front.is_leaving() {
        std::thread::sleep(front.limits.shutdown_check_interval);
    }
    shut_down(&front, listener);
}

/// Serves `service` within `limits` in the background, until the process ends.
pub fn serve_in_background(service: Service, listener: TcpListener, limits: Limits) {
    accept_in_background(&front(service, limits), listener);
}

fn front(service: Service, limits: Limits) -> Arc<Front> {
    Arc::new(Front {
        service,
        connections: Budget::new(limits.connections),
        body_bytes: Budget::new(limits.total_body_bytes),
        limits,
    })
}

/// The balancer takes a while to notice that this entry instance shuts down. During
/// `shutdown_grace` new connections are still served; afterwards they are refused until the last
/// request in flight has its answer.
fn shut_down(front: &Front, listener: &TcpListener) {
    std::thread::sleep(front.limits.shutdown_grace);
    while front.connections.used() > 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    // Wakes the accepting thread, which then sees that the shutdown is over.
    if let Ok(addr) = listener.local_addr() {
        let _ = TcpStream::connect_timeout(&addr, POLL_INTERVAL);
    }
}

fn accept_in_background(front: &Arc<Front>, listener: TcpListener) {
    let front = front.clone();
    let accepting = move || accept(&front, &listener);
    let started = std::thread::Builder::new()
        .name("accept".into())
        .spawn(accepting);
    if let Err(error) = started {
        warn!(%error, "could not start accepting callers");
    }
}

fn accept(front: &Arc<Front>, listener: &TcpListener) {
    let mut leaving_since = None;
    loop {
        let accepted = listener.accept();
        if leaving_since.is_none() && front.is_leaving() {
            leaving_since = Some(Instant::now());
        }
        let is_over = leaving_since.is_some_and(|at| at.elapsed() >= front.limits.shutdown_grace);
        if is_over && front.connections.used() == 0 {
            return;
        }
        let Ok((stream, peer)) = accepted else {
            metrics::counter!("caller_accept_errors").increment(1);
            std::thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        match front.connections.take(1) {
            Some(guard) if !is_over => start(front, stream, peer, guard),
            _ => refuse(front, &stream),
        }
    }
}

fn start(front: &Arc<Front>, stream: TcpStream, peer: std::net::SocketAddr, guard: BudgetGuard) {
    let front = front.clone();
    let stream = Arc::new(stream);
    let serving = move || {
        connection::serve(&front, &stream, peer);
        drop(guard);
    };
    let started = std::thread::Builder::new()
        .name("caller".into())
        .stack_size(STACK_BYTES)
        .spawn(serving);
    if started.is_err() {
        // The connection is dropped, and with it the guard: the caller sees it close unanswered.
        metrics::counter!("caller_thread_errors").increment(1);
    }
}

/// Refuses a connection. The answer fits into the empty send buffer of a new connection, so the
/// write never blocks.
fn refuse(front: &Front, mut stream: &TcpStream) {
    metrics::counter!("callers_refused").increment(1);
    let response = (front.limits.no_room)("no room for another connection", None);
    let _ = stream.write_all(&connection::last_answer(response));
}
