//! Moves and maintenance of instances.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::instances::InstanceState;
use pomelohitch_sched::order::{Operation, OperationOutcome};

use super::{Endpoint, Fleet, report};

impl Fleet {
    pub(super) fn operate(&mut self, id: &Arc<str>, operation: &Operation) {
        self.operations.push((id.clone(), operation.clone()));
        let is_up = self
            .instances
            .get(id)
            .is_some_and(|i| i.state == InstanceState::Up);
        let outcome = match () {
            () if self.loses_operations => OperationOutcome::Unanswered,
            () if self.applies_operations && !is_up => OperationOutcome::Busy,
            () => OperationOutcome::Taken,
        };
        if self.applies_operations && outcome == OperationOutcome::Taken {
            self.take_down(id, operation);
        }
        let outcome = if self.loses_operation_answers {
            OperationOutcome::Unanswered
        } else {
            outcome
        };
        self.cell.operated(id, operation, outcome);
    }

    pub(super) fn take_down(&mut self, id: &Arc<str>, operation: &Operation) {
        let instance = self
            .instances
            .get_mut(id)
            .expect("an instance that is up is listed");
        if let Some(endpoint) = instance.endpoint.take() {
            self.endpoints.remove(&endpoint);
        }
        let (state, pool, millis) = match operation {
            Operation::Move { pool } => (InstanceState::Moving, pool.clone(), 1500),
            Operation::Maintain { .. } => (InstanceState::Maintenance, instance.pool.clone(), 2000),
        };
        instance.state = state;
        instance.pool = pool.clone();
        let back_at = self.now.steady + Duration::from_millis(millis);
        self.returning.push((back_at, id.clone(), pool));
    }

    pub(super) fn return_instances(&mut self) {
        let now = self.now.steady;
        let back: Vec<_> = self
            .returning
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, id, pool) in back {
            self.last_index += 1;
            let mut report = report(&format!("e{}", self.last_index), self.last_index);
            report.service = pool;
            report.capacity = self.capacity;
            let instance = self
                .instances
                .get_mut(&id)
                .expect("instances are never removed while an operation runs");
            instance.state = InstanceState::Up;
            report.labels = instance.labels.clone();
            report.zone = instance.zone.clone();
            instance.endpoint = Some(report.id.clone());
            self.cell.endpoint_listed(report.clone());
            let mut endpoint = Endpoint::new(report);
            endpoint.clock = Duration::ZERO;
            let id = endpoint.report.id.clone();
            self.endpoints.insert(id, endpoint);
        }
    }
}
