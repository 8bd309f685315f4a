//! Derives the dispatcher's view, epoch and limits from the fleet state.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::config::Service;
use pomelohitch_core::id::TeamId;
use pomelohitch_core::state::{Instance, Phase};
use pomelohitch_permits::Resource;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_route::dispatch::{Runner, ServiceTerms, View};

use crate::freshness;
use crate::node::KnownWithdrawals;
use crate::settings::Settings;

/// Allowance in [`Bounds::wait`] for the drift between the clocks of two machines.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// The teams' limits in the last state that was processed.
#[derive(Debug, Default)]
pub(super) struct Limits {
    by_team: BTreeMap<TeamId, u32>,
}

impl Limits {
    /// Stores the limits of `state` and returns the resources whose limit was lowered or removed.
    pub(super) fn update(&mut self, state: &State) -> Vec<Resource> {
        let teams = state.config.teams.values();
        let now: BTreeMap<_, _> = teams.map(|team| (team.id.clone(), team.limit)).collect();
        let before = std::mem::replace(&mut self.by_team, now);
        let is_lowered =
            |(team, limit): &(TeamId, u32)| self.by_team.get(team).is_none_or(|now| now < limit);
        let lowered = before.into_iter().filter(is_lowered);
        lowered.map(|(team, _)| Resource::Team(team)).collect()
    }
}

/// The members and their incarnations, with the offset at which this set became current.
pub(super) fn epoch(state: &State) -> Epoch {
    let members = state.members.by_id.iter();
    Epoch {
        offset: state.members.epoch,
        members: members
            .map(|(id, member)| (id.clone(), member.incarnation))
            .collect(),
        has_ended: state.members.has_ended,
    }
}

/// The dispatcher's view of `state`, without instances that are known to be leaving.
pub(super) fn view(settings: &Settings, state: &State, withdrawals: &KnownWithdrawals) -> View {
    let mut pools: BTreeMap<_, Vec<Runner>> = BTreeMap::new();
    for pool in state.config.pools.keys() {
        pools.insert(pool.clone(), Vec::new());
    }
    for (id, instance) in &state.fleet.instances {
        let takes_work =
            instance.phase == Phase::Active && !withdrawals.leaving_instances.contains(id);
        if let Some(runners) = pools.get_mut(&instance.pool).filter(|_| takes_work) {
            runners.push(Runner {
                id: id.clone(),
                addr: instance.addr,
                is_same_zone: instance.zone == settings.zone,
            });
        }
    }
    let services = state.config.services.values();
    let teams = state.config.teams.values();
    View {
        own: settings.member.clone(),
        members: state.members.by_id.keys().cloned().collect(),
        services: services
            .map(|service| (service.id.clone(), terms(service)))
            .collect(),
        shares: teams.map(|team| (team.id.clone(), team.share)).collect(),
        pools,
    }
}

fn terms(service: &Service) -> ServiceTerms {
    ServiceTerms {
        pool: service.pool.clone(),
        slots: service.slots,
        queue: service.queue as usize,
        longest_run: service.longest_run,
    }
}

/// The limit of a resource, and how long members that ended may still use its permits.
pub(super) fn bounds(state: &State, resource: &Resource) -> Bounds {
    let limit = match resource {
        Resource::Team(team) => {
            let team = state.config.teams.get(team);
            team.map_or(0, |team| state.limits.requests_of(team))
        }
        Resource::Slots(id) => {
            let instance = state.fleet.instances.get(id);
            instance.map_or(0, |instance| slots(state, instance))
        }
    };
    let longest_run = state.config.services.values().map(|s| s.longest_run).max();
    Bounds {
        limit,
        wait: freshness::BOUND + CLOCK_MARGIN + longest_run.unwrap_or_default(),
    }
}

/// Slots of an instance. Services that share a pool share its runners' slots, so the smallest
/// number that any of them configures applies.
fn slots(state: &State, instance: &Instance) -> u32 {
    let services = state.config.services_of(&instance.pool);
    services.map(|service| service.slots).min().unwrap_or(0)
}
