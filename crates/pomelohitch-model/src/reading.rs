//! What readers do: follow the log, restart, load snapshots, pause, hear one another.
//!
//! Time is modelled by one step, [`Step::BoundPasses`]: it can happen once every node that takes
//! requests has read to the head, or, the log being down, has exchanged bad news, because that is
//! what heartbeats and reads do within the bound.

use std::sync::Arc;

use pomelohitch_core::State;
use pomelohitch_core::id::RecordId;
use pomelohitch_core::snapshot::{newest_complete, split};

use crate::promise::{Promise, refuses_key};
use crate::proposal::KEY;
use crate::scenario::{Mutant, Scenario};
use crate::step::{Step as AnyStep, after};
use crate::world::{CHUNKS, NODES, Node, Snapshot, World};

/// A step of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A node reads to the head.
    Read(usize),
    /// A node loads the newest snapshot.
    Load(usize),
    /// A node is replaced by one that knows nothing.
    Restart(usize),
    /// A node doesn't run for a while.
    Pause(usize),
    /// It runs again.
    Wake(usize),
    /// The two nodes exchange heartbeats.
    Hear,
    /// A chunk of a snapshot is written, by a node with this many records applied.
    WriteChunk(usize),
    /// The log drops its oldest records.
    Trim(usize),
    /// The time passes within which everything is in force everywhere.
    BoundPasses,
}

/// Adds every step of readers.
pub fn steps(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    for node in 0..NODES {
        read(scenario, world, node, next);
        load(scenario, world, node, next);
        restart(scenario, world, node, next);
        pause(scenario, world, node, next);
    }
    hear(world, next);
    write_chunk(scenario, world, next);
    trim(scenario, world, next);
    // Without these a node never begins to take requests, so the bound changes nothing.
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
    if !world.log_is_up || world.nodes[node].paused {
        return;
    }
    // A node that has read nothing starts at the first record, if the log still has it.
    let applied = world.nodes[node].applied.unwrap_or(0);
    if applied < world.trimmed {
        if scenario.mutant == Some(Mutant::SkipsTrimmed) {
            push(world, Step::Read(node), next, |world| skip(world, node));
        }
        return;
    }
    push(world, Step::Read(node), next, |world| {
        world.nodes[node].applied = Some(world.log.len());
        world.nodes[node].caught_up = true;
    });
}

/// Goes on with the oldest record that is kept, as if there were none before it.
fn skip(world: &mut World, node: usize) {
    let mut state = match world.nodes[node].applied {
        Some(applied) => State::clone(world.state_after(applied)),
        None => State::default(),
    };
    for (place, entry) in world.log.iter().enumerate().skip(world.trimmed) {
        let offset = world.base.next + place as u64;
        state.apply(offset, &entry.proposal.record());
    }
    take_over(world, node, world.log.len(), &state);
}

/// Puts `state` in force at `node`, which takes it for that after `applied` records.
fn take_over(world: &mut World, node: usize, applied: usize, state: &State) {
    if *state != **world.state_after(applied) {
        world.broken = Some(Promise::SameState);
    }
    world.nodes[node].applied = Some(applied);
}

fn load(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    let is_behind = world.nodes[node].applied.unwrap_or(0) < world.trimmed;
    if !world.log_is_up || world.nodes[node].paused || !is_behind {
        return;
    }
    let loaded = if scenario.mutant == Some(Mutant::TakesTornSnapshot) {
        newest_of_any_kind(world)
    } else {
        newest_complete(stream(world).iter().map(|record| &**record))
    };
    let Some(state) = loaded else { return };
    push(world, Step::Load(node), next, |world| {
        let holds = usize::try_from(state.next - world.base.next).unwrap_or(0);
        take_over(world, node, holds, &state);
    });
}

/// The records of the snapshots' stream.
fn stream(world: &World) -> Vec<Box<str>> {
    let chunks_of = |snapshot: &Snapshot| {
        let state = world.state_after(snapshot.holds);
        let text = serde_len(state);
        let records = split(
            state,
            RecordId::from_u128(snapshot.holds as u128),
            text / CHUNKS + 1,
        );
        records.into_iter().take(snapshot.chunks)
    };
    world.snapshots.iter().flat_map(chunks_of).collect()
}

