//! Autoscaling: moves instances between pools by demand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Cell;
use super::schedule::waiting_cpu;
use crate::id::{EndpointId, InstanceId, ServiceName};
use crate::instances::{Instance, InstanceState};
use crate::order::Operation;
use crate::pools::{self, Candidate, Move, Pool};

/// Lead time for which pools provide capacity: an instance takes 0.5 s to be emptied, 1.5 s to
/// move, and 0.3 s until its endpoint is listed and polled.
const LEAD_TIME: Duration = Duration::from_millis(2300);
/// A pool is short when tasks have found no place for this long. Running tasks end and free
/// capacity within half a second, so these need more instances.
const SHORTAGE_DELAY: Duration = Duration::from_millis(600);
/// Interval at which moves are decided.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

impl Cell {
    /// Moves empty instances to the pools that need them, and returns the endpoints to be emptied
    /// for further moves.
    pub(super) fn autoscale(
        &mut self,
        due_instances: &BTreeSet<InstanceId>,
    ) -> BTreeSet<EndpointId> {
        self.demand.refresh(self.fleet_ms());
        if !self.may_operate() {
            return BTreeSet::new();
        }
        let now = self.now.steady;
        if now < self.autoscaled_at + DECISION_INTERVAL {
            return self.emptying.clone();
        }
        self.autoscaled_at = now;
        let pools = self.pools();
        let candidates = self.move_candidates(due_instances);
        let plan = pools::plan(&pools, &candidates, &self.settings.policy.margins);
        let mut emptying = BTreeSet::new();
        for Move { instance, to } in plan.moves {
            if self.is_known_empty(&instance) {
                self.operate(&instance, Operation::Move { pool: to });
            } else {
                emptying.extend(self.endpoint_on(&instance));
            }
        }
        if self.settings.policy.switches_off {
            self.switch_off(plan.surplus);
        }
        self.emptying.clone_from(&emptying);
        emptying
    }

