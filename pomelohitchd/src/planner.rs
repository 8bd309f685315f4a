//! Decides about instances while this member holds the term, and carries the decisions out.
//!
//! The decisions are those of `pomelohitch-maintain`; here are the platform's list, the proposals
//! and the effects. An effect is asked for only because of an accepted record, with the record's
//! offset as its key, and again at every look until the platform says that it is complete.
//!
//! Right before each call the log is read to its head, and the call is left out if the instance is
//! no longer in the phase that asks for it. The window that remains is the time from that read to
//! the platform's receipt of the call: one round trip, or as long as this process is paused in
//! between. `docs/PROTOCOL.md` says what can happen in it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{Offset, PoolId, ServiceId};
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{State, Verdict};
use pomelohitch_maintain::demand::{self, Load, Weighting};
use pomelohitch_maintain::effects::PendingEffect;
use pomelohitch_maintain::{Decision, Observation, Options, Plan, Planner, moves, observe};
use pomelohitch_platform::instances::Progress;
use pomelohitch_platform::log::Read;

use crate::freshness::BOUND;
use crate::node::{Node, wall_clock};
use crate::snapshots::Writer;

/// How often the planner looks, while a look is short.
const TICK: Duration = Duration::from_millis(500);
/// How often it looks at least.
const LONGEST_TICK: Duration = Duration::from_secs(5);
/// It decides for at most one part in so many of the time. In a large fleet it would otherwise take
/// the processor time that requests need.
const SHARE_OF_TIME: u32 = 200;
/// How long one proposal may take.
const PROPOSE_LIMIT: Duration = Duration::from_secs(5);
/// How long the own reader may take to reach the head before an effect.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// A list that is older starts nothing new.
const LIST_LIMIT: Duration = Duration::from_secs(10);
/// How many proposals and how many effects one look carries out at the most, so that a look stays
/// short; the rest comes at the next one.
const PER_LOOK: usize = 200;

/// Plans for ever, while this member holds the term.
pub fn run(node: &Arc<Node>) {
    let started = Instant::now();
    let mut planning: Option<Planning> = None;
    let mut tick = TICK;
    loop {
        std::thread::sleep(tick);
        let state = node.state.load_full();
        if !is_planner(node, &state) {
            planning = None;
            continue;
        }
        let weighting = node.settings.weighting.into();
        let planning = planning.get_or_insert_with(|| Planning::new(weighting));
        let took = planning.look(node, &state, started.elapsed());
        tick = (took * SHARE_OF_TIME).clamp(TICK, LONGEST_TICK);
    }
}

fn is_planner(node: &Node, state: &State) -> bool {
    node.is_ready() && state.members.planner.as_ref() == Some(&node.settings.member)
}

/// What a planner keeps from look to look.
#[derive(Debug)]
struct Planning {
    planner: Planner,
    demand: demand::Options,
    loads: BTreeMap<ServiceId, Load>,
    snapshots: Writer,
    /// Where the effects of the last look ended.
    next_effect: usize,
}

impl Planning {
    fn new(weighting: Weighting) -> Planning {
        let options = Options {
            moves: moves::Options::weighted(weighting),
            ..Options::default()
        };
        Planning {
            planner: Planner::new(options),
            demand: demand::Options::weighted(weighting),
            loads: BTreeMap::new(),
            snapshots: Writer::default(),
            next_effect: 0,
        }
    }

    /// Looks once; returns how long deciding took.
    fn look(&mut self, node: &Node, state: &State, now: Duration) -> Duration {
        let mut seen = observe(node, state, now);
        seen.needs = self.needs(state, &node.permits.demand(), now);
        let begun = Instant::now();
        let plan = self.planner.plan(state, &seen);
        let took = begun.elapsed();
        metrics::histogram!("planner_look_seconds").record(took.as_secs_f64());
        self.carry_out_plan(node, state, plan);
        took
    }

    fn carry_out_plan(&mut self, node: &Node, state: &State, plan: Plan) {
        for decision in plan.decisions.into_iter().take(PER_LOOK) {
            if !propose(node, state, decision) {
                // The log is down or this is no longer the planner; look anew.
                return;
            }
        }
        self.carry_out(node, &plan.effects);
        self.snapshots.tick(node, &node.state.load_full());
    }

