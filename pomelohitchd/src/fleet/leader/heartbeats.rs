//! Tells the other members who leads.

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
use crate::fleet::wire::{self, Heartbeat, HeartbeatReply, Leader, LivenessRecord, Member};

/// How often each member is told.
pub const EVERY: Duration = Duration::from_millis(250);
/// Time for one heartbeat.
const WITHIN: Duration = Duration::from_millis(400);
/// An answer to a heartbeat is a number.
const REPLY_BYTES: usize = 64;
/// How often a sign of life is written into the store, for members that heartbeats don't reach.
const SIGN_EVERY: Duration = Duration::from_secs(1);
/// Time for that.
const SIGN_WITHIN: Duration = Duration::from_millis(800);

/// The heartbeat of a leader now.
pub(super) fn beat_of(shared: &Shared, leader: &Leader) -> Heartbeat {
    Heartbeat {
        leader: leader.clone(),
        fleet_ms: shared.fleet_ms(),
    }
}

/// Heartbeats as datagrams. They reach members also while answers to the leader wait behind other
/// bytes, as while it reads all records over a slow link.
#[derive(Debug)]
pub struct Datagrams {
    socket: UdpSocket,
    port: u16,
    leader: Leader,
}

impl Datagrams {
    /// Heartbeats of `leader`; `None`, with a log line, if they can't be sent.
    #[must_use]
    pub fn new(shared: &Shared, leader: &Leader) -> Option<Datagrams> {
        let site = shared.site.load();
        let socket = UdpSocket::bind((site.internal.ip(), 0));
        let socket = socket.and_then(|s| s.set_nonblocking(true).map(|()| s));
        let socket = socket.map_err(|error| warn!(%error, "no datagrams are sent"));
        Some(Datagrams {
            socket: socket.ok()?,
            port: site.relay.port(),
            leader: leader.clone(),
        })
    }

    /// Sends one to each peer.
    pub fn send(&self, shared: &Shared, peers: &[SocketAddr]) {
        let beat = beat_of(shared, &self.leader);
        let message = match postcard::to_allocvec(&beat) {
            Ok(message) => message,
            Err(error) => {
                warn!(%error, "message can't be written");
                return;
            }
        };
        for peer in peers {
            // One that is lost is followed by the next.
            let _ = self.socket.send_to(&message, (peer.ip(), self.port));
        }
    }

    /// Whether a member has answered that it knows a later leader.
    #[must_use]
    pub fn is_deposed(&self) -> bool {
        let mut buf = [0; REPLY_BYTES];
        while let Ok((len, _)) = self.socket.recv_from(&mut buf) {
            let reply = postcard::from_bytes::<HeartbeatReply>(&buf[..len]);
            if reply.is_ok_and(|r| r.epoch > self.leader.epoch) {
                return true;
            }
        }
        false
    }
}

/// Starts heartbeats to every member, and signs of life in the store; they end with the
/// leadership.
///
/// # Errors
/// If the system has no room for another thread.
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
        let sign = LivenessRecord {
            epoch,
            count,
            fleet_ms: shared.fleet_ms(),
        };
        let sign = progress::encode(wire::LIVENESS_KEY.into(), &sign);
        let written = sign.map(|s| store.append(Topic::Members, &[s], Guard::Free, SIGN_WITHIN));
        if !matches!(written, Ok(Ok(_))) {
            info!(?written, "sign of life not written");
        }
        std::thread::sleep(SIGN_EVERY);
    })
}

/// Starts heartbeats to one member; they end with the leadership or when the member's address
/// changes.
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
        let reply = peers::ask::<HeartbeatReply>(&client, wire::HEARTBEAT_PATH, &message, WITHIN);
        if reply.is_ok_and(|r| r.epoch > epoch) {
            let _ = tx.send(Event::Deposed("a member knows a later leader"));
        }
        std::thread::sleep(EVERY);
    });
    if let Err(error) = started {
        warn!(%error, %addr, "heartbeats can't be started");
    }
}
