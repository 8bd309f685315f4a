//! What entry instances say to one another about permits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::MemberId;
use pomelohitch_peer::Call;
use pomelohitch_peer::permits::{Batch, Replies};
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::Bounds;
use pomelohitch_permits::{Ask, Monotonic, Resource};
use pomelohitch_route::dispatch::AskScope;

use super::{Inner, view};
use crate::node::Node;

/// How often it is looked what there is to say.
const TICK: Duration = Duration::from_millis(25);
/// Every so many ticks parts are worked out anew and peers told what there is here.
const TICKS_PER_SHARE_OUT: u32 = 10;
/// Every so many ticks homes are asked also without news, while there is work.
const TICKS_PER_REFRESH: u32 = 40;
/// Every so many ticks it is looked while nothing happens; a divisor of the other intervals.
const TICKS_PER_QUIET_LOOK: u32 = 10;

/// Talks to the homes for ever.
pub fn run(node: &Arc<Node>) {
    for tick in 0u32.. {
        step(node, tick);
        std::thread::sleep(TICK);
    }
}

/// One look at what there is to say.
pub fn step(node: &Arc<Node>, tick: u32) {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.refresh(node, now);
    if !node.is_leaving() && !inner.is_look_due(tick, now) {
        return;
    }
    inner.expire(now);
    let is_telling = tick.is_multiple_of(TICKS_PER_SHARE_OUT);
    if is_telling {
        inner.dispatcher.refresh_shares();
        inner.review(node, now);
    }
    if node.is_leaving() {
        inner.dispatcher.leave();
    }
    let all = tick.is_multiple_of(TICKS_PER_REFRESH);
    let batches = inner.batches(node, now, is_telling, all);
    inner.pump(node, now);
    drop(inner);
    for (member, batch) in batches {
        send(node, member, batch);
    }
}

fn send(node: &Arc<Node>, member: MemberId, batch: Batch) {
    let (answered, peer) = (node.clone(), member.clone());
    let on_answer = move |replies: Option<Replies>| {
        let permits = &answered.permits;
        let mut inner = permits.lock();
        inner.busy.remove(&peer);
        for reply in replies.iter().flat_map(|replies| &replies.replies) {
            inner.dispatcher.on_reply(reply);
        }
        inner.pump(&answered, permits.now());
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
        inner.stir(now);
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
    /// Whether to look at this tick. Each look goes over every resource, and with nothing to say
    /// that would be most of what an entry instance does in a large fleet at night.
    fn is_look_due(&self, tick: u32, now: Monotonic) -> bool {
        now < self.quiet_from || tick.is_multiple_of(TICKS_PER_QUIET_LOOK)
    }

    fn review(&mut self, node: &Node, now: Monotonic) {
        let state = node.state.load();
        let mut homes = std::mem::take(&mut self.homes);
        homes.recall_excess(|resource| self.bounds(&state, resource), now);
        self.homes = homes;
    }

    pub(super) fn bounds(&self, state: &State, resource: &Resource) -> Bounds {
        let mut bounds = view::bounds(state, resource);
        if let Resource::Team(team) = resource {
            bounds.limit = self.borders.requests_of(state, team);
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

    /// What there is to say to each peer; what this process is the home of itself is done here.
    fn batches(
        &mut self,
        node: &Node,
        now: Monotonic,
        is_telling: bool,
        all: bool,
    ) -> BTreeMap<MemberId, Batch> {
        let own = node.settings.member.clone();
        let asker = Asker {
            member: own.clone(),
            incarnation: self.seen.incarnation,
            epoch: self.homes.epoch().offset,
            leaving: node.is_leaving(),
        };
        // Before the join is in force, homes wouldn't know the asker.
        if self.homes.epoch().members.get(&own) != Some(&asker.incarnation) {
            return BTreeMap::new();
        }
        let loads = self.dispatcher.loads();
        let scope = if all && !(loads.is_empty() && self.told_empty) {
            AskScope::All
        } else if is_telling {
            AskScope::BelowPart
        } else {
            AskScope::Changed
        };
        let busy = std::mem::take(&mut self.busy);
        let asks = self
            .dispatcher
            .asks(&asker, scope, |home| !busy.contains(home));
        self.busy = busy;
        let blank = || Batch {
            member: own.clone(),
            incarnation: asker.incarnation,
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
            } else if !self.busy.contains(&member) {
                let batch = batches.entry(member).or_insert_with(blank);
                batch.recalls.push(resource);
            }
        }
        if is_telling && !(loads.is_empty() && self.told_empty) {
            self.told_empty = loads.is_empty();
            let others = self.homes.epoch().members.keys();
            let others = others.filter(|id| **id != own && !self.busy.contains(*id));
            for member in others {
                batches.entry(member.clone()).or_insert_with(blank);
            }
        }
        self.busy.extend(batches.keys().cloned());
        batches
    }
}
