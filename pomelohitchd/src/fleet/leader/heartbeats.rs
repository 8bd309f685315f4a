//! Heartbeats to the other members, and the leader's liveness record in the store.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_adapter::store::{AppendCondition, Topic};
use pomelohitch_sched::progress;
use tracing::{info, warn};

use super::core::{Event, spawn_while_leading};
use crate::fleet::peers;
use crate::fleet::shared::Shared;
use crate::fleet::wire::{self, Heartbeat, HeartbeatReply, Leader, LivenessRecord, Member};

/// Interval of the heartbeats to each member.
pub const INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a heartbeat.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a datagram that answers a heartbeat; it holds one epoch.
const MAX_REPLY_BYTES: usize = 64;
/// Interval at which the liveness record is written, for members that heartbeats don't reach.
const LIVENESS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the append of the liveness record.
const LIVENESS_APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Builds a heartbeat of `leader` with the current time of the fleet.
pub(super) fn heartbeat_of(shared: &Shared, leader: &Leader) -> Heartbeat {
    Heartbeat {
        leader: leader.clone(),
        fleet_ms: shared.fleet_ms(),
    }
}

/// Sends heartbeats as datagrams. These arrive also while a connection to the leader is congested,
/// as when it reads all records over a slow link.
#[derive(Debug)]
pub struct DatagramHeartbeats {
    socket: UdpSocket,
    port: u16,
    leader: Leader,
}

impl DatagramHeartbeats {
    /// Creates the socket for the heartbeats of `leader`. Logs a warning and returns `None` if that
    /// fails.
    #[must_use]
    pub fn new(shared: &Shared, leader: &Leader) -> Option<DatagramHeartbeats> {
        let site = shared.site.load();
        let socket = UdpSocket::bind((site.internal.ip(), 0));
        let socket = socket.and_then(|s| s.set_nonblocking(true).map(|()| s));
        let socket = socket
            .map_err(|error| warn!(%error, "failed to open the socket for heartbeat datagrams"));
        Some(DatagramHeartbeats {
            socket: socket.ok()?,
            port: site.relay.port(),
            leader: leader.clone(),
        })
    }

    /// Sends one heartbeat to each peer.
    pub fn send(&self, shared: &Shared, peers: &[SocketAddr]) {
        let heartbeat = heartbeat_of(shared, &self.leader);
        let message = match postcard::to_allocvec(&heartbeat) {
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

    /// Whether a member has replied that it knows a later leader.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        let mut buf = [0; MAX_REPLY_BYTES];
        while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
            let reply = postcard::from_bytes::<HeartbeatReply>(&buf[..len]);
            if reply.is_ok_and(|r| r.epoch > self.leader.epoch) {
                return true;
            }
        }
        false
    }
}

/// Starts the heartbeats to every member and the writes of the liveness record; they end with the
/// leadership.
///
/// # Errors
/// If a thread can't be started.
pub fn start(shared: &Arc<Shared>, leader: &Leader, events: &Sender<Event>) -> std::io::Result<()> {
    let epoch = leader.epoch;
    let mut started_for = HashMap::new();
    let (own, tx) = (leader.clone(), events.clone());
    let datagrams = DatagramHeartbeats::new(shared, leader);
    spawn_while_leading("members", shared, epoch, move |shared| {
        if let Some(datagrams) = &datagrams {
            datagrams.send(shared, &shared.peers());
            if datagrams.is_deposed() {
                let _ = tx.send(Event::Deposed("a member knows a later leader"));
            }
        }
        for (name, Member { addr, .. }) in shared.view().members {
            let is_other = addr != own.addr;
            if is_other && started_for.insert(name.clone(), addr) != Some(addr) {
                start_heartbeats_to(shared, &own, name, addr, &tx);
            }
        }
        std::thread::sleep(INTERVAL);
    })?;
    let store = shared.store();
    let mut count = 0;
    spawn_while_leading("signs", shared, epoch, move |shared| {
        count += 1;
        let record = LivenessRecord {
            epoch,
            count,
            fleet_ms: shared.fleet_ms(),
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

/// Starts heartbeats to one member. They end with the leadership, and pause while the member has
/// another address.
fn start_heartbeats_to(
    shared: &Arc<Shared>,
    leader: &Leader,
    member: Box<str>,
    addr: SocketAddr,
    events: &Sender<Event>,
) {
    let client = peers::client(addr);
    let epoch = leader.epoch;
    let leader = leader.clone();
    let tx = events.clone();
    let started = spawn_while_leading("heartbeat", shared, epoch, move |shared| {
        if shared.view().members.get(&member).map(|m| m.addr) != Some(addr) {
            std::thread::sleep(INTERVAL);
            return;
        }
        let message = heartbeat_of(shared, &leader);
        let reply = peers::ask::<HeartbeatReply>(&client, wire::HEARTBEAT_PATH, &message, TIMEOUT);
        if reply.is_ok_and(|r| r.epoch > epoch) {
            let _ = tx.send(Event::Deposed("a member knows a later leader"));
        }
        std::thread::sleep(INTERVAL);
    });
    if let Err(error) = started {
        warn!(%error, %addr, "failed to start heartbeats");
    }
}