/// How long the state is as text; one chunk holds all of it if it may be as long.
fn serde_len(state: &Arc<State>) -> usize {
    let whole = split(state, RecordId::nil(), usize::MAX);
    // The chunk's own fields and the escaped quotes make it longer; only the cut depends on it.
    whole.first().map_or(1, |chunk| chunk.len() * 3 / 4)
}

/// What a reader would have that doesn't look whether a snapshot is whole: of a torn one, the
/// records before the snapshot are missing.
fn newest_of_any_kind(world: &World) -> Option<State> {
    let newest = world.snapshots.last()?;
    let mut state = State::clone(world.state_after(newest.holds));
    if newest.chunks < CHUNKS {
        let next = state.next;
        state = State::clone(&world.base);
        state.next = next;
    }
    Some(state)
}

fn restart(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if world.spent.restarts >= scenario.restarts {
        return;
    }
    // What only this node knows, and the log doesn't, is lost with it; no protocol can keep it.
    let other_accepts = world.is_accepting(1 - node);
    let is_logged = world.head().team_of_key(KEY).is_none();
    let news_stays = !world.nodes[node].news || world.nodes[1 - node].news || is_logged;
    if !news_stays || !(world.log_is_up || other_accepts) {
        return;
    }
    push(world, Step::Restart(node), next, |world| {
        world.spent.restarts += 1;
        let serves_at_once = scenario.mutant == Some(Mutant::ServesBeforeHead);
        let serves_unheard = scenario.mutant == Some(Mutant::ServesUnheard);
        world.nodes[node] = Node {
            applied: (serves_at_once && world.trimmed == 0).then_some(0),
            caught_up: serves_at_once,
            heard: serves_unheard || serves_at_once,
            ..Node::default()
        };
    });
}

fn pause(scenario: &Scenario, world: &World, node: usize, next: &mut Vec<World>) {
    if world.nodes[node].paused {
        push(world, Step::Wake(node), next, |world| {
            let goes_on = scenario.mutant == Some(Mutant::ServesAfterPause);
            let node = &mut world.nodes[node];
            node.paused = false;
            node.caught_up = goes_on;
            node.heard = goes_on;
        });
    } else if world.spent.pauses < scenario.pauses {
        push(world, Step::Pause(node), next, |world| {
            world.spent.pauses += 1;
            world.nodes[node].paused = true;
        });
    }
}

fn hear(world: &World, next: &mut Vec<World>) {
    if world
        .nodes
        .iter()
        .any(|node| node.paused || node.applied.is_none())
    {
        return;
    }
    push(world, Step::Hear, next, |world| {
        let news = world.nodes.iter().any(|node| node.news);
        let most = world.nodes.iter().map(|node| node.applied).max().flatten();
        let log_is_up = world.log_is_up;
        for node in &mut world.nodes {
            node.news = news;
            let accepts = node.caught_up && node.heard;
            node.heard = true;
            // A peer that has more says so: the head that was reached is an old one.
            node.caught_up = accepts || ((node.caught_up || !log_is_up) && node.applied == most);
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
            .filter(|_| !world.nodes[node].paused)
        else {
            continue;
        };
        if applied == 0 {
            continue;
        }
        let written = world.snapshots.iter().find(|s| s.holds == applied).copied();
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
                holds: applied,
                chunks: chunks + 1,
            });
        });
    }
}

/// Retention is much longer than the time between snapshots.
fn trim(scenario: &Scenario, world: &World, next: &mut Vec<World>) {
    if scenario.snapshots == 0 {
        return;
    }
    let whole = world.snapshots.iter().filter(|s| s.chunks == CHUNKS);
    for snapshot in whole.filter(|s| s.holds > world.trimmed) {
        push(world, Step::Trim(snapshot.holds), next, |world| {
            world.trimmed = snapshot.holds;
        });
    }
}

fn bound_passes(world: &World, next: &mut Vec<World>) {
    let accepting = || (0..NODES).filter(|node| world.is_accepting(*node));
    let head = world.log.len();
    // Also those that don't take requests yet: whoever runs keeps reading.
    let are_at_head = world
        .nodes
        .iter()
        .all(|node| node.paused || node.applied.is_none_or(|applied| applied == head));
    if world.log_is_up && !are_at_head {
        return;
    }
    let is_known = accepting().any(|node| refuses_key(world, node));
    // Heartbeats also reach those that don't take requests yet.
    let is_known_by_all = (0..NODES).all(|node| {
        let Node { paused, heard, .. } = world.nodes[node];
        paused || !heard || refuses_key(world, node)
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
