//! Permit messages between entry instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_core::id::MemberId;
use pomelohitch_peer::Call;
use pomelohitch_peer::permits::{Batch, Replies};
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::Bounds;
use pomelohitch_permits::{Ask, Monotonic, Resource};
use pomelohitch_route::dispatch::AskScope;

use super::{Inner, keys, view};
use crate::node::Node;

/// Interval between two exchange steps.
const TICK: Duration = Duration::from_millis(25);
/// Every this many ticks, shares are recomputed and peers get the loads of this member.
const TICKS_PER_SHARE_REFRESH: u32 = 10;
/// Every this many ticks, homes are asked for every resource even without a change, while there
/// is load.
const TICKS_PER_FULL_ASK: u32 = 40;
/// While idle, a step runs only every this many ticks. Must divide the other tick counts.
const TICKS_PER_IDLE_STEP: u32 = 10;

/// Exchanges permits with the homes forever.
pub fn run(node: &Arc<Node>) {
    for tick in 0u32.. {
        node.suspensions.tick(Instant::now());
        step(node, tick);
        std::thread::sleep(TICK);
    }
}

/// Runs one exchange step: expires waiting requests, sends asks, recalls and loads to the peers,
/// and dispatches waiting requests. `tick` selects which of the periodic parts run.
pub fn step(node: &Arc<Node>, tick: u32) {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.refresh(node, now);
    if !node.is_leaving() && !inner.is_step_due(tick, now) {
        return;
    }
    inner.expire(now);
    let sends_loads = tick.is_multiple_of(TICKS_PER_SHARE_REFRESH);
    if sends_loads {
        inner.dispatcher.refresh_shares();
        inner.recall_excess_permits(node, now);
    }
    if node.is_leaving() {
        inner.dispatcher.leave();
    }
    let asks_all = tick.is_multiple_of(TICKS_PER_FULL_ASK);
    let batches = inner.batches(node, now, sends_loads, asks_all);
    inner.dispatch_ready(node, now);
    drop(inner);
    for (member, batch) in batches {
        send(node, member, batch);
    }
    keys::notices::resend(node);
}

fn send(node: &Arc<Node>, member: MemberId, batch: Batch) {
    let (answer_node, peer) = (node.clone(), member.clone());
    let on_answer = move |replies: Option<Replies>| {
        let permits = &answer_node.permits;
        let mut inner = permits.lock();
        inner.in_flight.remove(&peer);
        for reply in replies.iter().flat_map(|replies| &replies.replies) {
            inner.dispatcher.on_reply(reply);
        }
        inner.dispatch_ready(&answer_node, permits.now());
    };
    metrics::counter!("permit_messages").increment(1);
    node.permits
        .call(member, Call::Permits(batch, Box::new(on_answer)));
}

/// Answers a peer's batch.
#[must_use]
pub fn on_batch(node: &Node, batch: Batch) -> Replies {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.refresh(node, now);
    if !(batch.asks.is_empty() && batch.recalls.is_empty() && batch.loads.is_empty()) {
        inner.mark_active(now);
    }
    let mut replies = Replies {
        epoch: batch.epoch,
        replies: Vec::new(),
    };
    for ask in &batch.asks {
        replies.replies.extend(inner.answer(node, ask, now));
    }
    for resource in &batch.recalls {
        inner.dispatcher.recall(resource);
    }
    inner.dispatcher.set_peer_loads(batch.member, batch.loads);
    replies
}

impl Inner {
    /// Whether a step runs at this tick. A step visits every resource, which would dominate the
    /// load of an idle entry instance in a large fleet.
    fn is_step_due(&self, tick: u32, now: Monotonic) -> bool {
        now < self.active_until || tick.is_multiple_of(TICKS_PER_IDLE_STEP)
    }

    fn recall_excess_permits(&mut self, node: &Node, now: Monotonic) {
        let state = node.state.load();
        let mut homes = std::mem::take(&mut self.homes);
        homes.recall_excess(|resource| self.bounds(&state, resource), now);
        self.homes = homes;
    }

    pub(super) fn bounds(&self, state: &State, resource: &Resource) -> Bounds {
        let mut bounds = view::bounds(state, resource);
        if let Resource::Team(team) = resource {
            bounds.limit = self.limit_splits.requests_of(state, team);
        }
        bounds
    }

    fn answer(
        &mut self,
        node: &Node,
        ask: &Ask,
        now: Monotonic,
    ) -> Option<pomelohitch_permits::Reply> {
        let bounds = self.bounds(&node.state.load(), &ask.resource);
        self.homes.on_ask(ask, &bounds, now)
    }

    /// The batch for each peer. Asks whose home is this member are answered directly.
    fn batches(
        &mut self,
        node: &Node,
        now: Monotonic,
        sends_loads: bool,
        asks_all: bool,
    ) -> BTreeMap<MemberId, Batch> {
        let own = node.settings.member.clone();
        let incarnation = self.view_inputs.incarnation;
        let asker = Asker {
            member: own.clone(),
            incarnation,
            since: self.keys.first_incarnation().unwrap_or(incarnation),
            epoch: self.homes.epoch().offset,
            leaving: node.is_leaving(),
        };
        // Until the join takes effect, homes don't know this member.
        if self.homes.epoch().members.get(&own) != Some(&asker.incarnation) {
            return BTreeMap::new();
        }
        let loads = self.dispatcher.loads();
        let scope = if asks_all && !(loads.is_empty() && self.sent_empty_loads) {
            AskScope::All
        } else if sends_loads {
            AskScope::BelowPart
        } else {
            AskScope::Changed
        };
        let in_flight = std::mem::take(&mut self.in_flight);
        let asks = self
            .dispatcher
            .asks(&asker, scope, |home| !in_flight.contains(home));
        self.in_flight = in_flight;
        let blank = || Batch {
            member: own.clone(),
            incarnation: asker.incarnation,
            since: asker.since,
            epoch: asker.epoch,
            loads: loads.clone(),
            ..Batch::default()
        };
        let mut batches: BTreeMap<MemberId, Batch> = BTreeMap::new();
        for (home, ask) in asks {
            if home == own {
                let reply = self.answer(node, &ask, now);
                if let Some(reply) = reply {
                    self.dispatcher.on_reply(&reply);
                }
            } else {
                batches.entry(home).or_insert_with(blank).asks.push(ask);
            }
        }
        for (member, resource) in self.homes.take_recalls() {
            if member == own {
                self.dispatcher.recall(&resource);
            } else if !self.in_flight.contains(&member) {
                let batch = batches.entry(member).or_insert_with(blank);
                batch.recalls.push(resource);
            }
        }
        if sends_loads && !(loads.is_empty() && self.sent_empty_loads) {
            self.sent_empty_loads = loads.is_empty();
            let others = self.homes.epoch().members.keys();
            let others = others.filter(|id| **id != own && !self.in_flight.contains(*id));
            for member in others {
                batches.entry(member.clone()).or_insert_with(blank);
            }
        }
        self.in_flight.extend(batches.keys().cloned());
        batches
    }
}
