//! Serves other entry instances.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_adapter::store::Topic;
use pomelohitch_sched::Steady;
use rouille::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use super::leader::core::millis;
use super::shared::Shared;
use super::wire::{self, Claim, Heartbeat, HeartbeatAck, HeartbeatReply, Probe, ProbeReply};
use super::{callers, clock};
use crate::front::{Incoming, Limits, Service};

/// Most connections from other entry instances. Each instance keeps a few open for forwarded
/// requests and opens more while requests wait: up to a second during an outage of the store, at
/// 100 requests a second.
const MAX_CONNECTIONS: usize = 1_024;

/// Limits for the connections of other entry instances.
#[must_use]
pub fn limits() -> Limits {
    Limits {
        connections: MAX_CONNECTIONS,
        idle_timeout: Duration::from_mins(1),
        idle_check_interval: Duration::from_secs(1),
        shutdown_check_interval: Duration::from_millis(100),
        shutdown_grace: Duration::ZERO,
        ..Limits::default()
    }
}

/// The handler of other entry instances' requests.
#[must_use]
pub fn service(shared: &Arc<Shared>) -> Service {
    let leaving = shared.clone();
    let shared = shared.clone();
    Service {
        is_leaving: Box::new(move || leaving.is_leaving()),
        answer: Box::new(move |incoming| answer(&shared, &incoming)),
    }
}

fn answer(shared: &Shared, incoming: &Incoming) -> Response {
    let target = &*incoming.head.target;
    match target {
        wire::HEARTBEAT_PATH => respond(&incoming.body, |heartbeat: Heartbeat| {
            handle_heartbeat(shared, &heartbeat)
        }),
        wire::PROBE_PATH => respond(&incoming.body, |probe: Probe| handle_probe(shared, &probe)),
        wire::CLAIM_PATH => respond(&incoming.body, |claim: Claim| shared.request_claim(claim)),
        _ => match target.strip_prefix(wire::FORWARD_PREFIX) {
            Some(path) => callers::answer_forwarded(shared, incoming, path),
            None => Response::empty_404(),
        },
    }
}

/// Handles a leader's heartbeat that arrived as a datagram; returns the acknowledgement.
#[must_use]
pub fn handle_datagram(shared: &Shared, datagram: &[u8]) -> Option<Vec<u8>> {
    let heartbeat: Heartbeat = match postcard::from_bytes(datagram) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            warn!(%error, "heartbeat datagram can't be decoded");
            return None;
        }
    };
    let HeartbeatReply { epoch, confirms } = handle_heartbeat(shared, &heartbeat);
    let ack = HeartbeatAck {
        epoch,
        member: shared.site.load().internal,
        sent_ms: heartbeat.sent_ms,
        confirms,
    };
    postcard::to_allocvec(&ack)
        .map_err(|error| warn!(%error, "reply can't be encoded"))
        .ok()
}

fn handle_heartbeat(shared: &Shared, heartbeat: &Heartbeat) -> HeartbeatReply {
    let is_current = shared.observe_leader(&heartbeat.leader, true);
    if is_current {
        shared.update_fleet_ms(heartbeat.leader.epoch, heartbeat.fleet_ms);
        let now = clock::steady();
        shared.update(|view| {
            view.leader_heard_at = now;
            view.leader_alive_at = now;
        });
    }
    let view = shared.view();
    let epoch = view.leader.map_or(0, |l| l.epoch);
    HeartbeatReply {
        epoch,
        confirms: view.is_loaded && epoch == heartbeat.leader.epoch,
    }
}

fn handle_probe(shared: &Shared, probe: &Probe) -> ProbeReply {
    let view = shared.view();
    let silent_for: Steady = clock::steady().saturating_sub(view.leader_heard_at);
    let heard_ms = match shared.leadership() {
        Some(_) => 0,
        None => millis(silent_for),
    };
    ProbeReply {
        epoch: known_epoch(shared),
        heard_ms,
        has_store: probe.with_store && reaches_store(shared, view.members_end),
        is_leaving: shared.is_leaving(),
        up_ms: millis(clock::steady().saturating_sub(shared.started_at)),
        power: shared.site.load().power,
    }
}

fn known_epoch(shared: &Shared) -> u64 {
    shared.view().leader.map_or(0, |l| l.epoch)
}

/// Whether the store answers this process, within a timeout that is shorter than that of a probe,
/// so that the reply to the probe arrives in time.
pub(super) fn reaches_store(shared: &Shared, from: u64) -> bool {
    shared
        .store()
        .answers(Topic::Members, from, wire::STORE_TRY_TIMEOUT)
}

fn respond<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    answer: impl FnOnce(Q) -> A,
) -> Response {
    match postcard::from_bytes(body) {
        Ok(request) => encode_response(&answer(request)),
        Err(error) => {
            warn!(%error, "message from an entry instance can't be decoded");
            Response::text("unreadable").with_status_code(400)
        }
    }
}

fn encode_response(message: &impl Serialize) -> Response {
    match postcard::to_allocvec(message) {
        Ok(body) => Response::from_data("application/octet-stream", body),
        Err(error) => {
            warn!(%error, "reply can't be encoded");
            Response::text("unwritable").with_status_code(500)
        }
    }
}
