//! The list of instances, and operations on instances: maintenance and moves between pools.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, InstanceId, ServiceName};
use crate::instances::{self, Instance, InstanceState};
use crate::order::{Action, Operation, OperationOutcome};

/// Interval between reads of the list of instances while a wave or an operation is in progress.
const LIST_INTERVAL_BUSY: Duration = Duration::from_millis(500);
/// The same while an endpoint with runs doesn't answer: the list shows whether it still exists.
const LIST_INTERVAL_SILENT: Duration = Duration::from_millis(250);
/// The same in all other cases.
const LIST_INTERVAL_IDLE: Duration = Duration::from_secs(4);
/// Size of an instance's entry in the list, bytes.
const INSTANCE_ENTRY_BYTES: f64 = 160.0;
/// Maximum share of the link's bandwidth used for reading the list.
const LIST_BANDWIDTH_SHARE: f64 = 0.1;
/// Upper bound of the difference between the fleet's time as two successive leaders know it.
const MAX_FLEET_TIME_DIFFERENCE: Duration = Duration::from_millis(2500);
/// A list that shows an endpoint's instance as down proves that the endpoint has ended if it was
/// requested at least this long after the endpoint's last answer.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Time for which an endpoint may be suspended without counting as ended by lists that lack it.
const MAX_SUSPENSION: Duration = Duration::from_secs(1);
/// Minimum time between two lists that lack an endpoint. An instance that moves from one page to
/// another while they are read isn't missing from both.
const MIN_LIST_SPACING: Duration = Duration::from_millis(200);

/// An endpoint with runs that the newest lists of instances lack.
#[derive(Debug, Clone)]
pub(super) struct Absence {
    /// When the first of these lists was requested, if the endpoint hasn't answered since.
    since: Steady,
    /// The instance that last ran it, if a list showed one.
    instance: Option<InstanceId>,
}

impl Cell {
    /// Handles the platform's list of instances, which was requested at `asked_at`.
    pub fn instances_listed(&mut self, list: Vec<Instance>, asked_at: Steady) {
        if self.instances.is_outdated(asked_at) {
            self.instances.list_failed();
            return;
        }
        for instance in &list {
            let before = self.instances.list().get(&instance.id).map(|i| i.state);
            if before.is_some_and(|state| state != instance.state) {
                info!(instance = %instance.id, pool = %instance.pool, state = ?instance.state,
                    ?before, endpoint = ?instance.endpoint, "instance state changed");
            }
        }
        let hosts = self.instances.hosts();
        let replaced = self.instances.update_list(list, asked_at);
        match self.instances.record_leaving(self.draining_instances()) {
            Ok(records) => self.extra_records.extend(records),
            Err(error) => warn!(%error, "failed to encode record of leaving instances"),
        }
        for id in replaced {
            // One with runs, or one that answers, is gone only if it is silent for long enough.
            let endpoint = self.endpoints.get(&id);
            if endpoint.is_some_and(|e| e.runs.is_empty() && e.poll.failures > 0) {
                self.endpoint_gone(&id, "its instance runs another endpoint");
            }
        }
        self.update_absences(&hosts, asked_at);
        for endpoint in self.gone_endpoints(asked_at) {
            self.endpoint_absent(&endpoint, "no listed instance runs it");
        }
    }

    fn draining_instances(&self) -> BTreeSet<InstanceId> {
        let is_draining = |i: &&Instance| {
            let endpoint = i.endpoint.as_ref().and_then(|e| self.endpoints.get(e));
            let report = endpoint.and_then(|e| e.report.as_ref());
            report.is_some_and(|r| r.is_draining)
        };
        let draining = self.all_instances().filter(is_draining);
        draining.map(|i| i.id.clone()).collect()
    }

