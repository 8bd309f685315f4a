//! Transitions of readers: read the log, restart, load snapshots, pause, exchange heartbeats.
//!
//! Time is modelled by one transition, [`Step::BoundPasses`], the end of the propagation bound. It
//! can occur once every running node has read to the head, unless the log is down, and once every
//! node that heartbeats reach knows of a withdrawal: reads and heartbeats achieve this within the
//! bound.

use std::sync::Arc;

use pomelohitch_core::State;
use pomelohitch_core::id::RecordId;
use pomelohitch_core::snapshot::{newest_complete, split};

use crate::promise::{Promise, refuses_key};
use crate::proposal::KEY;
use crate::scenario::{Mutant, Scenario};
use crate::step::{Step as AnyStep, after};
use crate::world::{CHUNKS, NODES, Node, Snapshot, World};

/// A transition of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A node reads to the head.
    Read(usize),
    /// A node whose next record was trimmed loads the newest snapshot.
    Load(usize),
    /// A node is replaced by one without state.
    Restart(usize),
    /// A node is paused.
    Pause(usize),
    /// A paused node resumes.
    Wake(usize),
    /// The two nodes exchange heartbeats.
    Hear,
    /// A node with this many records applied writes a chunk of a snapshot.
    WriteChunk(usize),
    /// The log drops this many of its oldest records.
    Trim(usize),
    /// The propagation bound passes, within which accepted records and withdrawals take effect at
    /// every node.
    BoundPasses,
}

/// Adds all transitions of readers.
pub fn steps(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    for node in 0..NODES {
        read(scenario, world, node, next);
        load(scenario, world, node, next);
        restart(scenario, world, node, next);
        pause(scenario, world, node, next);
    }
    exchange_heartbeats(world, next);
    write_chunk(scenario, world, next);
    trim(scenario, world, next);
    // Without withdrawals, restarts and pauses, no node can start to accept requests with an
    // outdated state, so the bound is irrelevant.
    if scenario.withdraws || scenario.restarts + scenario.pauses > 0 {
        bound_passes(world, next);
    }
}

fn push(world: &World, step: Step, next: &mut Vec<World>, change: impl FnOnce(&mut World)) {
    let changed = after(world, AnyStep::Reading(step), change);
    if changed != *world {
        next.push(changed);
    }
}

fn read(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if !world.log_is_up || world.nodes[node].is_paused {
        return;
    }
    // A node without state starts at the first record, if the log still has it.
    let applied = world.nodes[node].applied.unwrap_or(0);
    if applied < world.trimmed {
        if scenario.mutant == Some(Mutant::SkipsTrimmed) {
            push(world, Step::Read(node), next, |world| {
                read_past_trimmed(world, node);
            });
        }
        return;
    }
    push(world, Step::Read(node), next, |world| {
        world.nodes[node].applied = Some(world.log.len());
        world.nodes[node].is_caught_up = true;
    });
}

/// Applies the records that the log still keeps and ignores those that were trimmed.
fn read_past_trimmed(world: &mut World, node: usize) {
    let mut state = match world.nodes[node].applied {
        Some(applied) => State::clone(world.state_after(applied)),
        None => State::default(),
    };
    for (index, entry) in world.log.iter().enumerate().skip(world.trimmed) {
        let offset = world.base.next + index as u64;
        state.apply(offset, &entry.proposal.record());
    }
    install_state(world, node, world.log.len(), &state);
}

/// Installs `state` at `node` as the state after `applied` records, and checks that it is.
fn install_state(world: &mut World, node: usize, applied: usize, state: &State) {
    if *state != **world.state_after(applied) {
        world.broken = Some(Promise::SameState);
    }
    world.nodes[node].applied = Some(applied);
}

fn load(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    let is_behind = world.nodes[node].applied.unwrap_or(0) < world.trimmed;
    if !world.log_is_up || world.nodes[node].is_paused || !is_behind {
        return;
    }
    let loaded = if scenario.mutant == Some(Mutant::LoadsTornSnapshot) {
        newest_complete_or_torn(world)
    } else {
        newest_complete(stream(world).iter().map(|record| &**record))
    };
    let Some(state) = loaded else { return };
    push(world, Step::Load(node), next, |world| {
        let records_included = usize::try_from(state.next - world.base.next).unwrap_or(0);
        install_state(world, node, records_included, &state);
    });
}

/// Returns the records of the snapshot stream.
fn stream(world: &World) -> Vec<Box<str>> {
    let chunks_of = |snapshot: &Snapshot| {
        let state = world.state_after(snapshot.records_included);
        let text = encoded_len(state);
        let records = split(
            state,
            RecordId::from_u128(snapshot.records_included as u128),
            text / CHUNKS + 1,
        );
        records.into_iter().take(snapshot.chunks)
    };
    world.snapshots.iter().flat_map(chunks_of).collect()
}

/// Returns the approximate length of the encoded state in bytes.
fn encoded_len(state: &Arc<State>) -> usize {
    let complete = split(state, RecordId::nil(), usize::MAX);
    // A chunk is longer because of its own fields and escaped quotes; the estimate only determines
    // where chunks are cut.
    complete.first().map_or(1, |chunk| chunk.len() * 3 / 4)
}

