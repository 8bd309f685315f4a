//! Instances that are maintained or moved.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::id::{EndpointId, InstanceId};
use crate::instances::{Instance, InstanceState, Remaining, Wave};
use crate::order::{Action, Operation, OperationOutcome};

/// How often the list of instances is read while something is under way.
const LIST_EVERY_BUSY: Duration = Duration::from_millis(500);
/// The same otherwise.
const LIST_EVERY_IDLE: Duration = Duration::from_secs(4);
/// Instances are emptied ahead of their turn, up to so many times as may be down at once, so that
/// the next is empty when one is back.
const EMPTIED_AHEAD: usize = 2;
/// At least so many are emptied ahead where only one or two may be down at once.
const EMPTIED_AT_LEAST: usize = 3;

impl Cell {
    /// Takes in a wave that operators ask for.
    pub fn wave(&mut self, wave: Wave) {
        info!(
            wave = wave.number,
            instances = wave.instances.len(),
            at_once = wave.at_once,
            within_s = wave.within.as_secs(),
            "wave asked for"
        );
        self.instances.wave(wave, self.now.steady);
    }

    /// Takes in the platform's list of instances, asked for at `asked_at`.
    pub fn instances_listed(&mut self, list: Vec<Instance>, asked_at: Steady) {
        for instance in &list {
            let endpoint = instance.endpoint.as_ref();
            if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
                endpoint.instance = Some(instance.id.clone());
            }
        }
        let replaced = self.instances.listed(list, asked_at);
        for endpoint in replaced {
            self.endpoint_gone(&endpoint, "its instance lives another endpoint");
        }
    }

    /// Takes in that the list couldn't be read.
    pub fn instances_unlisted(&mut self) {
        self.instances.list_failed();
    }

    /// Takes in how an operation on an instance ended.
    pub fn operated(&mut self, id: &InstanceId, operation: &Operation, outcome: OperationOutcome) {
        info!(instance = %id, ?operation, ?outcome, "instance operated");
        if outcome == OperationOutcome::Taken
            && let Some(endpoint) = self.instances.endpoint_before(id)
        {
            self.endpoint_gone(&endpoint, "its instance was taken down");
        }
        let wave = match operation {
            Operation::Maintain { wave } => Some(*wave),
            Operation::Move { .. } => None,
        };
        match self.instances.operated(id, wave, outcome, self.now.steady) {
            Ok(record) => self.extra_records.extend(record),
            Err(error) => warn!(%error, "maintenance can't be recorded"),
        }
    }

    /// Reserves instances, takes empty ones down, and tells how waves are.
    pub(super) fn tend_instances(&mut self) {
        let now = self.now.steady;
        let is_busy = self.instances.has_open_wave() || self.instances.has_under_way();
        let every = if is_busy {
            LIST_EVERY_BUSY
        } else {
            LIST_EVERY_IDLE
        };
        if self.instances.wants_list(now, every) {
            self.outbox.push(Action::ListInstances);
        }
        self.instances.forget_unanswered(now);
        self.tell_waves();
        let remaining = self.instances.remaining();
        // Until an operation shows, its endpoint still looks free.
        let mut reserved = self.instances.endpoints_under_way();
        for wave in remaining {
            self.tend_wave(&wave, &mut reserved);
        }
        let is_due = self.instances.due();
        reserved.extend(self.follow_demand(&is_due));
        for (id, endpoint) in &mut self.endpoints {
            endpoint.is_reserved = reserved.contains(id);
        }
    }

    fn tell_waves(&mut self) {
        let statuses = match self.instances.statuses() {
            Ok(statuses) => statuses,
            Err(error) => {
                warn!(%error, "status of waves can't be recorded");
                return;
            }
        };
        for (wave, is_completed, record) in statuses {
            info!(wave, is_completed, "wave status");
            self.extra_records.extend(record);
            self.gated.push(Action::WaveStatus { wave, is_completed });
        }
    }

    fn tend_wave(&mut self, wave: &Remaining, reserved: &mut BTreeSet<EndpointId>) {
        let mut left: Vec<&InstanceId> = wave.left.iter().collect();
        left.sort_by_key(|id| self.emptying_effort(id));
        let ahead = (wave.at_once * EMPTIED_AHEAD).max(EMPTIED_AT_LEAST);
        let mut may_begin = wave.may_begin;
        for id in left.into_iter().take(ahead) {
            let endpoint = self.endpoint_on(id);
            if may_begin > 0 && self.may_operate() && self.is_known_empty(id) {
                may_begin -= 1;
                self.maintain(wave.wave, id);
            }
            reserved.extend(endpoint);
        }
    }

    /// Whether an instance is up and surely runs nothing. Before the list of instances was read, or
    /// while its endpoint isn't known, nothing is sure.
    pub(super) fn is_known_empty(&self, id: &InstanceId) -> bool {
        let instance = self.instances.list().get(id);
        let instance = instance.filter(|i| i.state == InstanceState::Up);
        let endpoint = instance.and_then(|i| i.endpoint.as_ref());
        endpoint
            .and_then(|e| self.endpoints.get(e))
            .is_some_and(|e| e.runs.is_empty())
    }

    /// Instances that are being emptied stay first, then those with least on them.
    fn emptying_effort(&self, id: &InstanceId) -> (bool, usize, u64) {
        let endpoint = self.endpoint_on(id);
        let Some(endpoint) = endpoint.and_then(|e| self.endpoints.get(&e)) else {
            return (false, 0, 0);
        };
        (!endpoint.is_reserved, endpoint.lasting, endpoint.used.cpu)
    }

    pub(super) fn endpoint_on(&self, id: &InstanceId) -> Option<EndpointId> {
        self.instances.list().get(id)?.endpoint.clone()
    }

    /// A former leader may have operated on instances until just before this one began.
    pub(super) fn may_operate(&self) -> bool {
        self.now.steady >= self.began + self.settings.holder_gap
    }

    fn maintain(&mut self, wave: u64, id: &InstanceId) {
        self.instances.set_under_way(id, self.now.steady, None);
        info!(wave, instance = %id, "maintenance decided");
        self.outbox.push(Action::Operate {
            instance: id.clone(),
            operation: Operation::Maintain { wave },
        });
    }
}