    /// Updates which endpoints with runs the list requested at `asked_at` lacks. `hosts` are the
    /// instances that ran endpoints by the list before.
    fn update_absences(&mut self, hosts: &BTreeMap<EndpointId, InstanceId>, asked_at: Steady) {
        let listed: BTreeSet<_> = self
            .all_instances()
            .filter_map(|i| i.endpoint.as_ref())
            .collect();
        let used = self.all_endpoints().filter(|(_, e)| !e.runs.is_empty());
        let absent = used.filter(|(id, _)| !listed.contains(*id));
        let absences = absent.map(|(id, endpoint)| {
            let before = self.absences.get(id);
            let since = before
                .map(|b| b.since)
                .filter(|&at| endpoint.is_silent_since(at));
            let instance = hosts.get(id).or(before.and_then(|b| b.instance.as_ref()));
            let absence = Absence {
                since: since.unwrap_or(asked_at),
                instance: instance.cloned(),
            };
            (id.clone(), absence)
        });
        self.absences = absences.collect();
    }

    /// Endpoints with runs that have certainly ended, since they don't answer and no instance of the
    /// list requested at `asked_at` runs them.
    ///
    /// The list shows within a second that an instance crashed or was switched off, while the
    /// leases of its runs take much longer to expire. An instance that is only unreachable stays in
    /// the list with its endpoint. A list may show an older state, have gaps, or leave out an
    /// endpoint that is about to leave, so that one list and one failed poll prove little.
    fn gone_endpoints(&self, asked_at: Steady) -> Vec<EndpointId> {
        let gone = self.absences.iter().filter(|(id, absence)| {
            let endpoint = self.endpoints.get(*id);
            let present = endpoint.filter(|e| e.gone_since.is_none());
            present.is_some_and(|e| self.has_ended(e, absence, asked_at))
        });
        gone.map(|(id, _)| id.clone()).collect()
    }

    fn has_ended(&self, endpoint: &Endpoint, absence: &Absence, asked_at: Steady) -> bool {
        let heard_at = endpoint.last_heard_at();
        let silent_since = heard_at.unwrap_or_default().max(self.leader_since);
        let silence = asked_at.saturating_sub(silent_since);
        if self.is_known_down(endpoint, absence, asked_at) {
            return silence > MIN_SILENCE && endpoint.poll.failures > 0;
        }
        let is_repeated = asked_at >= absence.since + MIN_LIST_SPACING;
        silence > self.unlisted_silence(endpoint) && endpoint.poll.failures > 1 && is_repeated
    }

    /// Silence after which an endpoint that no instance runs has ended: the suspension that it may
    /// have, with the polls before and after it that it holds, each repeated once.
    fn unlisted_silence(&self, endpoint: &Endpoint) -> Duration {
        let hold = if endpoint.polled_at.is_none() {
            Duration::ZERO
        } else if endpoint.runs.len() > endpoint.lasting_runs {
            self.settings.poll_wait_for_ends
        } else {
            self.settings.poll_wait
        };
        MAX_SUSPENSION + (hold + self.settings.poll_retry_delay) * 2
    }

    /// Whether the list requested at `asked_at` shows the endpoint's instance as down, and is of a
    /// later moment than the endpoint's start.
    fn is_known_down(&self, endpoint: &Endpoint, absence: &Absence, asked_at: Steady) -> bool {
        let instance = absence.instance.as_ref();
        let instance = instance.and_then(|id| self.instances.list().get(id));
        let is_down =
            instance.is_some_and(|i| i.state != InstanceState::Up && i.endpoint.is_none());
        let is_draining = endpoint.report.as_ref().is_some_and(|r| r.is_draining);
        let uptime = endpoint.clock_at_least(asked_at);
        is_down && !is_draining && uptime.is_some_and(|uptime| uptime > instances::MAX_LIST_AGE)
    }

    /// Whether some endpoint with runs doesn't answer.
    fn has_silent(&self) -> bool {
        let now = self.now.steady;
        let mut used = self.all_endpoints().filter(|(_, e)| !e.runs.is_empty());
        used.any(|(_, e)| {
            e.poll.failures > 0 || !e.has_answered_within(now, self.settings.max_silence)
        })
    }

    /// Handles that the list of instances couldn't be read.
    pub fn instances_unlisted(&mut self) {
        self.instances.list_failed();
    }

