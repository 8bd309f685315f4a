//! The links' thread: answers requests of peers and maintains one outgoing link to each peer.
//!
//! A connection can stop delivering data without an error while new connections work, for example
//! when a device on the path drops its state for it. Every request therefore has a timeout. When a
//! heartbeat times out, the link is closed and connected again.
//!
//! * [`handlers`]: callbacks into the process, and calls that the process makes to peers.
//! * [`clock`]: bounds the time at which a heartbeat was sent, independent of its arrival.
//! * [`outgoing`]: the link to a peer, with its heartbeats and calls.
//! * `incoming`: answers the requests of peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use capnp_rpc::{rpc_twoparty_capnp, twoparty};
use pomelohitch_core::id::MemberId;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, LocalSet};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::message::Heartbeat;

pub mod clock;
pub mod handlers;
mod incoming;
pub mod outgoing;

pub use clock::Clock;
pub use handlers::{Call, Handlers, OnAnswer, OnError, ReceivedHeartbeat};
use incoming::accept;
pub use outgoing::is_heartbeat_due;
use outgoing::run_link;

/// A link failed or the links couldn't be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The TCP connection to the peer failed.
    #[snafu(display("connect to {peer}: {source}"))]
    Connect {
        /// The peer's address.
        peer: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The peer didn't accept a connection or answer a heartbeat within the timeout.
    #[snafu(display("connection or heartbeat to {peer} timed out"))]
    Timeout {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// The answer to a heartbeat is malformed, or the connection was lost.
    #[snafu(display("heartbeat to {peer}: {source}"))]
    Rpc {
        /// The peer's address.
        peer: SocketAddr,
        /// The RPC error.
        source: capnp::Error,
    },
    /// The listener can't be used, or the links' thread can't be started.
    #[snafu(display("start the links on {listen}: {source}"))]
    Start {
        /// The address to listen on.
        listen: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Result of starting or using a link.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Timing of the links.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Interval between heartbeats on a link.
    pub interval: Duration,
    /// Timeout of each connection attempt, heartbeat and call.
    pub timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: Duration::from_secs(1),
            timeout: Duration::from_secs(1),
        }
    }
}

/// A member to which a link is maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id of the member.
    pub member: MemberId,
    /// Address on which its links listen.
    pub addr: SocketAddr,
}

/// A command to the links' thread.
#[derive(Debug)]
pub enum Command {
    /// Maintain links to exactly these peers; links to all others are closed.
    Peers(Vec<Peer>),
    /// Send a call to a peer. It waits while the link connects, and fails if that attempt fails or
    /// no link to the peer is maintained.
    Call(MemberId, Call),
}

/// Channel to the links' thread.
pub type Commands = mpsc::UnboundedSender<Command>;

/// The running links. Dropping the value closes its command channel; the thread ends when no clone
/// of the sender is left.
#[derive(Debug)]
pub struct Links {
    /// Channel to the links' thread.
    pub commands: Commands,
    thread: JoinHandle<()>,
}

impl Links {
    /// Starts the links' thread, which accepts connections of peers on `listener`. `handlers` is
    /// called on that thread, because the handlers can't be sent to another one.
    ///
    /// # Errors
    /// If the listener can't be used or the thread can't be started.
    pub fn start(
        listener: TcpListener,
        settings: Settings,
        handlers: impl FnOnce() -> Handlers + Send + 'static,
    ) -> Result<Links> {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let listen = listener.local_addr().unwrap_or(unspecified);
        listener
            .set_nonblocking(true)
            .context(StartSnafu { listen })?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(StartSnafu { listen })?;
        let (commands, rx) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                let cx = Rc::new(Context {
                    settings,
                    handlers: handlers(),
                    clock: Clock::new(rand::random(), Instant::now()),
                    last_heartbeats: RefCell::default(),
                });
                LocalSet::new().block_on(&runtime, run(cx, listener, rx));
            })
            .context(StartSnafu { listen })?;
        Ok(Links { commands, thread })
    }

    /// Drops the command channel and waits for the thread, which ends once no clone of the sender
    /// is left.
    pub fn stop(self) {
        drop(self.commands);
        // An error means that the thread panicked, which the panic hook has already reported.
        let _ = self.thread.join();
    }
}

