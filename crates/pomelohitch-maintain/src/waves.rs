//! Selects the instances to maintain next.
//!
//! A wave drains the next instance whenever one returns, as fast as the availability budgets allow.
//! It works rack by rack and zone by zone, so that the instances in maintenance are concentrated in
//! few failure domains and the failure of one of these affects fewer active instances.

use std::cmp::Reverse;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::PoolId;
use pomelohitch_core::record::{DrainPurpose, FleetStep, MaintainOrder, WaveLimits};
use pomelohitch_core::state::waves::RackKey;
use pomelohitch_core::state::{Phase, Wave};

use crate::observe::Observation;
use crate::planner::{Decision, Options};
use crate::pools::{Member, PoolView, Pools};
use crate::reconcile::Findings;

/// Cancels drains in pools with fewer active instances than their availability budget, because an
/// instance failed or an operator raised the budget. Completed drains cannot be cancelled.
pub(crate) fn cancel_drains(pools: &Pools<'_>, decisions: &mut Vec<Decision>) {
    for view in pools.values() {
        let mut deficit = view.deficit();
        if deficit == 0 {
            continue;
        }
        let mut draining: Vec<_> = view
            .members
            .iter()
            .filter(|m| is_drain_cancellable(m))
            .collect();
        // Latest drain first: earlier ones are closer to completion.
        draining.sort_by_key(|member| Reverse(member.instance.since));
        for member in draining {
            if deficit == 0 {
                break;
            }
            deficit -= 1;
            decisions.push(Decision::Fleet(FleetStep::Return {
                instance: member.id.clone(),
                since: member.instance.since,
            }));
        }
    }
}

fn is_drain_cancellable(member: &Member<'_>) -> bool {
    matches!(
        member.instance.phase,
        Phase::Draining(DrainPurpose::Maintain | DrainPurpose::MoveTo(_))
    )
}

/// Ends, pauses, advances and starts waves.
pub(crate) fn decide(
    options: &Options,
    state: &State,
    observation: &Observation,
    findings: &Findings,
    pools: &mut Pools<'_>,
    decisions: &mut Vec<Decision>,
) {
    for (pool, wave) in &state.waves.by_pool {
        let Some(view) = pools.get_mut(pool) else {
            continue;
        };
        // Instances already decided about in this pass are missing from `members`, so the wave ends
        // in a later pass at the earliest.
        if !view.has_decision && !view.members.iter().any(|m| wave.covers(m.instance)) {
            decisions.push(Decision::Fleet(FleetStep::EndWave {
                pool: pool.clone(),
                since: wave.since,
            }));
            continue;
        }
        if state.waves.is_paused(pool) {
            continue;
        }
        if wave.lost >= options.lost_limit {
            // Maintenance itself may break the instances; an operator must investigate and resume.
            let pool = Some(pool.clone());
            decisions.push(Decision::Maintain(MaintainOrder::Pause { pool }));
            continue;
        }
        if !view.lost_instance && !has_recent_failure(options, findings, view) {
            drain_next(wave, view, decisions);
        }
    }
    start_due(options, state, observation, pools, decisions);
}

/// Whether an instance failed within `hold_after_failure`.
///
/// Further failures may follow, or the maintenance may have caused it, so no new drain starts.
fn has_recent_failure(options: &Options, findings: &Findings, view: &PoolView<'_>) -> bool {
    let failed = view
        .members
        .iter()
        .filter(|m| m.instance.phase == Phase::Failed);
    let mut ages = failed.filter_map(|m| findings.phase_ages.get(m.id));
    ages.any(|age| *age < options.hold_after_failure)
}

fn drain_next(wave: &Wave, view: &mut PoolView<'_>, decisions: &mut Vec<Decision>) {
    let mut headroom = view.headroom();
    if headroom == 0 {
        return;
    }
    let covered = |m: &&Member<'_>| m.can_drain() && wave.covers(m.instance);
    let mut candidates: Vec<_> = view.members.iter().filter(covered).copied().collect();
    let spread = view.spread.clone();
    candidates.sort_by_cached_key(|member| {
        let rack = RackKey {
            zone: member.instance.zone.clone(),
            rack: member.instance.rack.clone(),
        };
        // Zones and racks already in maintenance come first; ids make the order deterministic.
        let zone_is_new = !spread.zones.contains(&rack.zone);
        let rack_is_new = !spread.racks.contains(&rack);
        (zone_is_new, rack.zone.clone(), rack_is_new, rack, member.id)
    });
    for member in candidates {
        if headroom == 0 {
            return;
        }
        let (zone, rack) = (&member.instance.zone, &member.instance.rack);
        if !wave.allows(&view.spread, zone, rack) {
            continue;
        }
        view.spread.add(zone, rack);
        view.active -= 1;
        view.in_maintenance += 1;
        headroom -= 1;
        decisions.push(Decision::Fleet(FleetStep::Drain {
            instance: member.id.clone(),
            since: member.instance.since,
            purpose: DrainPurpose::Maintain,
        }));
    }
}

fn start_due(
    options: &Options,
    state: &State,
    observation: &Observation,
    pools: &Pools<'_>,
    decisions: &mut Vec<Decision>,
) {
    if state.waves.all_paused {
        return;
    }
    let mut remaining = options.max_waves.saturating_sub(state.waves.by_pool.len());
    let mut due: Vec<(Reverse<Duration>, &PoolId)> = pools
        .iter()
        .filter(|(pool, _)| !state.waves.by_pool.contains_key(**pool))
        .filter(|(pool, _)| !state.waves.is_paused(pool))
        .filter_map(|(pool, view)| Some((Reverse(longest_wait(observation, view)?), *pool)))
        .filter(|(Reverse(wait), _)| *wait >= options.maintain_after)
        .collect();
    due.sort();
    for (_, pool) in due {
        if remaining == 0 {
            return;
        }
        remaining -= 1;
        decisions.push(Decision::Maintain(MaintainOrder::Start {
            pool: pool.clone(),
            limits: WaveLimits::default(),
        }));
    }
}

/// Time since the maintenance of the pool's least recently maintained instance.
fn longest_wait(observation: &Observation, view: &PoolView<'_>) -> Option<Duration> {
    let unfailed = view
        .members
        .iter()
        .filter(|m| m.instance.phase != Phase::Failed);
    let oldest = unfailed.map(|m| m.instance.maintained_at).min()?;
    Some(observation.wall.saturating_sub(oldest))
}
