//! Moves instances between pools.
//!
//! A move takes a drain and a platform call, and requests queue meanwhile. Hysteresis limits moves:
//! a pool receives an instance only after a lasting shortage, and returns one only after a much
//! longer surplus.

use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::PoolId;
use pomelohitch_core::record::{DrainPurpose, FleetStep};

use crate::conditions::ConditionTracker;
use crate::demand::Weighting;
use crate::observe::Observation;
use crate::planner::Decision;
use crate::pools::{Member, Pools};

/// Timeouts and limits of moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// A pool receives instances after a shortage of this duration.
    pub shortage_delay: Duration,
    /// A pool returns instances after a surplus of this duration.
    pub surplus_delay: Duration,
    /// Number of instances above the requirement that do not count as surplus.
    pub slack: u32,
    /// Maximum number of instances being moved at the same time.
    pub max_in_transit: u32,
}

impl Options {
    /// Returns the options for a trade-off.
    #[must_use]
    pub fn weighted(weighting: Weighting) -> Options {
        match weighting {
            Weighting::FewMoves => Options::default(),
            Weighting::SmallBuffer => Options {
                shortage_delay: Duration::from_mins(1),
                surplus_delay: Duration::from_mins(30),
                slack: 0,
                ..Options::default()
            },
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            shortage_delay: Duration::from_mins(2),
            // Longer than a load peak, so that instances stay from one peak to the next.
            surplus_delay: Duration::from_hours(6),
            slack: 2,
            max_in_transit: 4,
        }
    }
}

/// Tracks how long pools have had a shortage or surplus of instances.
#[derive(Debug, Clone, Default)]
pub struct Imbalances {
    shortage: ConditionTracker<PoolId>,
    surplus: ConditionTracker<PoolId>,
}

/// Decides which instances to drain for a move to another pool.
pub(crate) fn decide(
    options: &Options,
    imbalances: &mut Imbalances,
    state: &State,
    observation: &Observation,
    pools: &mut Pools<'_>,
    decisions: &mut Vec<Decision>,
) {
    imbalances.shortage.begin_pass();
    imbalances.surplus.begin_pass();
    let shortages = persistent_shortages(options, imbalances, observation, pools);
    let surpluses = persistent_surpluses(options, imbalances, observation, pools);
    let mut remaining = options.max_in_transit.saturating_sub(in_transit(pools));
    for (pool, count) in shortages {
        for _ in 0..count {
            let Some(from) = source(state, pools, &surpluses, &pool) else {
                break;
            };
            if remaining == 0 || !drain_one(pools, &from, &pool, decisions) {
                break;
            }
            remaining -= 1;
        }
    }
    return_to_spares(state, pools, &surpluses, remaining, decisions);
}

fn in_transit(pools: &Pools<'_>) -> u32 {
    pools.values().map(|view| view.incoming).sum()
}

/// Pools with a shortage of at least `shortage_delay` and the number of missing instances, largest
/// shortage first.
fn persistent_shortages(
    options: &Options,
    imbalances: &mut Imbalances,
    observation: &Observation,
    pools: &Pools<'_>,
) -> Vec<(PoolId, u32)> {
    let mut shortages = Vec::new();
    for (pool, need) in &observation.needs {
        let Some(view) = pools.get(pool) else {
            continue;
        };
        let missing = need.saturating_sub(view.staying + view.incoming);
        if missing > 0
            && imbalances.shortage.observe(pool.clone(), observation.now) >= options.shortage_delay
        {
            shortages.push((pool.clone(), missing));
        }
    }
    shortages.sort_by_key(|(pool, missing)| (std::cmp::Reverse(*missing), pool.clone()));
    shortages
}

/// Pools with a surplus of at least `surplus_delay` and the number of surplus instances.
fn persistent_surpluses(
    options: &Options,
    imbalances: &mut Imbalances,
    observation: &Observation,
    pools: &Pools<'_>,
) -> Vec<(PoolId, u32)> {
    let mut surpluses = Vec::new();
    for (pool, need) in &observation.needs {
        let Some(view) = pools.get(pool) else {
            continue;
        };
        let keep = need.saturating_add(options.slack);
        let surplus = (view.staying + view.incoming).saturating_sub(keep);
        if surplus > 0
            && imbalances.surplus.observe(pool.clone(), observation.now) >= options.surplus_delay
        {
            surpluses.push((pool.clone(), surplus));
        }
    }
    surpluses
}

/// Selects the pool that an instance for `to` comes from: spare pools first, then pools with a
/// surplus.
fn source(
    state: &State,
    pools: &Pools<'_>,
    surpluses: &[(PoolId, u32)],
    to: &PoolId,
) -> Option<PoolId> {
    let can_lend = |pool: &PoolId| {
        let lendable = pools.get(pool).is_some_and(|view| view.lendable() > 0);
        pool != to && lendable && !state.waves.is_paused(pool)
    };
    let spares = pools.iter().filter(|(_, view)| view.spare);
    let spare = spares.map(|(pool, _)| *pool).find(|pool| can_lend(pool));
    let others = surpluses.iter().map(|(pool, _)| pool);
    spare
        .or(others.into_iter().find(|pool| can_lend(pool)))
        .cloned()
}

/// Drains one instance of `from` for a move to `to`; returns `false` if none can be drained.
fn drain_one(
    pools: &mut Pools<'_>,
    from: &PoolId,
    to: &PoolId,
    decisions: &mut Vec<Decision>,
) -> bool {
    let Some(view) = pools.get_mut(from) else {
        return false;
    };
    let is_taken = |member: &Member<'_>| {
        decisions.iter().any(|decision| {
            matches!(decision, Decision::Fleet(FleetStep::Drain { instance, .. }) if instance == member.id)
        })
    };
    let is_drainable = |member: &&Member<'_>| member.can_drain();
    // The most recently maintained instance is due for maintenance last in its new pool.
    let mut candidates: Vec<_> = view.members.iter().filter(is_drainable).collect();
    candidates.sort_by_key(|member| std::cmp::Reverse(member.instance.maintained));
    let Some(member) = candidates.into_iter().find(|member| !is_taken(member)) else {
        return false;
    };
    decisions.push(Decision::Fleet(FleetStep::Drain {
        instance: member.id.clone(),
        since: member.instance.since,
        purpose: DrainPurpose::MoveTo(to.clone()),
    }));
    view.active -= 1;
    view.staying -= 1;
    if let Some(view) = pools.get_mut(to) {
        view.incoming += 1;
    }
    true
}

/// Moves remaining surplus instances to the first spare pool.
fn return_to_spares(
    state: &State,
    pools: &mut Pools<'_>,
    surpluses: &[(PoolId, u32)],
    mut remaining: u32,
    decisions: &mut Vec<Decision>,
) {
    let spare = pools.iter().find(|(_, view)| view.spare);
    let Some(spare) = spare.map(|(pool, _)| (*pool).clone()) else {
        return;
    };
    for (pool, surplus) in surpluses.iter().filter(|(pool, _)| *pool != spare) {
        let lendable = pools.get(pool).map_or(0, super::pools::PoolView::lendable);
        for _ in 0..(*surplus).min(lendable).min(remaining) {
            if state.waves.is_paused(pool) || !drain_one(pools, pool, &spare, decisions) {
                break;
            }
            remaining -= 1;
        }
    }
}
