//! Search for a worker with enough free capacity for a job.

use std::time::Duration;

use pomelohitch_core::record::job::Resources;
use pomelohitch_core::state::jobs::Entry;

use super::{Index, InstanceId, Planner, Slot};

/// With fewer workers without accelerators than this, no headroom is kept for urgent jobs.
const MIN_WORKERS_FOR_HEADROOM: usize = 10;
/// With fewer racks than this, a job may be placed again on the rack where it failed.
const MIN_RACKS_TO_AVOID_ONE: usize = 4;
/// Maximum number of racks of a zone that are compared for a job of a group.
const MAX_RACKS_TRIED: usize = 16;

impl Planner {
    /// Finds a worker with enough free capacity for a patient job: the first one in
    /// [`patient_ranges`](Planner::patient_ranges), which keeps free capacity contiguous at the
    /// end. For a job of a group, patient or urgent, it is the one that spreads the group best,
    /// which may be in the headroom.
    pub(super) fn find_worker(
        &self,
        entry: &Entry,
        need: &Resources,
        now: Duration,
    ) -> Option<InstanceId> {
        let slot = if entry.job.group.is_some() {
            self.slot_for_group(entry, need)
        } else {
            let mut ranges = self.patient_ranges(now).into_iter();
            ranges.find_map(|(start, end)| self.first_allowed(&self.free, start, end, entry, need))
        };
        Some(self.layout.workers[slot?].clone())
    }

    /// Slot ranges open to patient jobs without a group. If urgent jobs were waiting within
    /// `headroom_period`, the last workers without accelerators are kept free for them: an urgent
    /// job starts within milliseconds on free capacity, whereas a preemption loses work of the
    /// preempted task. The headroom consists of whole workers because a small part of every worker
    /// would fit no job.
    pub(super) fn patient_ranges(&self, now: Duration) -> [(Slot, Slot); 2] {
        let (cpu_only, all) = (self.layout.cpu_only_end, self.layout.workers.len());
        let is_recent = |at: Duration| now.saturating_sub(at) <= self.options.headroom_period;
        if !self.last_urgent.is_some_and(is_recent) {
            return [(0, cpu_only), (cpu_only, all)];
        }
        let headroom = (cpu_only * self.options.headroom_permille).div_ceil(1000);
        // In a small fleet, one worker of headroom would be too large a part of the capacity.
        let headroom = if cpu_only < MIN_WORKERS_FOR_HEADROOM {
            0
        } else {
            headroom
        };
        [(0, cpu_only - headroom), (cpu_only, all)]
    }

    /// Finds a worker with enough free capacity for an urgent job: the last one without
    /// accelerators, since patient jobs fill workers from the front, or else the last one with
    /// accelerators.
    pub(super) fn find_urgent_worker(
        &self,
        entry: &Entry,
        need: &Resources,
        now: Duration,
    ) -> Option<InstanceId> {
        if entry.job.group.is_some() {
            return self.find_worker(entry, need, now);
        }
        let (cpu_only, all) = (self.layout.cpu_only_end, self.layout.workers.len());
        let slot = self.last_allowed(cpu_only, entry, need);
        let slot = slot.or_else(|| self.last_allowed(all, entry, need));
        Some(self.layout.workers[slot?].clone())
    }

    /// The last slot before `end` with enough free capacity that the job doesn't avoid.
    fn last_allowed(&self, end: Slot, entry: &Entry, need: &Resources) -> Option<Slot> {
        let mut end = end;
        loop {
            let slot = self.free.last(end, need)?;
            if !self.avoids(entry, slot) {
                return Some(slot);
            }
            end = slot;
        }
    }

    /// The first slot in `from..end` with enough capacity in `index` that the job doesn't avoid.
    pub(super) fn first_allowed(
        &self,
        index: &Index,
        from: Slot,
        end: Slot,
        entry: &Entry,
        need: &Resources,
    ) -> Option<Slot> {
        let mut from = from;
        loop {
            let slot = index.first(from, end, need)?;
            if !self.avoids(entry, slot) {
                return Some(slot);
            }
            from = slot + 1;
        }
    }

    /// Whether the job failed on this worker or, with enough racks, on another one of its rack.
    /// A fault can affect a whole rack; a job retried there could use up its attempts and be
    /// ended although it is not at fault.
    fn avoids(&self, entry: &Entry, slot: Slot) -> bool {
        if entry.failed_on.is_empty() {
            return false;
        }
        let end = self.layout.rack_end[slot];
        entry.failed_on.iter().any(|failed| {
            let Some(machine) = self.machines.get(failed) else {
                return false;
            };
            let is_same_rack = self.layout.rack_end.get(machine.slot) == Some(&end);
            machine.slot == slot || (is_same_rack && self.layout.racks >= MIN_RACKS_TO_AVOID_ONE)
        })
    }

    /// Finds a slot in the zone, and within it the rack, with the fewest attempts of the job's
    /// group, so that the failure of a rack or zone affects few of them.
    fn slot_for_group(&self, entry: &Entry, need: &Resources) -> Option<Slot> {
        let group = entry.job.group.clone()?;
        let counts = self.groups.get(&(entry.job.team.clone(), group));
        let mut best: Option<((u32, u32), Slot)> = None;
        for &(start, end) in &self.layout.zones {
            let mut from = start;
            for _ in 0..MAX_RACKS_TRIED {
                let Some(slot) = self.first_allowed(&self.free, from, end, entry, need) else {
                    break;
                };
                let worker = &self.machines[&self.layout.workers[slot]].worker;
                let count = counts.map_or((0, 0), |counts| {
                    let rack = (worker.zone.clone(), worker.rack.clone());
                    let in_zone = counts.zones.get(&worker.zone).copied().unwrap_or(0);
                    (in_zone, counts.racks.get(&rack).copied().unwrap_or(0))
                });
                if best.is_none_or(|(least, _)| count < least) {
                    best = Some((count, slot));
                }
                from = self.layout.rack_end[slot];
            }
        }
        best.map(|(_, slot)| slot)
    }
}