    /// How many instances each pool needs for the services that are measured.
    fn needs(
        &mut self,
        state: &State,
        demand: &BTreeMap<ServiceId, u32>,
        now: Duration,
    ) -> BTreeMap<PoolId, u32> {
        let services = &state.config.services;
        self.loads.retain(|id, _| services.contains_key(id));
        let mut needs: BTreeMap<PoolId, u32> = BTreeMap::new();
        for (id, service) in services {
            let busy = demand.get(id).copied().unwrap_or(0);
            let load = self.loads.entry(id.clone()).or_default();
            load.measure(&self.demand, now, f64::from(busy));
            if let Some(need) = load.need(&self.demand, service.slots) {
                *needs.entry(service.pool.clone()).or_default() += need.max(service.min_available);
            }
        }
        needs
    }

    /// Asks for effects in turn, so that those which never complete hold up no others.
    fn carry_out(&mut self, node: &Node, effects: &[PendingEffect]) {
        if effects.is_empty() {
            return;
        }
        let begin = self.next_effect % effects.len();
        let in_turn = effects.iter().cycle().skip(begin);
        for wanted in in_turn.take(effects.len().min(PER_LOOK)) {
            self.next_effect = self.next_effect.wrapping_add(1);
            if !ask_for(node, wanted) {
                return;
            }
        }
    }
}

fn observe(node: &Node, state: &State, now: Duration) -> Observation {
    let wall = wall_clock();
    let listed = (node.instances.list)();
    if listed.is_err() {
        metrics::counter!("instance_list_errors").increment(1);
    }
    let listed = listed
        .ok()
        .and_then(|list| observe::recent(list, wall, LIST_LIMIT));
    Observation {
        now,
        wall,
        listed,
        applied_by_all: known_by_all(node, state),
        ..Observation::default()
    }
}

/// Every entry instance has applied the records below this offset. One that wasn't heard lately
/// may know nothing; it stops sending by itself within the bound.
fn known_by_all(node: &Node, state: &State) -> Offset {
    let peers = node.peers();
    let others = state.members.by_id.iter();
    let others = others.filter(|(id, _)| **id != node.settings.member);
    let offsets = others.map(|(id, member)| {
        let seen = peers.get(id)?;
        let is_current = seen.incarnation == member.incarnation && seen.at.elapsed() <= BOUND;
        is_current.then_some(seen.next)
    });
    let lowest = offsets.map(|next| next.unwrap_or(0)).min();
    lowest.unwrap_or(state.next).min(state.next)
}

/// Proposes, and returns whether to go on.
fn propose(node: &Node, state: &State, decision: Decision) -> bool {
    let Ok(decided) = node.propose(decision.body(state), PROPOSE_LIMIT) else {
        metrics::counter!("planner_proposal_errors").increment(1);
        return false;
    };
    let verdict = match decided.verdict {
        Verdict::Accepted => "accepted",
        Verdict::Repeat(_) => "repeat",
        Verdict::Rejected(_) => "rejected",
    };
    metrics::counter!("planner_proposals", "verdict" => verdict).increment(1);
    is_planner(node, &node.state.load())
}

/// Asks for an effect, records its completion, and returns whether to go on.
fn ask_for(node: &Node, wanted: &PendingEffect) -> bool {
    let Some(state) = state_at_head(node) else {
        return false;
    };
    if !is_planner(node, &state) {
        return false;
    }
    if !wanted.is_current(&state) {
        return true;
    }
    match (node.instances.apply)(&wanted.effect) {
        Ok(Progress::Done) => match wanted.on_complete.clone() {
            Some(step) => propose(node, &state, Decision::Fleet(step)),
            None => true,
        },
        Ok(Progress::Pending) => true,
        Err(_) => {
            // Whether it took effect or not, the same call is repeated at the next look.
            metrics::counter!("instance_effect_errors").increment(1);
            true
        }
    }
}

/// The state in force here once it has reached the log's head of now.
fn state_at_head(node: &Node) -> Option<Arc<State>> {
    let probe = Read {
        stream: FLEET_STREAM,
        from: node.state.load().next,
        max: 1,
        wait: Duration::ZERO,
    };
    let head = (node.log.read)(&probe).ok()?.next;
    let deadline = Instant::now() + HEAD_LIMIT;
    loop {
        let state = node.state.load_full();
        if state.next >= head {
            return Some(state);
        }
        if Instant::now() >= deadline || node.log_is_down.load(Ordering::Acquire) {
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
