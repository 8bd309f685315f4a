//! The relay's side of relayed calls: makes them for the leader.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomelohitch_sched::order::{Order, Outcome, PollOrder, Refusal, Target};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, LocalSet};
use tokio::time;
use tokio_util::codec::{FramedRead, FramedWrite};
use tracing::{info, warn};

use super::listing::Listing;
use super::message::{self, CallNumber, Hello, Reply, Request, Requests, Writer};
use super::spec_cache::SpecCache;
use crate::fleet::calls::{Calls, OutgoingOrder};
use crate::fleet::clock;

/// Interval of keep-alive frames while there are no replies, and pause after a failed receive or
/// accept.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(100);
/// Longer datagrams are truncated; a heartbeat takes about 70 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_500;
/// Replies that arrive within this time share a frame.
const REPLY_BATCH_DELAY: Duration = Duration::from_millis(5);
/// A poll that is delayed by more than this acknowledges no completions: the endpoint may have
/// restarted since it was sent, and then numbers its completions anew.
const MAX_ACK_DELAY: Duration = Duration::from_millis(60);
/// Largest fraction by which the leader's clock may run slower than the local one.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// State shared by all connections.
#[derive(Debug, Default)]
struct SharedState {
    calls: Calls,
    /// The highest epoch of any leader that has connected.
    epoch: Cell<Epoch>,
}

/// Handler of datagrams; returns the reply, if any.
pub type DatagramHandler = Box<dyn Fn(&[u8]) -> Option<Vec<u8>>>;

/// Serves leaders until the process ends: makes their calls, and passes datagrams to `handler`.
///
/// # Errors
/// If the address can't be bound, or the async runtime can't be created.
pub fn run(addr: SocketAddr, handler: DatagramHandler) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        task::spawn_local(serve_datagrams(UdpSocket::bind(addr).await?, handler));
        serve(addr).await
    })
}

/// Serves datagrams until the process ends.
async fn serve_datagrams(socket: UdpSocket, handler: DatagramHandler) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, peer)) => {
                if let Some(reply) = handler(&buf[..len]) {
                    // Datagrams may be lost anyway; the next heartbeat is answered again.
                    let _ = socket.send_to(&reply, peer).await;
                }
            }
            Err(error) => {
                warn!(%error, "datagram can't be received");
                time::sleep(KEEPALIVE_INTERVAL).await;
            }
        }
    }
}

async fn serve(addr: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let shared = Rc::new(SharedState::default());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = shared.clone();
                task::spawn_local(async move {
                    if let Err(error) = serve_leader(shared, stream).await {
                        info!(%peer, %error, "relay session failed");
                    }
                });
            }
            Err(error) => {
                warn!(%error, "relay connection can't be accepted");
                time::sleep(KEEPALIVE_INTERVAL).await;
            }
        }
    }
}

async fn serve_leader(shared: Rc<SharedState>, stream: TcpStream) -> message::Result<()> {
    // A failure only delays small frames.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut reader = FramedRead::new(read, message::codec());
    let Some(Hello { epoch }) = message::receive(&mut reader).await? else {
        return Ok(());
    };
    if epoch < shared.epoch.get() {
        info!(
            epoch,
            known = shared.epoch.get(),
            "relay session refused: later leader known"
        );
        return Ok(());
    }
    shared.epoch.set(epoch);
    let (tx, rx) = mpsc::unbounded_channel();
    task::spawn_local(send_replies(FramedWrite::new(write, message::codec()), rx));
    let mut session = Session {
        shared,
        epoch,
        tx,
        specs: SpecCache::default(),
        listings: Rc::default(),
        delay_estimator: DelayEstimator::default(),
    };
    session.run(&mut reader).await
}

