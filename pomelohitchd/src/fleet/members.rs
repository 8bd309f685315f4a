//! Reads the topic of members, which also names their leader, and registers this member in it.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_adapter::store::{AppendCondition, Read, Store, Topic};
use pomelohitch_sched::progress::{self, Record};
use tracing::{info, warn};

use super::clock;
use super::shared::Shared;
use super::wire::{self, Leader, LivenessRecord, Member};

/// Time for which a read waits for new records. If shorter, every member reads more often; if
/// longer, a dead connection is noticed later.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Timeout of the append of this member's record.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reads the topic of members until the process shuts down.
pub fn run(shared: &Arc<Shared>) {
    let store = shared.store();
    let mut is_reachable = true;
    let mut from = None;
    while !shared.is_leaving() {
        let outcome = match from {
            None => read_all(shared, &store),
            Some(from) => read_next(shared, &store, from),
        };
        match outcome {
            Ok(next) => {
                if !is_reachable {
                    info!("store available again");
                }
                is_reachable = true;
                from = next;
                register(shared, &store);
            }
            Err(error) => {
                if is_reachable {
                    warn!(%error, "store unavailable");
                }
                is_reachable = false;
                std::thread::sleep(RETRY_DELAY);
            }
        }
    }
}

type ReadResult = Result<Option<u64>, pomelohitch_adapter::Error>;

/// Reads the newest record of every key.
///
/// # Errors
/// If the store can't be reached, refuses, or its answer can't be decoded.
pub fn read_all(shared: &Shared, store: &Store) -> ReadResult {
    let newest = store.newest(Topic::Members)?;
    shared.update(|view| {
        view.members.clear();
        view.store_answered_at = clock::steady();
        view.members_end = newest.end;
        view.is_loaded = true;
    });
    for (key, value) in &newest.records {
        apply_record(shared, key, Some(value), false);
    }
    Ok(Some(newest.end))
}

fn read_next(shared: &Shared, store: &Store, from: u64) -> ReadResult {
    match store.read(Topic::Members, from, READ_WAIT)? {
        Read::Dropped => Ok(None),
        Read::Records { records, next } => {
            shared.update(|view| {
                view.store_answered_at = clock::steady();
                view.members_end = next;
            });
            for Record { key, value } in &records {
                apply_record(shared, key, value.as_deref(), true);
            }
            Ok(Some(next))
        }
    }
}

/// Applies one record to the view; it may be old unless `is_new`. A member whose record can't be
/// decoded is removed.
fn apply_record(shared: &Shared, key: &str, value: Option<&[u8]>, is_new: bool) {
    if let Some(name) = wire::member_name(key) {
        let member = value.and_then(|v| postcard::from_bytes::<Member>(v).ok());
        shared.update(|view| match member {
            Some(member) => {
                view.members.insert(name.into(), member);
            }
            None => {
                view.members.remove(name);
            }
        });
    } else if key == wire::LEADER_KEY {
        if let Some(leader) = value.and_then(|v| postcard::from_bytes::<Leader>(v).ok()) {
            shared.observe_leader(&leader, is_new);
        }
    } else if key == wire::LIVENESS_KEY
        && let Some(alive) = value.and_then(|v| postcard::from_bytes::<LivenessRecord>(v).ok())
    {
        if is_new {
            shared.update_fleet_ms(alive.epoch, alive.fleet_ms);
        } else {
            shared.update_min_fleet_ms(alive.epoch, alive.fleet_ms);
        }
        shared.update(|view| {
            if view.leader.as_ref().is_some_and(|l| l.epoch == alive.epoch) {
                view.leader_alive_at = clock::steady();
            }
        });
    }
}

/// Writes this member's record unless it is already in the store.
fn register(shared: &Shared, store: &Store) {
    let site = shared.site.load();
    let member = Member {
        addr: site.internal,
        power: site.power,
        began_ms: shared.started_ms,
    };
    if shared.view().members.get(&site.member) == Some(&member) {
        return;
    }
    let record = progress::encode(wire::member_key(&site.member), &member);
    let written = record.map(|r| {
        store.append(
            Topic::Members,
            &[r],
            AppendCondition::Always,
            REGISTER_TIMEOUT,
        )
    });
    match written {
        Ok(Ok(_)) => info!(member = %site.member, addr = %site.internal, "member registered"),
        Ok(Err(error)) => warn!(%error, "member not registered"),
        Err(error) => warn!(%error, "member not registered"),
    }
}
