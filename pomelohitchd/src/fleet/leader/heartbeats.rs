//! Heartbeats to the other members, and the leader's liveness record in the store.
//!
//! One thread sends heartbeats as datagrams and receives their acknowledgements. Members that don't
//! acknowledge them are called over connections by a fixed number of threads.

use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{self, Receiver, Sender, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::store::{AppendCondition, Topic};
use pomelohitch_sched::acks::Acks;
use pomelohitch_sched::confirmation::Confirmations;
use pomelohitch_sched::progress;
use pomelohitch_sched::{Epoch, Steady};
use tracing::{info, warn};

use super::confirmation::{Confirmation, ConfirmationWatch};
use super::core::{Event, millis, spawn_while_leading};
use crate::fleet::clock;
use crate::fleet::peers;
use crate::fleet::shared::{Shared, spawn_with};
use crate::fleet::wire::{self, Heartbeat, HeartbeatAck, HeartbeatReply, Leader, LivenessRecord};

/// Interval between the heartbeats of two groups of members.
pub const GROUP_INTERVAL: Duration = Duration::from_millis(25);
/// Number of groups, so that each member gets a heartbeat every 250 ms. Sending to one group after
/// another spreads the acknowledgements, which would overflow the socket's buffer if they arrived
/// together.
const GROUPS: u32 = 10;
/// Timeout of a heartbeat over a connection.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Number of threads that send heartbeats over connections.
const CALL_THREADS: usize = 4;
/// Maximum number of members called over connections in an interval.
const MAX_CALLS: usize = 64;
/// Maximum size of a datagram that acknowledges a heartbeat.
const MAX_ACK_BYTES: usize = 64;
/// Interval at which the liveness record is written, for members that heartbeats don't reach.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the append of the liveness record.
const LIVENESS_APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// A member's answer to a heartbeat.
#[derive(Debug, Clone, Copy)]
struct HeartbeatAnswer {
    member: SocketAddr,
    /// The highest epoch that it knows.
    epoch: Epoch,
    /// When the heartbeat was sent.
    sent_at: Steady,
    confirms: bool,
}

/// Sends heartbeats to the other members. The threads that call members over connections end when
/// this is dropped.
#[derive(Debug)]
pub struct Heartbeats {
    leader: Leader,
    datagrams: Option<Datagrams>,
    /// The other members at the start of the current interval.
    peers: Vec<SocketAddr>,
    /// The group of members that is next.
    group: u32,
    acks: Acks<SocketAddr>,
    confirmations: Confirmations<SocketAddr>,
    calls: SyncSender<SocketAddr>,
    answers: Receiver<HeartbeatAnswer>,
    /// Dropped with this, so that calls that are still queued aren't made.
    _alive: Arc<()>,
}

impl Heartbeats {
    /// Starts the threads that call members over connections.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(shared: &Arc<Shared>, leader: &Leader) -> std::io::Result<Heartbeats> {
        let (calls, rx) = mpsc::sync_channel(MAX_CALLS);
        let (tx, answers) = mpsc::channel();
        let rx = Arc::new(Mutex::new(rx));
        let alive = Arc::new(());
        for _ in 0..CALL_THREADS {
            let (rx, tx, leader) = (rx.clone(), tx.clone(), leader.clone());
            let alive = Arc::downgrade(&alive);
            spawn_with("heartbeat", shared, move |shared| {
                while let Some(peer) = next_call(&rx)
                    && alive.strong_count() > 0
                {
                    let answer = call_member(shared, &leader, peer);
                    if answer.is_some_and(|answer| tx.send(answer).is_err()) {
                        return;
                    }
                }
            })?;
        }
        Ok(Heartbeats {
            leader: leader.clone(),
            datagrams: Datagrams::new(shared),
            peers: Vec::new(),
            group: 0,
            acks: Acks::default(),
            confirmations: Confirmations::default(),
            calls,
            answers,
            _alive: alive,
        })
    }

    /// Sends heartbeats to the next group of members, to be called every [`GROUP_INTERVAL`].
    /// Returns whether a member has answered that it knows a later leader.
    pub fn send_next(&mut self, shared: &Shared) -> bool {
        let is_deposed = self.receive_answers();
        if self.group == 0 {
            self.begin_interval(shared);
        }
        if let Some(datagrams) = &self.datagrams {
            let groups = GROUPS as usize;
            let group = self.peers.iter().skip(self.group as usize).step_by(groups);
            datagrams.send(&heartbeat_of(shared, &self.leader), group);
        }
        self.group = (self.group + 1) % GROUPS;
        is_deposed
    }

    /// Updates the members, and calls those whose acknowledgements are overdue.
    fn begin_interval(&mut self, shared: &Shared) {
        let now = clock::steady();
        self.peers = shared.peers();
        let unreadable = shared.view().unreadable_members.len();
        let peers = self.peers.iter().copied();
        self.confirmations.set_members(peers, unreadable);
        self.acks.set_members(self.peers.iter().copied(), now);
        for peer in self.acks.take_overdue(now, MAX_CALLS) {
            // If the queue is full, the member is called in a later interval.
            let _ = self.calls.try_send(peer);
        }
    }

    /// Processes the answers that have arrived; returns whether one names a later leader.
    fn receive_answers(&mut self) -> bool {
        let now = clock::steady();
        let mut newest = 0;
        while let Some(answer) = self.datagrams.as_ref().and_then(Datagrams::receive) {
            newest = newest.max(answer.epoch);
            self.acks.acknowledged(&answer.member, now);
            record_answer(&mut self.confirmations, &answer, self.leader.epoch);
        }
        for answer in self.answers.try_iter() {
            newest = newest.max(answer.epoch);
            self.acks.answered(&answer.member, now);
            record_answer(&mut self.confirmations, &answer, self.leader.epoch);
        }
        newest > self.leader.epoch
    }

    /// What the members have answered so far.
    #[must_use]
    pub fn confirmations(&self) -> &Confirmations<SocketAddr> {
        &self.confirmations
    }
}