    /// Handles the result of an operation on an instance.
    pub fn operated(&mut self, id: &InstanceId, operation: &Operation, outcome: OperationOutcome) {
        info!(instance = %id, ?operation, ?outcome, "operation on instance ended");
        if outcome == OperationOutcome::Taken
            && let Some(id) = self.instances.endpoint_before(id)
            && let Some(endpoint) = self.endpoints.get(&id)
        {
            self.taken_down
                .insert(id.clone(), (endpoint.born, self.now.steady));
            if endpoint.runs.is_empty() {
                self.endpoint_gone(&id, "its instance was taken down");
            }
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
            Err(error) => warn!(%error, "failed to encode maintenance record"),
        }
    }

    /// Minimum time between two reads of the list of instances, by its share of the link's
    /// bandwidth.
    fn min_list_interval(&self) -> Duration {
        let count = u32::try_from(self.instances.list().len()).unwrap_or(u32::MAX);
        let bytes = f64::from(count) * INSTANCE_ENTRY_BYTES;
        let rate = self.settings.link_bytes_per_s.unwrap_or(f64::INFINITY) * LIST_BANDWIDTH_SHARE;
        Duration::try_from_secs_f64(bytes / rate).unwrap_or(LIST_INTERVAL_IDLE)
    }

    /// Advances waves and autoscaling: requests the list of instances when it is due, reports the
    /// status of waves, orders operations on empty instances, and reserves those to be emptied.
    pub(super) fn manage_instances(&mut self) {
        let now = self.now.steady;
        let is_busy = self.instances.has_open_wave() || self.instances.has_under_way();
        let interval = if self.has_silent() {
            LIST_INTERVAL_SILENT
        } else if is_busy {
            LIST_INTERVAL_BUSY
        } else {
            LIST_INTERVAL_IDLE
        };
        let interval = interval.max(self.min_list_interval());
        if self.instances.wants_list(now, interval) {
            self.outbox.push(Action::ListInstances);
        }
        self.instances.forget_unanswered(now);
        self.report_waves();
        let remaining = self.instances.remaining();
        let mut reserved = BTreeSet::new();
        for wave in remaining {
            self.advance_wave(&wave, &mut reserved);
        }
        let due_instances = self.instances.due_for_maintenance();
        reserved.extend(self.autoscale(&due_instances));
        // An endpoint whose instance is being operated on may still appear free in the lists; a
        // start on it would be lost.
        reserved.extend(self.instances.endpoints_under_way());
        reserved.extend(self.taken_down_endpoints());
        let due_endpoints: BTreeSet<_> = due_instances
            .iter()
            .filter_map(|id| self.endpoint_on(id))
            .collect();
        self.mark_endpoints(&reserved, &due_endpoints);
    }

