//! Gangs and rack-local steps, whose tasks start together.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Cell;
use crate::id::{EndpointId, TaskId};
use crate::job::{JobSpec, StepSpec};
use crate::place::Slot;

impl Cell {
    /// Starts all waiting tasks of a gang or a rack-local step together, on one rack if one has the
    /// capacity. A gang starts as a whole or not at all, since an incomplete one would hold
    /// capacity idle until it times out.
    ///
    /// Returns false if there was no capacity for all of them.
    pub(super) fn start_group(
        &mut self,
        spec: &Arc<JobSpec>,
        first: TaskId,
        allowed: &[&Slot],
    ) -> bool {
        let step = &spec.steps[usize::from(first.step)];
        let waiting = self.waiting_tasks(first);
        let is_complete = waiting.len() == step.count as usize;
        if step.is_gang && !is_complete {
            return true;
        }
        let need = step.need.times(waiting.len() as u64);
        if !self.is_within_limit(spec, &need) {
            return true;
        }
        let Some(places) = self.place_group(step, first, &waiting, allowed) else {
            return false;
        };
        if step.is_gang {
            self.align_runs(first);
        }
        for (task, endpoint) in waiting.into_iter().zip(places) {
            let ticket = self.ticket(first, &endpoint);
            self.start(task, &endpoint, ticket);
        }
        true
    }

    /// Sets the run number and the checkpoint of all members of a gang to the highest among them,
    /// since members of a gang share both.
    fn align_runs(&mut self, first: TaskId) {
        let Some(job) = self.jobs.get_mut(&first.job) else {
            return;
        };
        let Some(occurrence) = job.progress.open.get_mut(&first.occurrence) else {
            return;
        };
        let tasks = &mut occurrence.steps[usize::from(first.step)];
        let last = tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
        let checkpoint = tasks
            .iter()
            .map(|t| t.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for t in tasks {
            t.last_run = last;
            t.checkpoint = checkpoint.clone();
        }
    }

    /// A place for each task on the endpoints of one rack if possible, else on all allowed
    /// endpoints.
    fn place_group(
        &self,
        step: &StepSpec,
        first: TaskId,
        waiting: &[TaskId],
        allowed: &[&Slot],
    ) -> Option<Vec<EndpointId>> {
        let mut racks: BTreeMap<&str, Vec<&Slot>> = BTreeMap::new();
        for slot in allowed {
            let rack = slot.rack().unwrap_or_default();
            racks.entry(rack).or_default().push(slot);
        }
        let on_one_rack = racks
            .values()
            .find_map(|rack| self.places_on(step, first, waiting, rack));
        on_one_rack.or_else(|| self.places_on(step, first, waiting, allowed))
    }

    /// A place for each task on the given endpoints, if they have the capacity for all.
    fn places_on(
        &self,
        step: &StepSpec,
        first: TaskId,
        waiting: &[TaskId],
        slots: &[&Slot],
    ) -> Option<Vec<EndpointId>> {
        let resources = step.task_resources();
        let mut siblings = self.siblings(first);
        let mut places = Vec::with_capacity(waiting.len());
        for &slot in slots {
            let mut slot = slot.clone();
            let count = siblings.entry(slot.id.clone()).or_default();
            while places.len() < waiting.len() && slot.may_take(step, *count) {
                slot.free = slot.free.saturating_sub(&resources);
                *count += 1;
                places.push(slot.id.clone());
            }
        }
        (places.len() == waiting.len()).then_some(places)
    }
}