/// Records an answer to a heartbeat of the leader of `epoch`.
fn record_answer(
    confirmations: &mut Confirmations<SocketAddr>,
    answer: &HeartbeatAnswer,
    epoch: Epoch,
) {
    if answer.epoch >= epoch {
        confirmations.acknowledged(&answer.member, answer.sent_at, answer.confirms);
    }
}

/// The next member to call; `None` once the queue is closed.
fn next_call(queue: &Mutex<Receiver<SocketAddr>>) -> Option<SocketAddr> {
    let queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    queue.recv().ok()
}

/// Sends a heartbeat over a connection; returns the member's answer, if there is one.
fn call_member(shared: &Shared, leader: &Leader, peer: SocketAddr) -> Option<HeartbeatAnswer> {
    let message = heartbeat_of(shared, leader);
    let client = peers::client(peer);
    let reply = peers::ask::<HeartbeatReply>(&client, wire::HEARTBEAT_PATH, &message, TIMEOUT);
    reply.ok().map(|reply| HeartbeatAnswer {
        member: peer,
        epoch: reply.epoch,
        sent_at: Duration::from_millis(message.sent_ms),
        confirms: reply.confirms,
    })
}

/// Builds a heartbeat of `leader` with the current time of the fleet.
fn heartbeat_of(shared: &Shared, leader: &Leader) -> Heartbeat {
    Heartbeat {
        leader: leader.clone(),
        fleet_ms: shared.fleet_ms(),
        sent_ms: millis(clock::steady()),
    }
}

/// Socket for heartbeats as datagrams.
#[derive(Debug)]
struct Datagrams {
    socket: UdpSocket,
    /// Port at which members receive datagrams.
    port: u16,
}

impl Datagrams {
    /// Creates the socket. Logs a warning and returns `None` if that fails.
    fn new(shared: &Shared) -> Option<Datagrams> {
        let site = shared.site.load();
        let socket = UdpSocket::bind((site.internal.ip(), 0));
        let socket = socket.and_then(|s| s.set_nonblocking(true).map(|()| s));
        let socket = socket
            .map_err(|error| warn!(%error, "failed to open the socket for heartbeat datagrams"));
        Some(Datagrams {
            socket: socket.ok()?,
            port: site.relay.port(),
        })
    }

    fn send<'a>(&self, heartbeat: &Heartbeat, peers: impl Iterator<Item = &'a SocketAddr>) {
        let message = match postcard::to_allocvec(heartbeat) {
            Ok(message) => message,
            Err(error) => {
                warn!(%error, "failed to encode heartbeat");
                return;
            }
        };
        for peer in peers {
            // A lost datagram does no harm: the next one follows.
            let _ = self.socket.send_to(&message, (peer.ip(), self.port));
        }
    }

    /// Receives the next acknowledgement, if one has arrived. Those that can't be decoded are
    /// skipped; members that send them are called over connections.
    fn receive(&self) -> Option<HeartbeatAnswer> {
        let mut buf = [0; MAX_ACK_BYTES];
        loop {
            let len = self.socket.recv(&mut buf).ok()?;
            if let Ok(ack) = postcard::from_bytes::<HeartbeatAck>(&buf[..len]) {
                return Some(HeartbeatAnswer {
                    member: ack.member,
                    epoch: ack.epoch,
                    sent_at: Duration::from_millis(ack.sent_ms),
                    confirms: ack.confirms,
                });
            }
        }
    }
}

/// Starts the heartbeats to every member and the writes of the liveness record; they end with the
/// leadership.
///
/// # Errors
/// If a thread can't be started.
pub fn start(
    shared: &Arc<Shared>,
    leader: &Leader,
    confirmation: &Arc<Confirmation>,
    events: &Sender<Event>,
) -> std::io::Result<()> {
    let epoch = leader.epoch;
    let tx = events.clone();
    let mut heartbeats = Heartbeats::start(shared, leader)?;
    let mut watch = ConfirmationWatch::new(leader, confirmation);
    spawn_while_leading("members", shared, epoch, move |shared| {
        if heartbeats.send_next(shared) {
            // Fails only if the leadership has ended.
            let _ = tx.send(Event::Deposed("a member knows a later leader"));
        }
        let now = clock::steady();
        let knows_later = shared.view().leader.is_some_and(|l| l.epoch > epoch);
        if !knows_later && watch.update(heartbeats.confirmations(), now) {
            let _ = tx.send(Event::FormersBounded(now));
        }
        std::thread::sleep(GROUP_INTERVAL);
    })?;
    let confirmation = confirmation.clone();
    let store = shared.store();
    let mut count = 0;
    spawn_while_leading("signs", shared, epoch, move |shared| {
        count += 1;
        let record = LivenessRecord {
            epoch,
            count,
            fleet_ms: shared.fleet_ms(),
            quorum: confirmation.quorum(),
        };
        let record = progress::encode(wire::LIVENESS_KEY.into(), &record);
        let written = record.map(|r| {
            store.append(
                Topic::Members,
                &[r],
                AppendCondition::Always,
                LIVENESS_APPEND_TIMEOUT,
            )
        });
        if !matches!(written, Ok(Ok(_))) {
            info!(?written, "liveness record not written");
        }
        std::thread::sleep(LIVENESS_INTERVAL);
    })
}
