//! The list of instances, and operations on them.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, InstanceId, ServiceName};
use crate::instances::{self, Instance, InstanceState};
use crate::order::{Action, Operation, OperationOutcome};

/// How often the list of instances is read while something is under way.
const LIST_EVERY_BUSY: Duration = Duration::from_millis(500);
/// The same while an endpoint with work doesn't answer: the list tells whether it still lives.
const LIST_EVERY_SILENT: Duration = Duration::from_millis(250);
/// The same otherwise.
const LIST_EVERY_IDLE: Duration = Duration::from_secs(4);
/// Bytes of an instance in the list.
const LISTED_BYTES: f64 = 160.0;
/// The share of the link that lists may take.
const LIST_SHARE: f64 = 0.1;
/// The fleet's time of two leaders, one after the other, differs by less than this.
const FLEET_TIME_APART: Duration = Duration::from_millis(2500);
/// A list that was asked for so long after an endpoint was last heard speaks of it.
const SILENT_FOR: Duration = Duration::from_millis(300);

impl Cell {
    /// Takes in the platform's list of instances, asked for at `asked_at`.
    pub fn instances_listed(&mut self, list: Vec<Instance>, asked_at: Steady) {
        for instance in &list {
            let before = self.instances.list().get(&instance.id).map(|i| i.state);
            if before.is_some_and(|state| state != instance.state) {
                info!(instance = %instance.id, pool = %instance.pool, state = ?instance.state,
                    ?before, endpoint = ?instance.endpoint, "instance state");
            }
        }
        let replaced = self.instances.update_list(list, asked_at);
        match self.instances.record_leaving(self.draining_instances()) {
            Ok(records) => self.extra_records.extend(records),
            Err(error) => warn!(%error, "leaving instances can't be recorded"),
        }
        for endpoint in replaced {
            self.endpoint_gone(&endpoint, "its instance lives another endpoint");
        }
        for endpoint in self.silent_and_absent(asked_at) {
            self.endpoint_gone(&endpoint, "no instance lives it any more");
        }
    }

    fn draining_instances(&self) -> BTreeSet<InstanceId> {
        let is_draining = |i: &&Instance| {
            let endpoint = i.endpoint.as_ref().and_then(|e| self.endpoints.get(e));
            let report = endpoint.and_then(|e| e.report.as_ref());
            report.is_some_and(|r| r.is_draining)
        };
        let draining = self.instances.list().values().filter(is_draining);
        draining.map(|i| i.id.clone()).collect()
    }

    /// Endpoints that answer nothing and that no instance of a list lives that was asked for at
    /// `asked_at`. An instance that crashed or was switched off shows so within a second, while
    /// the leases of what it ran would have to be waited for much longer. One that is only cut off
    /// stays in the list.
    fn silent_and_absent(&self, asked_at: Steady) -> Vec<EndpointId> {
        let list = self.instances.list().values();
        let alive: BTreeSet<_> = list.filter_map(|i| i.endpoint.as_ref()).collect();
        let is_silent = |e: &Endpoint| {
            let was_silent = e.answered_at.is_none_or(|at| at + SILENT_FOR < asked_at);
            was_silent && e.poll.failures > 0 && asked_at > self.began + SILENT_FOR
        };
        let used = self.endpoints.iter().filter(|(_, e)| !e.runs.is_empty());
        let gone = used.filter(|(id, e)| is_silent(e) && !alive.contains(*id));
        gone.map(|(id, _)| id.clone()).collect()
    }

    /// Whether some endpoint with work doesn't answer.
    fn has_silent(&self) -> bool {
        let now = self.now.steady;
        let mut used = self.endpoints.values().filter(|e| !e.runs.is_empty());
        used.any(|e| e.poll.failures > 0 || !e.has_answered_within(now, self.settings.fresh))
    }

    /// Takes in that the list couldn't be read.
    pub fn instances_unlisted(&mut self) {
        self.instances.list_failed();
    }

    /// Takes in how an operation on an instance ended.
    pub fn operated(&mut self, id: &InstanceId, operation: &Operation, outcome: OperationOutcome) {
        info!(instance = %id, ?operation, ?outcome, "instance operated");
        if outcome == OperationOutcome::Taken
            && let Some(id) = self.instances.endpoint_before(id)
            && self.endpoints.get(&id).is_some_and(|e| e.runs.is_empty())
        {
            self.endpoint_gone(&id, "its instance was taken down");
        }
        let wave = match operation {
            Operation::Maintain { wave } => Some(*wave),
            Operation::Move { .. } => None,
        };
        match self
            .instances
            .operation_ended(id, wave, outcome, self.now.steady)
        {
            Ok(record) => self.extra_records.extend(record),
            Err(error) => warn!(%error, "maintenance can't be recorded"),
        }
    }

    /// The least time from one list of instances to the next, by what they take of the link.
    fn list_gap(&self) -> Duration {
        let count = u32::try_from(self.instances.list().len()).unwrap_or(u32::MAX);
        let bytes = f64::from(count) * LISTED_BYTES;
        let rate = self.settings.link_bytes_per_s.unwrap_or(f64::INFINITY) * LIST_SHARE;
        Duration::try_from_secs_f64(bytes / rate).unwrap_or(LIST_EVERY_IDLE)
    }

