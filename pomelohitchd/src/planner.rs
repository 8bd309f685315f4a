//! Decides about instances while this member holds the term, and carries the decisions out.
//!
//! `pomelohitch-maintain` makes the decisions; this module reads the platform's list, proposes the
//! decisions and applies the effects. An effect is requested only because of an accepted record,
//! with the record's offset as its key, and is requested again in every planning pass until the
//! platform reports it as complete.
//!
//! Right before each call the log is read to its head, and the call is skipped if the instance has
//! left the phase that requires it. A race remains between that read and the platform's receipt of
//! the call: one round trip, or as long as this process is paused in between. `docs/PROTOCOL.md`
//! describes its consequences.

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

/// Interval between planning passes while they are short.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval between planning passes.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// The interval is this many times the time that deciding took in the last pass, between
/// [`MIN_INTERVAL`] and [`MAX_INTERVAL`]. In a large fleet, planning would otherwise take the
/// processor time that requests need.
const INTERVAL_PER_PASS: u32 = 200;
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for this member's reader to reach the head of the log before an effect.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// An older list of instances isn't used, so that it starts no new drains or moves.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);
/// Maximum number of proposals and of effects in one planning pass, so that a pass stays short.
/// The rest follows in the next pass.
const MAX_PER_PASS: usize = 200;

/// Plans forever; does nothing while another member holds the term.
pub fn run(node: &Arc<Node>) {
    let started = Instant::now();
    let mut planning: Option<Planning> = None;
    let mut interval = MIN_INTERVAL;
    let mut membership = Membership::new(started);
    loop {
        std::thread::sleep(interval);
        let state = node.state.load_full();
        membership.update(&state, Instant::now());
        if !is_planner(node, &state) {
            planning = None;
            continue;
        }
        let weighting = node.settings.weighting.into();
        let planning = planning.get_or_insert_with(|| Planning::new(weighting));
        let has_settled = membership.has_settled(&state, Instant::now());
        let took = planning.pass(node, &state, has_settled, started.elapsed());
        interval = (took * INTERVAL_PER_PASS).clamp(MIN_INTERVAL, MAX_INTERVAL);
    }
}

fn is_planner(node: &Node, state: &State) -> bool {
    node.is_ready() && state.members.planner.as_ref() == Some(&node.settings.member)
}

/// Tells whether members that ended may still send work.
///
/// A member that was paused and removed meanwhile resumes with its old state, and goes on with it
/// until that state is no longer fresh. It isn't among those whose progress is known.
#[derive(Debug, Clone, Copy)]
pub struct Membership {
    epoch: Option<Offset>,
    changed_at: Instant,
}

impl Membership {
    /// Starts at `now`; any member may have ended just before.
    #[must_use]
    pub fn new(now: Instant) -> Membership {
        Membership {
            epoch: None,
            changed_at: now,
        }
    }

    /// Notes whether the set of members has changed.
    pub fn update(&mut self, state: &State, now: Instant) {
        if self.epoch != Some(state.members.epoch) {
            self.epoch = Some(state.members.epoch);
            self.changed_at = now;
        }
    }

    /// Whether every member that has ended has stopped to send work.
    #[must_use]
    pub fn has_settled(&self, state: &State, now: Instant) -> bool {
        !state.members.has_ended || now.saturating_duration_since(self.changed_at) > BOUND
    }
}

/// State kept between planning passes of one term.
#[derive(Debug)]
struct Planning {
    planner: Planner,
    demand: demand::Options,
    loads: BTreeMap<ServiceId, Load>,
    snapshots: Writer,
    /// Index of the effect with which the next pass starts, modulo their number.
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

    /// Runs one planning pass; returns how long deciding took.
    fn pass(&mut self, node: &Node, state: &State, has_settled: bool, now: Duration) -> Duration {
        let mut observation = observe(node, state, now);
        if !has_settled {
            observation.applied_by_all = 0;
        }
        observation.needs = self.needs(state, &node.permits.demand(), now);
        let started = Instant::now();
        let plan = self.planner.plan(state, &observation);
        let took = started.elapsed();
        metrics::histogram!("planner_look_seconds").record(took.as_secs_f64());
        self.execute(node, state, plan);
        took
    }

    fn execute(&mut self, node: &Node, state: &State, plan: Plan) {
        for decision in plan.decisions.into_iter().take(MAX_PER_PASS) {
            if !propose(node, state, decision) {
                // The log is down or this member is no longer the planner. The next pass decides
                // anew.
                return;
            }
        }
        self.apply_effects(node, &plan.effects);
        self.snapshots
            .try_write_if_due(node, &node.state.load_full());
    }

    /// Number of instances that each pool needs, for pools whose services have measured demand.
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

    /// Requests effects round-robin, so that effects that never complete don't block others.
    fn apply_effects(&mut self, node: &Node, effects: &[PendingEffect]) {
        if effects.is_empty() {
            return;
        }
        let first = self.next_effect % effects.len();
        let rotated = effects.iter().cycle().skip(first);
        for pending in rotated.take(effects.len().min(MAX_PER_PASS)) {
            self.next_effect = self.next_effect.wrapping_add(1);
            if !apply_effect(node, pending) {
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
        .and_then(|list| observe::recent(list, wall, MAX_LIST_AGE));
    Observation {
        now,
        wall,
        listed,
        applied_by_all: applied_by_all(node, state),
        ..Observation::default()
    }
}

/// Every entry instance has applied the records below this offset. 0 if a member wasn't heard
/// within [`BOUND`]: it may have applied nothing, but it stops sending work by itself within
/// [`BOUND`].
fn applied_by_all(node: &Node, state: &State) -> Offset {
    let peers = node.peers();
    let others = state.members.by_id.iter();
    let others = others.filter(|(id, _)| **id != node.settings.member);
    let offsets = others.map(|(id, member)| {
        let peer = peers.get(id)?;
        let is_current = peer.incarnation == member.incarnation && peer.at.elapsed() <= BOUND;
        is_current.then_some(peer.next)
    });
    let lowest = offsets.map(|next| next.unwrap_or(0)).min();
    lowest.unwrap_or(state.next).min(state.next)
}

/// Proposes a decision; returns whether the pass should continue.
fn propose(node: &Node, state: &State, decision: Decision) -> bool {
    let Ok(decided) = node.propose(decision.body(state), PROPOSE_TIMEOUT) else {
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

/// Requests an effect and records its completion; returns whether the pass should continue.
fn apply_effect(node: &Node, pending: &PendingEffect) -> bool {
    let Some(state) = state_at_head(node) else {
        return false;
    };
    if !is_planner(node, &state) {
        return false;
    }
    if !pending.is_current(&state) {
        return true;
    }
    match (node.instances.apply)(&pending.effect) {
        Ok(Progress::Done) => match pending.on_complete.clone() {
            Some(step) => propose(node, &state, Decision::Fleet(step)),
            None => true,
        },
        Ok(Progress::Pending) => true,
        Err(_) => {
            // Whether or not it took effect, the same call is repeated in the next pass.
            metrics::counter!("instance_effect_errors").increment(1);
            true
        }
    }
}

/// The state, once it includes all records up to the current head of the log.
fn state_at_head(node: &Node) -> Option<Arc<State>> {
    let probe = Read {
        stream: FLEET_STREAM,
        from: node.state.load().next,
        max: 1,
        wait: Duration::ZERO,
    };
    let head = (node.log.read)(&probe).ok()?.next;
    let deadline = Instant::now() + HEAD_TIMEOUT;
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