    /// Endpoints whose instances were taken down. Their entries may still be in the store, and a list
    /// from before the operation may still show them.
    fn taken_down_endpoints(&mut self) -> Vec<EndpointId> {
        let now = self.now.steady;
        self.taken_down
            .retain(|_, (_, at)| now <= *at + instances::MAX_LIST_AGE);
        let is_same = |id: &EndpointId, born: u64| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(|e| e.born == born)
        };
        let taken_down = self.taken_down.iter();
        let taken_down = taken_down.filter(|(id, (born, _))| is_same(id, *born));
        taken_down.map(|(id, _)| id.clone()).collect()
    }

    /// Sets which endpoints are reserved, and which are due for maintenance.
    fn mark_endpoints(
        &mut self,
        reserved: &BTreeSet<EndpointId>,
        due_endpoints: &BTreeSet<EndpointId>,
    ) {
        self.count_visits(self.endpoints.len());
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_reserved = false;
            endpoint.is_maintenance_due = false;
            endpoint.is_kept_for_lasting = false;
        }
        for id in reserved {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.is_reserved = true;
            }
        }
        for kept in self.kept_rooms.values() {
            if let Some(endpoint) = self.endpoints.get_mut(&kept.endpoint) {
                endpoint.is_kept_for_lasting = true;
            }
        }
        for id in due_endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.is_maintenance_due = true;
            }
        }
    }

    /// Whether an instance is up and certainly runs nothing. False before the list of instances was
    /// read, and while the instance's endpoint isn't known.
    pub(super) fn is_known_empty(&self, id: &InstanceId) -> bool {
        let instance = self.instances.list().get(id);
        let instance = instance.filter(|i| i.state == InstanceState::Up);
        let Some(instance) = instance else {
            return false;
        };
        if !self.is_operation_gap_over(instance) {
            return false;
        }
        match &instance.endpoint {
            Some(id) => self
                .endpoints
                .get(id)
                .is_some_and(|e| e.runs.is_empty() && self.is_current_endpoint(e)),
            None => self.is_switched_off(&instance.pool),
        }
    }

    /// Whether an endpoint that the list shows is still the one on its instance: it answers, or has
    /// been silent for so long that the list would show another one.
    fn is_current_endpoint(&self, endpoint: &Endpoint) -> bool {
        let now = self.now.steady;
        let silent_since = endpoint.answered_at.unwrap_or(self.leader_since);
        endpoint.has_answered_within(now, self.settings.max_silence)
            || now > silent_since + self.settings.poll_wait + instances::MAX_LIST_AGE
    }

    /// Whether a pool is a spare pool, whose instances are switched off and run no endpoints.
    pub(super) fn is_switched_off(&self, pool: &ServiceName) -> bool {
        let services = self.cfg.as_ref().map(|c| &c.services);
        services.is_some_and(|s| s.get(pool).is_some_and(|s| s.is_spare))
    }

    /// The endpoint that runs on an instance, if the list shows one.
    pub(super) fn endpoint_on(&self, id: &InstanceId) -> Option<EndpointId> {
        self.instances.list().get(id)?.endpoint.clone()
    }

    /// Handles that the former leader's process has ended, so that it sends no more operations.
    pub fn former_leader_ended(&mut self) {
        info!(epoch = self.epoch, "former leader's process has ended");
        self.operations_allowed_from = self.operations_allowed_from.min(self.now.steady);
    }

    /// Whether the former leader certainly sends no more operations on instances.
    pub(super) fn may_operate(&self) -> bool {
        self.now.steady >= self.operations_allowed_from
    }

    /// Decides an operation on an instance, if the platform's rate limit allows one now; returns
    /// whether it does. The operation is sent once its record is durable, so that a leader that
    /// takes over knows which instances not to operate on.
    pub(super) fn operate(&mut self, id: &InstanceId, operation: Operation) -> bool {
        let now = self.now.steady;
        if !self.operation_limiter.try_acquire(now) {
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
            Err(error) => warn!(%error, "failed to encode operation record"),
        }
        self.after_commit.push(Action::Operate {
            instance: id.clone(),
            operation,
            at: now,
        });
        true
    }

    /// Whether the former leader's last operation on this instance is at least `operation_gap` ago.
    ///
    /// Every operation ends the endpoint on the instance, so an endpoint that is older than the gap
    /// proves that there was none within it. So does the record of the last operation, which holds
    /// its time in the fleet's time.
    fn is_operation_gap_over(&self, instance: &Instance) -> bool {
        let now = self.now.steady;
        if now
            >= self.leader_since + self.settings.operation_gap + self.settings.former_leader_timeout
        {
            return true;
        }
        let is_listed_since = self
            .instances
            .listed_at()
            .is_some_and(|at| at > self.leader_since);
        let endpoint = instance.endpoint.as_ref();
        let endpoint = endpoint.and_then(|e| self.endpoints.get(e));
        let age = endpoint.and_then(|e| e.clock_at_least(now));
        let is_old = age.is_some_and(|age| age > self.settings.operation_gap);
        let required_gap = self.settings.operation_gap + MAX_FLEET_TIME_DIFFERENCE;
        let required_gap_ms = u64::try_from(required_gap.as_millis()).unwrap_or(u64::MAX);
        let ordered_ms = self.instances.former_order_ms(&instance.id);
        let known_ms = self.settings.fleet_ms.or(self.settings.fleet_ms_at_least);
        let elapsed_ms =
            u64::try_from(now.saturating_sub(self.leader_since).as_millis()).unwrap_or(0);
        let now_ms = known_ms.map(|known| known + elapsed_ms);
        let is_over = |at: u64| now_ms.is_some_and(|now| now >= at.saturating_add(required_gap_ms));
        let is_record_old = ordered_ms.is_none_or(is_over);
        is_listed_since && (is_old || is_record_old)
    }
}