    /// Switches off surplus instances once there has been a surplus for `surplus_delay`.
    fn switch_off(&mut self, surplus: Vec<Move>) {
        let now = self.now.steady;
        if surplus.is_empty() {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.saturating_sub(since) < self.settings.policy.margins.surplus_delay {
            return;
        }
        for Move { instance, to } in surplus {
            let is_empty = self.is_known_empty(&instance);
            if is_empty && !self.operate(&instance, Operation::Move { pool: to }) {
                return;
            }
        }
    }

    /// Every pool with the CPU it will need: the forecast demand plus that of lasting tasks.
    fn pools(&self) -> Vec<Pool> {
        let Some(cfg) = &self.cfg else {
            return Vec::new();
        };
        let lasting_cpu = self.lasting_cpu();
        let lasting_cpu = |name: &ServiceName| lasting_cpu.get(name).copied().unwrap_or(0.0);
        let pool = |(name, service): (&ServiceName, &crate::config::Service)| Pool {
            name: name.clone(),
            is_spare: service.is_spare,
            is_short: self.is_short(name),
            is_blocked: self.is_blocked(name),
            label: self
                .shortages
                .get(name)
                .and_then(|s| s.requirements.label.clone()),
            backlog: if self.settings.policy.provisions_backlog {
                self.backlog(name)
            } else {
                0.0
            },
            wanted: self.demand.peak(name, self.fleet_ms(), LEAD_TIME) + lasting_cpu(name),
            peak_soon: self
                .demand
                .forecast(
                    name,
                    self.fleet_ms(),
                    self.settings.policy.margins.keep_within,
                )
                .map(|soon| soon + lasting_cpu(name)),
        };
        cfg.services.iter().map(pool).collect()
    }

    /// CPU that waiting tasks of ready steps need, in thousandths of a core.
    fn backlog(&self, service: &ServiceName) -> f64 {
        let jobs = self.ready_jobs.get(service).into_iter().flatten();
        let jobs = jobs.filter_map(|id| self.jobs.get(id));
        // More instances don't help jobs that wait for their workspace's limit.
        let allowed = jobs.filter(|job| {
            let first = &job.spec.steps[0].need;
            self.is_within_limit(&job.spec, first)
        });
        let waiting = allowed.map(waiting_cpu);
        f64::from(u32::try_from(waiting.sum::<u64>()).unwrap_or(u32::MAX))
    }

    /// Whether tasks of the service have fit on no endpoint for `SHORTAGE_DELAY`, including lasting
    /// ones that have to move, and no instance is on its way to the pool.
    fn is_short(&self, service: &ServiceName) -> bool {
        let unplaced = self.shortages.get(service).map(|s| s.since);
        let blocked = self.blocked_services.get(service).map(|b| b.since);
        let since = unplaced.into_iter().chain(blocked).min();
        let is_old = since.is_some_and(|s| self.now.steady.saturating_sub(s) > SHORTAGE_DELAY);
        is_old && !self.instances.has_arriving(service)
    }

    /// Whether lasting tasks of the service that have to move have fit nowhere for
    /// `SHORTAGE_DELAY`.
    fn is_blocked(&self, service: &ServiceName) -> bool {
        let since = self.blocked_services.get(service).map(|b| b.since);
        since.is_some_and(|s| self.now.steady.saturating_sub(s) > SHORTAGE_DELAY)
    }

    /// CPU that the lasting tasks of each service use, in thousandths of a core.
    fn lasting_cpu(&self) -> BTreeMap<&ServiceName, f64> {
        let mut used = BTreeMap::new();
        let with_lasting = self.all_endpoints().filter(|(_, e)| e.lasting_runs > 0);
        for (_, endpoint) in with_lasting {
            let Some(report) = &endpoint.report else {
                continue;
            };
            let lasting = endpoint.runs.values().filter(|a| a.is_lasting);
            let cpu: u64 = lasting.map(|a| a.resources.cpu).sum();
            *used.entry(&report.service).or_default() +=
                f64::from(u32::try_from(cpu).unwrap_or(u32::MAX));
        }
        used
    }

    /// Every instance that is in a pool or on its way to one. Those due for maintenance are marked
    /// as not movable until it is done.
    fn move_candidates(&self, due_instances: &BTreeSet<InstanceId>) -> Vec<Candidate> {
        let in_pools = self.all_instances().filter(|i| {
            matches!(i.state, InstanceState::Up | InstanceState::Moving)
                || self.instances.is_under_way(&i.id)
        });
        in_pools.map(|i| self.candidate(i, due_instances)).collect()
    }

    fn candidate(&self, instance: &Instance, due_instances: &BTreeSet<InstanceId>) -> Candidate {
        let endpoint = instance.endpoint.as_ref();
        let endpoint = endpoint.and_then(|e| self.endpoints.get(e));
        let has_lasting = endpoint.is_some_and(|e| e.lasting_runs > 0);
        let is_free = instance.state == InstanceState::Up
            && !self.instances.is_under_way(&instance.id)
            && !due_instances.contains(&instance.id);
        let is_off = instance.endpoint.is_none() && self.is_switched_off(&instance.pool);
        let destination = self.instances.destination(&instance.id);
        let report = endpoint.and_then(|e| e.report.as_ref());
        let capacity = report.map_or(instance.capacity, |r| r.capacity);
        Candidate {
            id: instance.id.clone(),
            pool: destination.unwrap_or(&instance.pool).clone(),
            labels: instance.labels.clone(),
            cpu: capacity.cpu,
            is_movable: is_free
                && !has_lasting
                && (is_off || endpoint.is_some_and(|e| e.is_listed)),
            is_reserved: endpoint.is_some_and(|e| e.is_reserved),
            is_evacuated: self.is_instance_evacuated(instance),
            used: endpoint.map_or(0, |e| e.used.cpu),
        }
    }
}
