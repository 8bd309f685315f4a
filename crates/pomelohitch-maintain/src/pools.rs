//! Per-pool view of the instances, shared by all decisions of a planning pass.

use std::collections::BTreeMap;

use pomelohitch_core::State;
use pomelohitch_core::id::{InstanceId, PoolId};
use pomelohitch_core::record::{DrainPurpose, FleetStep};
use pomelohitch_core::state::waves::Spread;
use pomelohitch_core::state::{Instance, Phase};

use crate::observe::Now;
use crate::planner::Decision;

/// An instance of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Id of the instance.
    pub id: &'a InstanceId,
    /// State of the instance in the log.
    pub instance: &'a Instance,
    /// Its last drain timed out and `drain_retry_delay` has not passed yet.
    pub in_drain_backoff: bool,
}

impl Member<'_> {
    /// Whether it is active and not in drain backoff.
    #[must_use]
    pub fn can_drain(&self) -> bool {
        self.instance.phase == Phase::Active && !self.in_drain_backoff
    }
}

/// A pool and its instances, with the decisions of this pass taken into account.
#[derive(Debug, Clone, Default)]
pub struct PoolView<'a> {
    /// Instances of the pool according to the log, except those that reconciliation has decided
    /// about in this pass.
    pub members: Vec<Member<'a>>,
    /// Number of active instances.
    pub active: u32,
    /// Number of instances that are active or in maintenance, so neither failed nor leaving.
    pub staying: u32,
    /// Number of instances being moved to the pool.
    pub incoming: u32,
    /// Highest `min_available` of the pool's services; `None` without services.
    pub min_available: Option<u32>,
    /// Minimum number of instances that moves must leave in the pool.
    pub floor: u32,
    /// Whether the pool holds spares, which are moved to other pools first.
    pub spare: bool,
    /// Zones and racks of the instances in maintenance.
    pub spread: Spread,
    /// Number of instances draining or drained for maintenance.
    pub in_maintenance: u32,
    /// Whether reconciliation has marked an instance as failed in this pass, or drained one that is
    /// leaving.
    pub lost_instance: bool,
    /// Whether reconciliation has decided about one of its instances in this pass.
    pub has_decision: bool,
}

impl PoolView<'_> {
    /// Number of further instances that may be taken out of service now.
    ///
    /// A pool without services has no availability budget. At most a tenth of it, but at least one
    /// instance, is in maintenance at a time, so that most of its capacity remains.
    #[must_use]
    pub fn headroom(&self) -> u32 {
        match self.min_available {
            Some(min) => self.active.saturating_sub(min),
            None => (self.staying / 10)
                .max(1)
                .saturating_sub(self.in_maintenance),
        }
    }

    /// Number of active instances missing to meet the availability budget.
    #[must_use]
    pub fn deficit(&self) -> u32 {
        let min = self.min_available.unwrap_or(0);
        min.saturating_sub(self.active)
    }

    /// Number of instances that may move to other pools now.
    #[must_use]
    pub fn lendable(&self) -> u32 {
        let above_floor = self.staying.saturating_sub(self.floor);
        let above_budget = self.active.saturating_sub(self.min_available.unwrap_or(0));
        above_floor.min(above_budget)
    }
}

/// Configured pools by id.
pub type Pools<'a> = BTreeMap<&'a PoolId, PoolView<'a>>;

/// Builds the view of every configured pool in one pass over the instances.
#[must_use]
pub fn index(state: &State) -> Pools<'_> {
    let mut pools: Pools<'_> = BTreeMap::new();
    for (id, pool) in &state.config.pools {
        let view = PoolView {
            floor: pool.floor,
            spare: pool.spare,
            ..PoolView::default()
        };
        pools.insert(id, view);
    }
    for service in state.config.services.values() {
        if let Some(view) = pools.get_mut(&service.pool) {
            view.min_available = view.min_available.max(Some(service.min_available));
        }
    }
    for (id, instance) in &state.fleet.instances {
        if let Some(view) = pools.get_mut(&instance.pool) {
            view.add(Member {
                id,
                instance,
                in_drain_backoff: false,
            });
        }
        if let Some(to) = instance.phase.moving_to()
            && let Some(view) = pools.get_mut(to)
        {
            view.incoming += 1;
        }
    }
    pools
}

/// Marks the instances whose last drain timed out recently.
pub(crate) fn mark_drain_backoff(pools: &mut Pools<'_>, backoff: &BTreeMap<InstanceId, Now>) {
    if backoff.is_empty() {
        return;
    }
    for view in pools.values_mut() {
        for member in &mut view.members {
            member.in_drain_backoff = backoff.contains_key(member.id);
        }
    }
}

/// Applies the decisions of reconciliation to the views before further instances are drained.
///
/// The instances concerned, above all failed ones, leave the member lists, so that nothing else is
/// decided about them in this pass.
pub(crate) fn apply_decisions(pools: &mut Pools<'_>, state: &State, decisions: &[Decision]) {
    for decision in decisions {
        let Decision::Fleet(
            FleetStep::Fail { instance, .. }
            | FleetStep::Drain { instance, .. }
            | FleetStep::Return { instance, .. },
        ) = decision
        else {
            continue;
        };
        let Some(known) = state.fleet.instances.get(instance) else {
            continue;
        };
        if let Some(view) = pools.get_mut(&known.pool) {
            view.has_decision = true;
            view.lost_instance |= !matches!(decision, Decision::Fleet(FleetStep::Return { .. }));
            view.members.retain(|member| member.id != instance);
            if known.phase == Phase::Active {
                view.active -= 1;
                view.staying -= 1;
            }
        }
    }
}

impl<'a> PoolView<'a> {
    fn add(&mut self, member: Member<'a>) {
        self.members.push(member);
        let instance = member.instance;
        match &instance.phase {
            Phase::Active => {
                self.active += 1;
                self.staying += 1;
            }
            Phase::Draining(DrainPurpose::Maintain) | Phase::Drained(DrainPurpose::Maintain) => {
                self.staying += 1;
                self.in_maintenance += 1;
                self.spread.add(&instance.zone, &instance.rack);
            }
            _ => {}
        }
    }
}