    /// Reserves instances, takes empty ones down, and tells how waves are.
    pub(super) fn tend_instances(&mut self) {
        let now = self.now.steady;
        let is_busy = self.instances.has_open_wave() || self.instances.has_under_way();
        let every = if self.has_silent() {
            LIST_EVERY_SILENT
        } else if is_busy {
            LIST_EVERY_BUSY
        } else {
            LIST_EVERY_IDLE
        };
        let every = every.max(self.list_gap());
        if self.instances.wants_list(now, every) {
            self.outbox.push(Action::ListInstances);
        }
        self.instances.forget_unanswered(now);
        self.tell_waves();
        let remaining = self.instances.remaining();
        let mut reserved = BTreeSet::new();
        for wave in remaining {
            self.tend_wave(&wave, &mut reserved);
        }
        let is_due = self.instances.due_for_maintenance();
        reserved.extend(self.follow_demand(&is_due));
        // Until an operation shows, its endpoint looks free: a start would meet its end.
        reserved.extend(self.instances.endpoints_under_way());
        let due: BTreeSet<_> = is_due
            .iter()
            .filter_map(|id| self.endpoint_on(id))
            .collect();
        self.mark(&reserved, &due);
    }

    fn mark(&mut self, reserved: &BTreeSet<EndpointId>, due: &BTreeSet<EndpointId>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_reserved = false;
            endpoint.is_maintenance_due = false;
        }
        for id in reserved {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.is_reserved = true;
            }
        }
        for id in due {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.is_maintenance_due = true;
            }
        }
    }

    /// Whether an instance is up and surely runs nothing. Before the list of instances was read, or
    /// while its endpoint isn't known, nothing is sure.
    pub(super) fn is_known_empty(&self, id: &InstanceId) -> bool {
        let instance = self.instances.list().get(id);
        let instance = instance.filter(|i| i.state == InstanceState::Up);
        let Some(instance) = instance else {
            return false;
        };
        if !self.is_past_holder_gap(instance) {
            return false;
        }
        match &instance.endpoint {
            Some(id) => self.endpoints.get(id).is_some_and(|e| e.runs.is_empty()),
            None => self.is_off(&instance.pool),
        }
    }

    /// Whether a pool's instances are switched off, so that no endpoint lives on them.
    pub(super) fn is_off(&self, pool: &ServiceName) -> bool {
        let services = self.cfg.as_ref().map(|c| &c.services);
        services.is_some_and(|s| s.get(pool).is_some_and(|s| s.is_spare))
    }

    pub(super) fn endpoint_on(&self, id: &InstanceId) -> Option<EndpointId> {
        self.instances.list().get(id)?.endpoint.clone()
    }

    /// Takes in that the former leader's process has ended, so that nothing of it comes any more.
    pub fn former_is_gone(&mut self) {
        info!(epoch = self.epoch, "former leader is gone");
        self.operates_from = self.operates_from.min(self.now.steady);
    }

    /// Whether the former leader surely sends no more orders for instances.
    pub(super) fn may_operate(&self) -> bool {
        self.now.steady >= self.operates_from
    }

    /// Decides an operation on an instance, if the platform takes one more now: it is recorded first
    /// and ordered after, so that a leader that takes over knows which instances to leave alone.
    pub(super) fn operate(&mut self, id: &InstanceId, operation: Operation) -> bool {
        let now = self.now.steady;
        if !self.operations.try_acquire(now) {
            return false;
        }
        info!(instance = %id, ?operation, period_ms = self.demand.period().map(|p| p.as_millis()),
            "operation decided");
        let to = match &operation {
            Operation::Move { pool } => Some(pool.clone()),
            Operation::Maintain { .. } => None,
        };
        self.instances.operation_started(id, now, to);
        match instances::operation_record(id, self.fleet_ms()) {
            Ok(record) => self.extra_records.push(record),
            Err(error) => warn!(%error, "operation can't be recorded"),
        }
        self.gated.push(Action::Operate {
            instance: id.clone(),
            operation,
            at: now,
        });
        true
    }

    /// Whether a former leader's last order for this instance lies far enough back.
    ///
    /// Whatever it ordered ended the endpoint that lived there, so that an endpoint which is older
    /// than the gap shows that there was none since. So does the record of its last order, in the
    /// fleet's time.
    fn is_past_holder_gap(&self, instance: &Instance) -> bool {
        let now = self.now.steady;
        if now >= self.began + self.settings.holder_gap + self.settings.former_holder {
            return true;
        }
        let is_listed_since = self.instances.listed_at().is_some_and(|at| at > self.began);
        let endpoint = instance.endpoint.as_ref();
        let endpoint = endpoint.and_then(|e| self.endpoints.get(e));
        let age = endpoint.and_then(|e| e.clock_at_least(now));
        let is_old = age.is_some_and(|age| age > self.settings.holder_gap);
        let quiet = self.settings.holder_gap + FLEET_TIME_APART;
        let quiet_ms = u64::try_from(quiet.as_millis()).unwrap_or(u64::MAX);
        let ordered_ms = self.instances.former_order_ms(&instance.id);
        let known_ms = self.settings.fleet_ms.or(self.settings.fleet_ms_at_least);
        let since = u64::try_from(now.saturating_sub(self.began).as_millis()).unwrap_or(0);
        let now_ms = known_ms.map(|known| known + since);
        let is_over = |at: u64| now_ms.is_some_and(|now| now >= at.saturating_add(quiet_ms));
        let is_quiet = ordered_ms.is_none_or(is_over);
        is_listed_since && (is_old || is_quiet)
    }
}
