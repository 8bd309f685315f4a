//! The relay's side of relayed calls: makes them for the leader.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomelohitch_sched::order::{LookOrder, Order, Outcome, Refusal, Target};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, LocalSet};
use tokio::time;
use tokio_util::codec::{FramedRead, FramedWrite};
use tracing::{info, warn};

use super::jobs::Jobs;
use super::listing::Listing;
use super::message::{self, CallNumber, Hello, Reply, Request, Requests, Writer};
use crate::fleet::calls::{Calls, Sending};
use crate::fleet::clock;

/// Interval of keep-alive frames while there are no replies, and pause after a failed receive or
/// accept.
const ALIVE_EVERY: Duration = Duration::from_millis(100);
/// Longer datagrams are truncated; a heartbeat takes about 60 bytes.
const DATAGRAM_BYTES: usize = 1_500;
/// Replies that arrive within this time share a frame.
const GATHER: Duration = Duration::from_millis(5);
/// A poll that is delayed by more than this acknowledges no completions: the endpoint may have
/// restarted since it was sent, and then numbers its completions anew.
const SURE_FOR: Duration = Duration::from_millis(60);
/// Largest fraction by which the leader's clock may run slower than the local one.
const CLOCK_DRIFT: f64 = 0.001;

/// State shared by all connections.
#[derive(Debug, Default)]
struct Common {
    calls: Calls,
    /// The highest epoch of any leader that has connected.
    epoch: Cell<Epoch>,
}

/// Handler of datagrams; returns the reply, if any.
pub type Answer = Box<dyn Fn(&[u8]) -> Option<Vec<u8>>>;

/// Serves leaders until the process ends: makes their calls, and has `answer` handle datagrams.
///
/// # Errors
/// If the address can't be bound, or the async runtime can't be created.
pub fn run(addr: SocketAddr, answer: Answer) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        task::spawn_local(hear(UdpSocket::bind(addr).await?, answer));
        serve(addr).await
    })
}

/// Serves datagrams until the process ends.
async fn hear(socket: UdpSocket, answer: Answer) {
    let mut buf = [0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, peer)) => {
                if let Some(reply) = answer(&buf[..len]) {
                    // Datagrams may be lost anyway; the next heartbeat is answered again.
                    let _ = socket.send_to(&reply, peer).await;
                }
            }
            Err(error) => {
                warn!(%error, "datagram can't be received");
                time::sleep(ALIVE_EVERY).await;
            }
        }
    }
}

async fn serve(addr: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let common = Rc::new(Common::default());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let common = common.clone();
                task::spawn_local(async move {
                    if let Err(error) = serve_leader(common, stream).await {
                        info!(%peer, %error, "relay session failed");
                    }
                });
            }
            Err(error) => {
                warn!(%error, "relay connection can't be accepted");
                time::sleep(ALIVE_EVERY).await;
            }
        }
    }
}

async fn serve_leader(common: Rc<Common>, stream: TcpStream) -> message::Result<()> {
    // A failure only delays small frames.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader = FramedRead::new(read, message::codec());
    let Some(Hello { epoch }) = message::receive(&mut reader).await? else {
        return Ok(());
    };
    if epoch < common.epoch.get() {
        info!(epoch, known = common.epoch.get(), "relay session refused: later leader known");
        return Ok(());
    }
    common.epoch.set(epoch);
    let (tx, rx) = mpsc::unbounded_channel();
    task::spawn_local(reply(FramedWrite::new(write, message::codec()), rx));
    let mut session = Session {
        common,
        epoch,
        tx,
        jobs: Jobs::default(),
        listings: Rc::default(),
        lateness: Lateness::default(),
    };
    session.run(&mut reader).await
}

