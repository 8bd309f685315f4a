//! Maintenance in waves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::id::{EndpointId, InstanceId};
use crate::instances::{Remaining, Wave};
use crate::order::{Action, Operation};

/// Approximate time from reserving an instance until it is back. Its lasting tasks move one after
/// another, each with up to 2 s for stopping and starting, and maintenance takes 2 s.
const INSTANCE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of instances with lasting tasks that are emptied at a time in one pool.
const MAX_SLOW_PER_POOL: usize = 2;
/// Part of a wave's time within which it is planned to finish. The rest is a reserve for failures.
const PLANNED_TIME_SHARE: f64 = 0.75;

impl Cell {
    /// Handles a wave that operators have requested.
    pub fn wave(&mut self, wave: Wave) {
        info!(
            wave = wave.number,
            instances = wave.instances.len(),
            at_once = wave.max_down,
            within_s = wave.within.as_secs(),
            "wave requested"
        );
        self.instances.add_wave(wave, self.now.steady);
    }

    /// Records and reports changed statuses of waves.
    pub(super) fn report_waves(&mut self) {
        let statuses = match self.instances.take_status_changes() {
            Ok(statuses) => statuses,
            Err(error) => {
                warn!(%error, "failed to encode status of waves");
                return;
            }
        };
        for (wave, is_completed, record) in statuses {
            info!(wave, is_completed, "wave status");
            self.extra_records.extend(record);
            self.after_commit
                .push(Action::WaveStatus { wave, is_completed });
        }
    }

    /// Orders maintenance of the wave's empty instances, and adds endpoints to be emptied for it to
    /// `reserved`.
    pub(super) fn advance_wave(&mut self, wave: &Remaining, reserved: &mut BTreeSet<EndpointId>) {
        let mut left: Vec<&InstanceId> = wave.left.iter().collect();
        // Instances of evacuated zones come first, since these are emptied in any case.
        left.sort_by_cached_key(|id| (!self.is_zone_evacuated(id), self.emptying_effort(id)));
        let mut may_begin = wave.may_begin;
        let mut in_use = Vec::new();
        for id in left {
            if !self.is_known_empty(id) {
                in_use.push(id);
            } else if may_begin > 0 && self.may_operate() {
                let operation = Operation::Maintain { wave: wave.wave };
                may_begin -= usize::from(self.operate(id, operation));
            }
        }
        reserved.extend(self.endpoints_to_empty(wave, &in_use));
    }

    /// The endpoints of those instances of a wave that should be emptied now.
    ///
    /// An instance that is already being emptied stays selected until it is empty. Otherwise its
    /// lasting tasks would return to it and have to move again.
    fn endpoints_to_empty(&self, wave: &Remaining, in_use: &[&InstanceId]) -> Vec<EndpointId> {
        let is_begun = |id: &&&InstanceId| {
            let endpoint = self.endpoint_on(id);
            endpoint.is_some_and(|e| self.endpoints.get(&e).is_some_and(|e| e.is_reserved))
        };
        let (begun, not_begun): (Vec<_>, Vec<_>) = in_use.iter().partition(is_begun);
        let emptying_target = self.emptying_target(wave).saturating_sub(begun.len());
        let slow = self.slowest(&begun, &not_begun, emptying_target.div_ceil(2));
        let first = not_begun
            .iter()
            .take(emptying_target.saturating_sub(slow.len()));
        let chosen: BTreeSet<&InstanceId> = begun
            .iter()
            .chain(first)
            .copied()
            .copied()
            .chain(slow)
            .collect();
        let endpoints = chosen.into_iter().filter_map(|id| self.endpoint_on(id));
        endpoints.collect()
    }

    /// The instances with the most lasting tasks, which take longest to empty and are therefore
    /// emptied early. At most `MAX_SLOW_PER_POOL` per pool, since the tasks of a step move one
    /// after another even from different instances.
    fn slowest<'a>(
        &self,
        begun: &[&&'a InstanceId],
        not_begun: &[&&'a InstanceId],
        count: usize,
    ) -> Vec<&'a InstanceId> {
        let list = self.instances.list();
        let pool = |id: &InstanceId| list.get(id).map(|i| i.pool.clone());
        let has_lasting = |id: &InstanceId| self.emptying_effort(id).0 > 0;
        let mut pools: BTreeMap<_, usize> = BTreeMap::new();
        for pool in begun
            .iter()
            .filter(|id| has_lasting(id))
            .filter_map(|id| pool(id))
        {
            *pools.entry(pool).or_default() += 1;
        }
        let slow_instances = not_begun.iter().rev().filter(|id| has_lasting(id));
        let limited = slow_instances.filter(|id| {
            let Some(pool) = pool(id) else {
                return false;
            };
            let chosen = pools.entry(pool).or_default();
            *chosen += 1;
            *chosen <= MAX_SLOW_PER_POOL
        });
        limited.take(count).map(|id| **id).collect()
    }

    /// Number of instances of a wave to keep free of new tasks now: as few as finish the wave in
    /// time, since their capacity is missing from their pools.
    fn emptying_target(&self, wave: &Remaining) -> usize {
        let passed = self.now.steady.saturating_sub(wave.since);
        let left = wave
            .within
            .mul_f64(PLANNED_TIME_SHARE)
            .saturating_sub(passed);
        let work = INSTANCE_TIME * u32::try_from(wave.left.len()).unwrap_or(u32::MAX);
        let max_down = wave.max_down.max(1);
        let needed = (1..max_down).find(|&n| left * u32::try_from(n).unwrap_or(1) >= work);
        let under_way = wave.max_down.saturating_sub(wave.may_begin);
        needed.unwrap_or(max_down).saturating_sub(under_way).max(1)
    }

    fn is_zone_evacuated(&self, id: &InstanceId) -> bool {
        let instance = self.instances.list().get(id);
        instance.is_some_and(|i| self.is_instance_evacuated(i))
    }

    /// Effort of emptying an instance: its lasting tasks, then the CPU in use.
    fn emptying_effort(&self, id: &InstanceId) -> (usize, u64) {
        let endpoint = self.endpoint_on(id);
        let endpoint = endpoint.and_then(|e| self.endpoints.get(&e));
        endpoint.map_or((0, 0), |e| (e.lasting_runs, e.used.cpu))
    }
}
