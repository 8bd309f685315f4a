//! Tells the other members who leads.

use std::collections::HashMap;
use std::net::SocketAddr;
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

/// How often each member is told.
pub const EVERY: Duration = Duration::from_millis(250);
/// Time for one heartbeat.
const WITHIN: Duration = Duration::from_millis(400);
/// How often a sign of life is written into the store, for members that heartbeats don't reach.
const SIGN_EVERY: Duration = Duration::from_secs(1);
/// Time for that.
const SIGN_WITHIN: Duration = Duration::from_millis(800);

/// Starts heartbeats to every member, and signs of life in the store; they end with the
/// leadership.
///
/// # Errors
/// If the system has no room for another thread.
pub fn start(shared: &Arc<Shared>, leader: &Leader, events: &Sender<Event>) -> std::io::Result<()> {
    let epoch = leader.epoch;
    let mut told = HashMap::new();
    let (own, tx) = (leader.clone(), events.clone());
    spawn_for("members", shared, epoch, move |shared| {
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
    spawn_for("signs", shared, epoch, move |_| {
        count += 1;
        let sign = progress::encode(wire::ALIVE_KEY.into(), &Alive { epoch, count });
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
    let message = Beat {
        leader: leader.clone(),
    };
    let tx = events.clone();
    let started = spawn_for("heartbeat", shared, epoch, move |shared| {
        if shared.view().members.get(&member).map(|m| m.addr) != Some(addr) {
            std::thread::sleep(EVERY);
            return;
        }
        let reply = peers::ask::<BeatReply>(&client, wire::BEAT, &message, WITHIN);
        if reply.is_ok_and(|r| r.epoch > epoch) {
            let _ = tx.send(Event::Deposed("a member knows a later leader"));
        }
        std::thread::sleep(EVERY);
    });
    if let Err(error) = started {
        warn!(%error, %addr, "heartbeats can't be started");
    }
}
