//! One pass over all instances that the decisions of a look share.

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
    /// Its id.
    pub id: &'a InstanceId,
    /// What the log says of it.
    pub instance: &'a Instance,
    /// Whether its last drain never got done, so that it isn't drained again yet.
    pub in_drain_backoff: bool,
}

impl Member<'_> {
    /// Whether it works and may be drained.
    #[must_use]
    pub fn can_drain(&self) -> bool {
        self.instance.phase == Phase::Active && !self.in_drain_backoff
    }
}

/// A pool and its instances, as the decisions so far would leave them.
#[derive(Debug, Clone, Default)]
pub struct PoolView<'a> {
    /// Every instance that the log has in the pool.
    pub members: Vec<Member<'a>>,
    /// How many take work.
    pub active: u32,
    /// How many neither failed nor are to leave the pool.
    pub staying: u32,
    /// How many are on their way to the pool.
    pub incoming: u32,
    /// The highest availability budget of the pool's services; `None` without services.
    pub min_available: Option<u32>,
    /// How many have to stay whatever other pools ask for.
    pub floor: u32,
    /// Whether its instances are the first to be lent.
    pub spare: bool,
    /// Where its instances are that are out of work for maintenance.
    pub spread: Spread,
    /// How many are out of work for maintenance.
    pub in_maintenance: u32,
    /// Whether this very look found out that it loses an instance.
    pub lost_instance: bool,
    /// Whether this very look has decided about one of its instances.
    pub has_decision: bool,
}

impl PoolView<'_> {
    /// How many more may be taken out of work now.
    ///
    /// A pool without services has no budget that could be broken; a tenth of it at a time, but at
    /// least one, keeps most of its work going.
    #[must_use]
    pub fn headroom(&self) -> u32 {
        match self.min_available {
            Some(min) => self.active.saturating_sub(min),
            None => (self.staying / 10)
                .max(1)
                .saturating_sub(self.in_maintenance),
        }
    }

    /// How many more would have to take work to meet the budget.
    #[must_use]
    pub fn deficit(&self) -> u32 {
        let min = self.min_available.unwrap_or(0);
        min.saturating_sub(self.active)
    }

    /// How many may move away now.
    #[must_use]
    pub fn lendable(&self) -> u32 {
        let above_floor = self.staying.saturating_sub(self.floor);
        let above_budget = self.active.saturating_sub(self.min_available.unwrap_or(0));
        above_floor.min(above_budget)
    }
}

/// Every configured pool by its id.
pub type Pools<'a> = BTreeMap<&'a PoolId, PoolView<'a>>;

/// Looks at every instance once.
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

/// Marks the instances that aren't drained again yet.
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

/// Takes account of the instances about which this look has decided, lost ones above all, before
/// others are drained: nothing else is decided about them.
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