/// Sends replies until all senders are dropped; those that are queued at a time share a frame.
async fn send_replies(mut writer: Writer<OwnedWriteHalf>, mut rx: UnboundedReceiver<Reply>) {
    let mut replies = Vec::new();
    loop {
        match time::timeout(KEEPALIVE_INTERVAL, rx.recv()).await {
            Ok(None) => return,
            Ok(Some(reply)) => {
                replies.push(reply);
                time::sleep(REPLY_BATCH_DELAY).await;
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
pub struct DelayEstimator {
    /// Smallest difference so far between the local clock and a frame's send time, in seconds,
    /// raised over time by the allowed drift.
    min_offset: Option<f64>,
    updated_at: Steady,
}

impl DelayEstimator {
    /// Records a frame and returns its delay.
    pub fn record(&mut self, sent_at: Steady, now: Steady) -> Duration {
        let offset = now.as_secs_f64() - sent_at.as_secs_f64();
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let min_offset = self.min_offset.unwrap_or(offset) + passed * MAX_CLOCK_DRIFT;
        let min_offset = min_offset.min(offset);
        self.min_offset = Some(min_offset);
        Duration::from_secs_f64((offset - min_offset).max(0.0))
    }
}

/// The calls of one leader over one connection.
struct Session {
    shared: Rc<SharedState>,
    epoch: Epoch,
    tx: UnboundedSender<Reply>,
    specs: SpecCache,
    listings: Rc<RefCell<HashMap<EndpointId, Listing>>>,
    delay_estimator: DelayEstimator,
}

impl Session {
    async fn run(&mut self, reader: &mut message::Reader<OwnedReadHalf>) -> message::Result<()> {
        while let Some(Requests { sent_at, requests }) = message::receive(reader).await? {
            if self.epoch < self.shared.epoch.get() {
                info!(
                    epoch = self.epoch,
                    "relay session ended: later leader known"
                );
                return Ok(());
            }
            let now = clock::steady();
            let delay = self.delay_estimator.record(sent_at, now);
            let sent_at = now.saturating_sub(delay);
            for request in requests {
                self.handle(request, sent_at);
            }
        }
        Ok(())
    }

    fn handle(&mut self, request: Request, sent_at: Steady) {
        match request {
            Request::Job(spec) => {
                self.specs.insert(&spec);
            }
            Request::Order(number, target, instruction) => {
                if let Some(order) = instruction.into_order(&self.specs) {
                    self.order(number, target, order, sent_at);
                } else {
                    warn!(endpoint = %target.id, "start refused: job specification missing");
                    let unsent = Outcome::Refused(Refusal::Unsent).into();
                    self.reply(Reply::Ordered(number, unsent));
                }
            }
            Request::Poll(number, poll) => self.poll(number, poll, sent_at),
            Request::Forget(id) => {
                self.shared.calls.forget(&id);
                self.listings.borrow_mut().remove(&id);
            }
        }
    }

    fn reply(&self, reply: Reply) {
        // If the connection has ended meanwhile, the leader has failed the call.
        let _ = self.tx.send(reply);
    }

    fn order(&self, number: CallNumber, target: Target, order: Order, decided_at: Steady) {
        let outgoing = OutgoingOrder {
            target,
            order,
            epoch: self.epoch,
            decided_at,
        };
        let (shared, tx) = (self.shared.clone(), self.tx.clone());
        task::spawn_local(async move {
            let reply = shared.calls.order(&outgoing).await;
            let _ = tx.send(Reply::Ordered(number, reply));
        });
    }

    fn poll(&self, number: CallNumber, mut poll: PollOrder, sent_at: Steady) {
        let (shared, tx) = (self.shared.clone(), self.tx.clone());
        let listings = self.listings.clone();
        task::spawn_local(async move {
            if clock::steady().saturating_sub(sent_at) > MAX_ACK_DELAY {
                poll.noted = 0;
            }
            let result = shared.calls.poll(&poll).await;
            let result = result.map(|reply| {
                let mut listings = listings.borrow_mut();
                listings.entry(poll.target.id).or_default().encode(reply)
            });
            let _ = tx.send(Reply::Polled(number, result));
        });
    }
}
