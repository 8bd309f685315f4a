//! Reads the topic of members, which also names their leader, and registers this member in it.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_adapter::store::{AppendCondition, Read, Store, Topic};
use pomelohitch_sched::progress;
use tracing::{info, warn};

use super::clock;
use super::shared::{Shared, View};
use super::wire::{self, CheckedRecord, Leader, LivenessRecord, Member};

/// Time for which a read waits for new records. If shorter, every member reads more often; if
/// longer, a dead connection is noticed later.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Timeout of the append of this member's record.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval of the reads of a member that hears the leader. The leader writes a liveness record each
/// second, which would otherwise cause a read by every member.
const FOLLOWER_READ_INTERVAL: Duration = Duration::from_secs(3);
/// A member that hasn't heard the leader for this long reads again at once, so that it knows the
/// newest records before it suspects the leader.
const HEARD_WITHIN: Duration = Duration::from_millis(600);
/// Interval at which a member that waits for its next read checks whether it hears the leader.
const HEARD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
                wait_for_next_read(shared);
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

/// Waits until the next read is due: after [`FOLLOWER_READ_INTERVAL`] while this member follows a
/// leader that it hears, else at once.
fn wait_for_next_read(shared: &Shared) {
    let due = clock::steady() + FOLLOWER_READ_INTERVAL;
    while !shared.is_leaving() && is_following(shared) && clock::steady() < due {
        std::thread::sleep(HEARD_CHECK_INTERVAL);
    }
}

fn is_following(shared: &Shared) -> bool {
    let silent_for = clock::steady().saturating_sub(shared.view().leader_heard_at);
    shared.leadership().is_none() && silent_for < HEARD_WITHIN
}

type ReadResult = Result<Option<u64>, pomelohitch_adapter::Error>;

/// Reads the newest record of every key.
///
/// # Errors
/// If the store can't be reached, refuses, or its answer can't be decoded.
pub fn read_all(shared: &Shared, store: &Store) -> ReadResult {
    let newest = store.newest(Topic::Members)?;
    let records = newest.records.iter();
    let records: Vec<_> = records.map(|(k, v)| (&**k, Some(&**v))).collect();
    // First, since a process that knows its members or has loaded them may confirm a leader.
    apply_leaders(shared, &records, false);
    shared.update(|view| {
        view.members = Arc::default();
        view.unreadable_members.clear();
        apply_members(view, &records);
        let unreadable = newest.unreadable.iter();
        let names = unreadable.filter_map(|error| wire::member_name(error.key()));
        view.unreadable_members.extend(names.map(Box::from));
        view.store_answered_at = clock::steady();
        view.members_end = newest.end;
        view.is_loaded = true;
    });
    Ok(Some(newest.end))
}

fn read_next(shared: &Shared, store: &Store, from: u64) -> ReadResult {
    match store.read(Topic::Members, from, READ_WAIT)? {
        Read::Dropped => Ok(None),
        Read::Records { records, next } => {
            let records = records.iter();
            let records: Vec<_> = records.map(|r| (&*r.key, r.value.as_deref())).collect();
            apply_leaders(shared, &records, true);
            shared.update(|view| {
                apply_members(view, &records);
                view.store_answered_at = clock::steady();
                view.members_end = next;
            });
            Ok(Some(next))
        }
    }
}

/// Key and value of a record that was read; a deleted record has no value.
type ReadRecord<'a> = (&'a str, Option<&'a [u8]>);

/// Applies the records of members to the view. A member whose record can't be used still counts as
/// registered.
fn apply_members(view: &mut View, records: &[ReadRecord<'_>]) {
    for (key, value) in records {
        let Some(name) = wire::member_name(key) else {
            continue;
        };
        let member = value.map(|v| usable_record::<Member>(key, v));
        let members = Arc::make_mut(&mut view.members);
        view.unreadable_members.remove(name);
        match member {
            Some(Some(member)) => {
                members.insert(name.into(), member);
            }
            Some(None) => {
                members.remove(name);
                view.unreadable_members.insert(name.into());
            }
            None => {
                members.remove(name);
            }
        }
    }
}

/// Applies the records of the leader and of its liveness; they may be old unless `is_new`.
fn apply_leaders(shared: &Shared, records: &[ReadRecord<'_>], is_new: bool) {
    for (key, value) in records {
        let Some(value) = value else {
            continue;
        };
        match *key {
            wire::LEADER_KEY => {
                if let Some(leader) = usable_record::<Leader>(key, value) {
                    shared.observe_leader(&leader, is_new);
                }
            }
            wire::LIVENESS_KEY => {
                if let Some(alive) = usable_record::<LivenessRecord>(key, value) {
                    apply_liveness(shared, &alive, is_new);
                }
            }
            _ => {}
        }
    }
}

/// Decodes a record of this topic. Returns `None` if it isn't one that a member can have written.
fn usable_record<T: CheckedRecord>(key: &str, value: &[u8]) -> Option<T> {
    let record = T::decode(value).ok();
    let usable = record.filter(CheckedRecord::is_usable);
    if usable.is_none() {
        info!(key, bytes = value.len(), "record of members skipped");
    }
    usable
}

fn apply_liveness(shared: &Shared, alive: &LivenessRecord, is_new: bool) {
    if is_new {
        shared.update_fleet_ms(alive.epoch, alive.fleet_ms);
    } else {
        shared.update_min_fleet_ms(alive.epoch, alive.fleet_ms);
    }
    shared.update(|view| {
        if view.leader.as_ref().is_some_and(|l| l.epoch == alive.epoch) {
            view.leader_alive_at = clock::steady();
        }
        if view.quorum.is_none_or(|(epoch, _)| epoch <= alive.epoch) {
            view.quorum = Some((alive.epoch, alive.quorum));
        }
        view.liveness = view.liveness.max(Some((alive.epoch, alive.count)));
    });
}

/// Writes this member's record unless it is already in the store.
fn register(shared: &Shared, store: &Store) {
    let site = shared.site.load();
    let member = Member {
        addr: site.internal,
        power: site.power,
        began_ms: shared.started_ms,
    };
    if shared.member(&site.member) == Some(member) {
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
