//! Computes the share of every pool that this entry instance and each of its teams are entitled to.
//!
//! All callers of a team may reach the fleet through one entry instance, while other teams are
//! spread over all of them. If each entry instance divided only its own slots, such a team would
//! get no more than a part of that instance's slots. So every member computes each team's share of
//! the whole pool from the loads of all members, and asks for the slots that its own teams are
//! entitled to.

use std::collections::BTreeMap;

use pomelohitch_core::id::{MemberId, PoolId, ServiceId, TeamId};
use pomelohitch_permits::{Holder, Load, Resource};

use super::Dispatcher;
use crate::fair::{self, Claimant};

/// Demand for a pool in slots, by team and member.
type Demands<'a> = BTreeMap<&'a TeamId, BTreeMap<&'a MemberId, f64>>;

/// Inputs other than the view that determine weights and wanted permits. The results are recomputed
/// only when these change, so that an idle entry instance does not iterate over all runners.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ShareInputs {
    own: Vec<Load>,
    peers: BTreeMap<MemberId, Vec<Load>>,
    is_leaving: bool,
}

impl<T> Dispatcher<T> {
    /// Decays the recent arrivals of all queues and recomputes weights and wanted permits; to be
    /// called once every [`ARRIVAL_DECAY_INTERVAL`](crate::queue::ARRIVAL_DECAY_INTERVAL).
    pub fn refresh_shares(&mut self) {
        // Decays first, since the loads reported by peers are decayed as well. Otherwise each
        // member would consider its own demand larger than that of the others.
        for queue in self.queues.values_mut() {
            queue.decay_arrivals();
        }
        self.update_shares();
    }

    /// Recomputes weights and wanted permits if their inputs have changed.
    pub(super) fn update_shares(&mut self) {
        let share_inputs = ShareInputs {
            own: self.loads(),
            peers: self.peers.clone(),
            is_leaving: self.is_leaving,
        };
        if self.share_inputs.as_ref() != Some(&share_inputs) {
            self.compute_shares(&share_inputs.own);
            self.share_inputs = Some(share_inputs);
            self.permits_changed = true;
        }
        if std::mem::take(&mut self.permits_changed) {
            self.set_queue_slots();
        }
    }

    fn compute_shares(&mut self, own_loads: &[Load]) {
        let mut wants = BTreeMap::new();
        let mut weights = Vec::new();
        for pool in self.view.pools.keys() {
            let demands = self.demands(pool, own_loads);
            self.divide_pool(pool, &demands, &mut wants, &mut weights);
        }
        for team in self.view.shares.keys() {
            let own = own_loads.iter().filter(|load| load.team == *team);
            let want = own.map(|load| load.running + load.waiting).sum();
            wants.insert(Resource::Team(team.clone()), want);
        }
        // Permits of resources that no longer exist are returned.
        for (resource, holder) in &self.holders {
            if holder.held() > 0 {
                wants.entry(resource.clone()).or_insert(0);
            }
        }
        for resource in wants.keys() {
            if !self.holders.contains_key(resource) {
                self.holders.insert(resource.clone(), Holder::default());
            }
        }
        self.wants = wants;
        for (service, team, weight) in weights {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.set_weight(&team, weight);
            }
        }
    }

    fn demands<'a>(&'a self, pool: &PoolId, own_loads: &'a [Load]) -> Demands<'a> {
        let mut demands = Demands::new();
        let own = std::iter::once((&self.view.own, own_loads));
        let peers = self.peers.iter().map(|(id, loads)| (id, &**loads));
        for (member, loads) in own.chain(peers) {
            for load in loads {
                let service = self.view.services.get(&load.service);
                let is_known = self.view.shares.contains_key(&load.team);
                if is_known && service.is_some_and(|terms| terms.pool == *pool) {
                    let demand = f64::from(load.need) / 1000.0;
                    let of_team = demands.entry(&load.team).or_default();
                    *of_team.entry(member).or_default() += demand;
                }
            }
        }
        demands
    }

    fn divide_pool(
        &self,
        pool: &PoolId,
        demands: &Demands<'_>,
        wants: &mut BTreeMap<Resource, u32>,
        weights: &mut Vec<(ServiceId, TeamId, f64)>,
    ) {
        let Some(runners) = self.view.pools.get(pool) else {
            return;
        };
        let of_pool = self.view.services.iter().filter(|(_, s)| s.pool == *pool);
        let services: Vec<_> = of_pool.collect();
        let slots = services.iter().map(|(_, s)| s.slots).min().unwrap_or(0);
        let capacity = f64::from(slots) * f64::from(u32::try_from(runners.len()).unwrap_or(0));
        let teams: Vec<_> = demands.keys().copied().collect();
        let claimants: Vec<_> = teams
            .iter()
            .map(|team| Claimant {
                share: f64::from(self.view.shares.get(*team).copied().unwrap_or(1)),
                demand: demands[*team].values().sum(),
            })
            .collect();
        let entitled = fair::water_fill(capacity, &claimants);
        let members: Vec<_> = self.view.members.iter().collect();
        let unused = (capacity - entitled.iter().sum::<f64>()).max(0.0);
        // Unclaimed capacity is spread evenly, since the next burst may arrive at any member.
        let unused_per_member =
            unused / f64::from(u32::try_from(members.len().max(1)).unwrap_or(1));
        let mut parts = vec![unused_per_member; members.len()];
        if let Some(own) = members.iter().position(|member| **member == self.view.own)
            && self.is_leaving
        {
            parts[own] = 0.0;
        }
        for ((team, entitled), claimant) in teams.iter().zip(&entitled).zip(&claimants) {
            for (member, part) in members.iter().zip(&mut parts) {
                let demand = demands[*team].get(*member).copied().unwrap_or(0.0);
                if claimant.demand <= 0.0 || demand <= 0.0 {
                    continue;
                }
                let member_part = entitled * demand / claimant.demand;
                *part += member_part;
                if **member == self.view.own {
                    let of_team = services.iter().map(|(id, _)| (*id).clone());
                    weights.extend(of_team.map(|id| (id, (*team).clone(), member_part)));
                }
            }
        }
        let assignment = fair::assign_slots(&parts, runners.len(), slots);
        let own = members.iter().position(|member| **member == self.view.own);
        for (i, runner) in runners.iter().enumerate() {
            let want = own.map_or(0, |own| assignment[own][i]);
            wants.insert(Resource::Slots(runner.id.clone()), want);
        }
    }

    /// Sets the number of slots that each queue can expect to use: for each runner the slots held
    /// or wanted here, whichever is larger.
    fn set_queue_slots(&mut self) {
        for (service, queue) in &mut self.queues {
            let Some(terms) = self.view.services.get(service) else {
                continue;
            };
            let runners = self.view.pools.get(&terms.pool);
            let slots = runners.into_iter().flatten().map(|runner| {
                let resource = Resource::Slots(runner.id.clone());
                let held = self.holders.get(&resource).map_or(0, Holder::held);
                held.max(self.wants.get(&resource).copied().unwrap_or(0))
            });
            queue.set_slots(slots.sum());
        }
    }
}
