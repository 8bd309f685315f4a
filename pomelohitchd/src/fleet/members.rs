//! Follows the members and their leader in the store.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_adapter::store::{Guard, Read, Store, Topic};
use pomelohitch_sched::progress::{self, Record};
use tracing::{info, warn};

use super::clock;
use super::shared::Shared;
use super::wire::{self, Leader, LivenessRecord, Member};

/// A read waits so long for news. Shorter, and every member reads more often; longer, and a
/// connection that went silent is noticed later.
const WAIT: Duration = Duration::from_secs(2);
/// Time for the own record to be written.
const REGISTER_WITHIN: Duration = Duration::from_secs(1);
/// Pause after a call that failed.
const AGAIN_AFTER: Duration = Duration::from_millis(250);

/// Follows the topic of members until the process shuts down.
pub fn run(shared: &Arc<Shared>) {
    let store = shared.store();
    let mut is_reachable = true;
    let mut from = None;
    while !shared.is_leaving() {
        let outcome = match from {
            None => read_all(shared, &store),
            Some(from) => read_on(shared, &store, from),
        };
        match outcome {
            Ok(next) => {
                if !is_reachable {
                    info!("store regained");
                }
                is_reachable = true;
                from = next;
                register(shared, &store);
            }
            Err(error) => {
                if is_reachable {
                    warn!(%error, "store lost");
                }
                is_reachable = false;
                std::thread::sleep(AGAIN_AFTER);
            }
        }
    }
}

type Outcome = Result<Option<u64>, pomelohitch_adapter::Error>;

/// Reads every member's newest record.
///
/// # Errors
/// If the store cannot be reached, refuses or answers unreadably.
pub fn read_all(shared: &Shared, store: &Store) -> Outcome {
    let newest = store.newest(Topic::Members)?;
    shared.update(|view| {
        view.members.clear();
        view.store_answered_at = clock::steady();
        view.members_end = newest.end;
        view.is_loaded = true;
    });
    for (key, value) in &newest.records {
        take(shared, key, Some(value), false);
    }
    Ok(Some(newest.end))
}

fn read_on(shared: &Shared, store: &Store, from: u64) -> Outcome {
    match store.read(Topic::Members, from, WAIT)? {
        Read::Dropped => Ok(None),
        Read::Records { records, next } => {
            shared.update(|view| {
                view.store_answered_at = clock::steady();
                view.members_end = next;
            });
            for Record { key, value } in &records {
                take(shared, key, value.as_deref(), true);
            }
            Ok(Some(next))
        }
    }
}

/// Takes in one record, which may be old unless it `is_news`. One that can't be read names nobody.
fn take(shared: &Shared, key: &str, value: Option<&[u8]>, is_news: bool) {
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
            shared.observe_leader(&leader, is_news);
        }
    } else if key == wire::LIVENESS_KEY
        && let Some(alive) = value.and_then(|v| postcard::from_bytes::<LivenessRecord>(v).ok())
    {
        if is_news {
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

/// Writes the own record if it isn't there as it should be.
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
    let written = record.map(|r| store.append(Topic::Members, &[r], Guard::Free, REGISTER_WITHIN));
    match written {
        Ok(Ok(_)) => info!(member = %site.member, addr = %site.internal, "member registered"),
        Ok(Err(error)) => warn!(%error, "member not registered"),
        Err(error) => warn!(%error, "member not registered"),
    }
}