struct Context {
    settings: Settings,
    handlers: Handlers,
    clock: Clock,
    last_heartbeats: RefCell<BTreeMap<MemberId, LastHeartbeat>>,
}

impl Context {
    fn record_heartbeat(&self, heartbeat: Heartbeat) {
        let last = LastHeartbeat {
            received_at: Instant::now(),
            clock: heartbeat.clock,
        };
        self.last_heartbeats
            .borrow_mut()
            .insert(heartbeat.member.clone(), last);
        let sent_after = self.clock.time_of(heartbeat.echo);
        (self.handlers.on_heartbeat)(ReceivedHeartbeat {
            heartbeat,
            sent_after,
        });
    }

    fn since_heartbeat(&self, member: &MemberId) -> Option<Duration> {
        self.last_heartbeats
            .borrow()
            .get(member)
            .map(|last| last.received_at.elapsed())
    }

    fn heartbeat_to(&self, member: &MemberId) -> Heartbeat {
        let last_heartbeats = self.last_heartbeats.borrow();
        Heartbeat {
            clock: self.clock.now(),
            echo: last_heartbeats.get(member).map_or(0, |last| last.clock),
            ..(self.handlers.own_heartbeat)()
        }
    }
}

/// The last heartbeat received from a peer, as a request on its link or as an answer on ours.
struct LastHeartbeat {
    received_at: Instant,
    clock: u64,
}

async fn run(
    cx: Rc<Context>,
    listener: TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let accepting = tokio::task::spawn_local(accept(cx.clone(), listener));
    let mut links = BTreeMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Peers(peers) => update_links(&cx, &mut links, peers),
            Command::Call(member, call) => forward_call(&links, &member, call),
        }
    }
    accepting.abort();
    for link in links.into_values() {
        link.task.abort();
    }
}

/// The task that maintains the link to a peer.
struct LinkTask {
    addr: SocketAddr,
    calls: mpsc::UnboundedSender<Call>,
    task: AbortHandle,
}

type LinkTasks = BTreeMap<MemberId, LinkTask>;

fn forward_call(links: &LinkTasks, member: &MemberId, call: Call) {
    match links.get(member) {
        Some(link) => {
            if let Err(mpsc::error::SendError(call)) = link.calls.send(call) {
                call.fail();
            }
        }
        None => call.fail(),
    }
}

fn update_links(cx: &Rc<Context>, links: &mut LinkTasks, peers: Vec<Peer>) {
    links.retain(|member, link| {
        let is_wanted = peers
            .iter()
            .any(|peer| peer.member == *member && peer.addr == link.addr);
        if !is_wanted {
            link.task.abort();
        }
        is_wanted
    });
    for peer in peers {
        links.entry(peer.member.clone()).or_insert_with(|| {
            let addr = peer.addr;
            let (calls, rx) = mpsc::unbounded_channel();
            let task = tokio::task::spawn_local(run_link(cx.clone(), peer, rx));
            LinkTask {
                addr,
                calls,
                task: task.abort_handle(),
            }
        });
    }
}

const CLIENT: rpc_twoparty_capnp::Side = rpc_twoparty_capnp::Side::Client;
const SERVER: rpc_twoparty_capnp::Side = rpc_twoparty_capnp::Side::Server;

fn network(
    stream: tokio::net::TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> Box<dyn capnp_rpc::VatNetwork<rpc_twoparty_capnp::Side>> {
    // Nagle's algorithm would delay these small requests and answers by tens of milliseconds. An
    // error is ignored because it only costs this delay.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    Box::new(twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        side,
        capnp::message::ReaderOptions::default(),
    ))
}