/// Returns the state of a reader that loads the newest snapshot without checking that it is
/// complete. An incomplete snapshot lacks the changes of the records that it covers.
fn newest_complete_or_torn(world: &World) -> Option<State> {
    let newest = world.snapshots.last()?;
    let mut state = State::clone(world.state_after(newest.records_included));
    if newest.chunks < CHUNKS {
        let next = state.next;
        state = State::clone(&world.base);
        state.next = next;
    }
    Some(state)
}

fn restart(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if world.event_counts.restarts >= scenario.restarts {
        return;
    }
    // A withdrawal that only this node knows and that is not in the log would be lost with the
    // node, which no protocol can prevent, so this case is excluded.
    let other_accepts = world.is_accepting(1 - node);
    let is_logged = world.head().team_of_key(KEY).is_none();
    let withdrawal_survives =
        !world.nodes[node].knows_withdrawal || world.nodes[1 - node].knows_withdrawal || is_logged;
    if !withdrawal_survives || !(world.log_is_up || other_accepts) {
        return;
    }
    push(world, Step::Restart(node), next, |world| {
        world.event_counts.restarts += 1;
        let serves_at_once = scenario.mutant == Some(Mutant::ServesBeforeHead);
        let serves_before_heartbeat = scenario.mutant == Some(Mutant::ServesBeforeHeartbeat);
        world.nodes[node] = Node {
            applied: (serves_at_once && world.trimmed == 0).then_some(0),
            is_caught_up: serves_at_once,
            has_heard_peer: serves_before_heartbeat || serves_at_once,
            ..Node::default()
        };
    });
}

fn pause(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if world.nodes[node].is_paused {
        push(world, Step::Wake(node), next, |world| {
            let goes_on = scenario.mutant == Some(Mutant::ServesAfterPause);
            let node = &mut world.nodes[node];
            node.is_paused = false;
            node.is_caught_up = goes_on;
            node.has_heard_peer = goes_on;
        });
    } else if world.event_counts.pauses < scenario.pauses {
        push(world, Step::Pause(node), next, |world| {
            world.event_counts.pauses += 1;
            world.nodes[node].is_paused = true;
        });
    }
}

fn exchange_heartbeats(world: &World, next: &mut Vec<World>) {
    if world
        .nodes
        .iter()
        .any(|node| node.is_paused || node.applied.is_none())
    {
        return;
    }
    push(world, Step::Hear, next, |world| {
        let knows_withdrawal = world.nodes.iter().any(|node| node.knows_withdrawal);
        let max_applied = world.nodes.iter().map(|node| node.applied).max().flatten();
        let log_is_up = world.log_is_up;
        for node in &mut world.nodes {
            node.knows_withdrawal = knows_withdrawal;
            let accepts = node.is_caught_up && node.has_heard_peer;
            node.has_heard_peer = true;
            // A peer with more records applied shows that this node's view of the head is outdated.
            node.is_caught_up =
                accepts || ((node.is_caught_up || !log_is_up) && node.applied == max_applied);
        }
    });
}

fn write_chunk(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    if !world.log_is_up {
        return;
    }
    for node in 0..NODES {
        let Some(applied) = world.nodes[node]
            .applied
            .filter(|_| !world.nodes[node].is_paused)
        else {
            continue;
        };
        if applied == 0 {
            continue;
        }
        let written = world
            .snapshots
            .iter()
            .find(|s| s.records_included == applied)
            .copied();
        let is_new = written.is_none();
        if is_new && world.snapshots.len() >= scenario.snapshots {
            continue;
        }
        let chunks = written.map_or(0, |snapshot| snapshot.chunks);
        if chunks == CHUNKS {
            continue;
        }
        push(world, Step::WriteChunk(applied), next, |world| {
            if let Some(snapshot) = written {
                world.snapshots.remove(&snapshot);
            }
            world.snapshots.insert(Snapshot {
                records_included: applied,
                chunks: chunks + 1,
            });
        });
    }
}

/// Adds transitions that trim the log below a complete snapshot. Log retention is much longer than
/// the interval between snapshots, so the log is never trimmed further.
fn trim(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    if scenario.snapshots == 0 {
        return;
    }
    let complete = world.snapshots.iter().filter(|s| s.chunks == CHUNKS);
    for snapshot in complete.filter(|s| s.records_included > world.trimmed) {
        push(
            world,
            Step::Trim(snapshot.records_included),
            next,
            |world| {
                world.trimmed = snapshot.records_included;
            },
        );
    }
}

fn bound_passes(world: &World, next: &mut Vec<World>) {
    let accepting = || (0..NODES).filter(|node| world.is_accepting(*node));
    let head = world.log.len();
    // Running nodes that do not accept requests yet keep reading too.
    let are_at_head = world
        .nodes
        .iter()
        .all(|node| node.is_paused || node.applied.is_none_or(|applied| applied == head));
    if world.log_is_up && !are_at_head {
        return;
    }
    let is_known = accepting().any(|node| refuses_key(world, node));
    // Heartbeats also reach nodes that do not accept requests yet.
    let is_known_by_all = (0..NODES).all(|node| {
        let Node {
            is_paused,
            has_heard_peer,
            ..
        } = world.nodes[node];
        is_paused || !has_heard_peer || refuses_key(world, node)
    });
    let is_logged = world.head().team_of_key(KEY).is_none();
    if is_known && !(is_known_by_all && (is_logged || !world.log_is_up)) {
        return;
    }
    push(world, Step::BoundPasses, next, |world| {
        if world.log_is_up {
            world.settled = head;
        }
        world.is_withdrawal_settled |= is_known;
    });
}