/// Sends replies, all that are queued in one frame, until all senders are dropped.
async fn reply(mut writer: Writer<OwnedWriteHalf>, mut rx: UnboundedReceiver<Reply>) {
    let mut replies = Vec::new();
    loop {
        match time::timeout(ALIVE_EVERY, rx.recv()).await {
            Ok(None) => return,
            Ok(Some(reply)) => {
                replies.push(reply);
                time::sleep(GATHER).await;
            }
            Err(_) => {}
        }
        while let Ok(reply) = rx.try_recv() {
            replies.push(reply);
        }
        // The reader detects a failed connection as well.
        if message::send(&mut writer, &replies).await.is_err() {
            return;
        }
        replies.clear();
    }
}

/// Estimates how much longer than usual the leader's frames were in transit.
#[derive(Debug, Default)]
pub struct Lateness {
    /// Smallest difference so far between the local clock and a frame's send time, in seconds,
    /// raised over time by the allowed drift.
    least: Option<f64>,
    taken_at: Steady,
}

impl Lateness {
    /// Records a frame and returns its delay.
    pub fn of(&mut self, sent_at: Steady, now: Steady) -> Duration {
        let ahead = now.as_secs_f64() - sent_at.as_secs_f64();
        let passed = now.saturating_sub(self.taken_at).as_secs_f64();
        self.taken_at = now;
        let least = self.least.unwrap_or(ahead) + passed * CLOCK_DRIFT;
        let least = least.min(ahead);
        self.least = Some(least);
        Duration::from_secs_f64((ahead - least).max(0.0))
    }
}

/// The calls of one leader over one connection.
struct Session {
    common: Rc<Common>,
    epoch: Epoch,
    tx: UnboundedSender<Reply>,
    jobs: Jobs,
    listings: Rc<RefCell<HashMap<EndpointId, Listing>>>,
    lateness: Lateness,
}

impl Session {
    async fn run(&mut self, reader: &mut message::Reader<OwnedReadHalf>) -> message::Result<()> {
        while let Some(Requests { sent_at, requests }) = message::receive(reader).await? {
            if self.epoch < self.common.epoch.get() {
                info!(epoch = self.epoch, "relay session ended: later leader known");
                return Ok(());
            }
            let now = clock::steady();
            let late = self.lateness.of(sent_at, now);
            let sent_at = now.saturating_sub(late);
            for request in requests {
                self.take(request, sent_at);
            }
        }
        Ok(())
    }

    fn take(&mut self, request: Request, sent_at: Steady) {
        match request {
            Request::Job(spec) => {
                self.jobs.insert(&spec);
            }
            Request::Order(number, target, instruction) => {
                if let Some(order) = instruction.order(&self.jobs) {
                    self.order(number, target, order, sent_at);
                } else {
                    warn!(endpoint = %target.id, "start refused: job specification missing");
                    let unsent = Outcome::Refused(Refusal::Unsent);
                    self.reply(Reply::Ordered(number, unsent));
                }
            }
            Request::Look(number, look) => self.look(number, look, sent_at),
            Request::Forget(id) => {
                self.common.calls.forget(&id);
                self.listings.borrow_mut().remove(&id);
            }
        }
    }

    fn reply(&self, reply: Reply) {
        // If the connection has ended meanwhile, the leader has failed the call.
        let _ = self.tx.send(reply);
    }

    fn order(&self, number: CallNumber, target: Target, order: Order, at: Steady) {
        let sending = Sending {
            target,
            order,
            epoch: self.epoch,
            at,
        };
        let (common, tx) = (self.common.clone(), self.tx.clone());
        task::spawn_local(async move {
            let outcome = common.calls.order(&sending).await;
            let _ = tx.send(Reply::Ordered(number, outcome));
        });
    }

    fn look(&self, number: CallNumber, mut look: LookOrder, sent_at: Steady) {
        let (common, tx) = (self.common.clone(), self.tx.clone());
        let listings = self.listings.clone();
        task::spawn_local(async move {
            if clock::steady().saturating_sub(sent_at) > SURE_FOR {
                look.noted = 0;
            }
            let looked = common.calls.look(&look).await;
            let looked = looked.map(|answer| {
                let mut listings = listings.borrow_mut();
                listings.entry(look.target.id).or_default().encode(answer)
            });
            let _ = tx.send(Reply::Looked(number, looked));
        });
    }
}
