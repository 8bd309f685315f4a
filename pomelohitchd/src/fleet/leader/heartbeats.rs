//! Heartbeats to the other members, and the leader's liveness record in the store.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_adapter::store::{Guard, Topic};
use pomelohitch_sched::progress;
use tracing::{info, warn};

use super::core::{Event, spawn_for};
use crate::fleet::peers;
use crate::fleet::shared::Shared;
use crate::fleet::wire::{self, Alive, Beat, BeatReply, Leader, Member};

/// Interval of the heartbeats to each member.
pub const EVERY: Duration = Duration::from_millis(250);
/// Timeout of a heartbeat.
const WITHIN: Duration = Duration::from_millis(400);
/// Maximum size of a datagram that answers a heartbeat; it holds one epoch.
const REPLY_BYTES: usize = 64;
/// Interval at which the liveness record is written, for members that heartbeats don't reach.
const SIGN_EVERY: Duration = Duration::from_secs(1);
/// Timeout of the append of the liveness record.
const SIGN_WITHIN: Duration = Duration::from_millis(800);

/// Builds a heartbeat of `leader` with the current time of the fleet.
pub(super) fn beat_of(shared: &Shared, leader: &Leader) -> Beat {
    Beat {
        leader: leader.clone(),
        fleet_ms: shared.fleet_ms(),
    }
}

/// Sends heartbeats as datagrams. These arrive also while a connection to the leader is congested,
/// as when it reads all records over a slow link.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    port: u16,
    leader: Leader,
}

impl Datagrams {
    /// Creates the socket for the heartbeats of `leader`. Logs an error and returns `None` if that
    /// fails.
    #[must_use]
    pub fn new(shared: &Shared, leader: &Leader) -> Option<Datagrams> {
        let site = shared.site.load();
        let socket = UdpSocket::bind((site.internal.ip(), 0));
        let socket = socket.and_then(|s| s.set_nonblocking(true).map(|()| s));
        let socket = socket
            .map_err(|error| warn!(%error, "failed to open the socket for heartbeat datagrams"));
        Some(Datagrams {
            socket: socket.ok()?,
            port: site.relay.port(),
            leader: leader.clone(),
        })
    }

    /// Sends one heartbeat to each peer.
    pub fn send(&self, shared: &Shared, peers: &[SocketAddr]) {
        let beat = beat_of(shared, &self.leader);
        let message = match postcard::to_allocvec(&beat) {
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
        let mut buf = [0; REPLY_BYTES];
        while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
            let reply = postcard::from_bytes::<BeatReply>(&buf[..len]);
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
    let mut told = HashMap::new();
    let (own, tx) = (leader.clone(), events.clone());
    let datagrams = Datagrams::new(shared, leader);
    spawn_for("members", shared, epoch, move |shared| {
        if let Some(datagrams) = &datagrams {
            datagrams.send(shared, &shared.peers());
            if datagrams.is_deposed() {
                let _ = tx.send(Event::Deposed("a member knows a later leader"));
            }
        }
        for (name, Member { addr, .. }) in shared.view().members {
            let is_other = addr != own.addr;
            if is_other && told.insert(name.clone(), addr) != Some(addr) {
                beat(shared, &own, name, addr, &tx);
            }
        }
        std::thread::sleep(EVERY);
    })?;
    let store = shared.store();
    let mut count = 0;
    spawn_for("signs", shared, epoch, move |shared| {
        count += 1;
        let sign = Alive {
            epoch,
            count,
            fleet_ms: shared.fleet_ms(),
        };
        let sign = progress::encode(wire::ALIVE_KEY.into(), &sign);
        let written = sign.map(|s| store.append(Topic::Members, &[s], Guard::Free, SIGN_WITHIN));
        if !matches!(written, Ok(Ok(_))) {
            info!(?written, "liveness record not written");
        }
        std::thread::sleep(SIGN_EVERY);
    })
}

/// Starts heartbeats to one member. They end with the leadership, and pause while the member has
/// another address.
fn beat(
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
    let started = spawn_for("heartbeat", shared, epoch, move |shared| {
        if shared.view().members.get(&member).map(|m| m.addr) != Some(addr) {
            std::thread::sleep(EVERY);
            return;
        }
        let message = beat_of(shared, &leader);
        let reply = peers::ask::<BeatReply>(&client, wire::BEAT, &message, WITHIN);
        if reply.is_ok_and(|r| r.epoch > epoch) {
            let _ = tx.send(Event::Deposed("a member knows a later leader"));
        }
        std::thread::sleep(EVERY);
    });
    if let Err(error) = started {
        warn!(%error, %addr, "failed to start heartbeats");
    }
}
