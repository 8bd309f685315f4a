//! Placement of urgent jobs: before patient jobs, preempting patient tasks where needed.

use std::collections::BTreeSet;

use super::{
    Decision, Duration, JobId, Planner, Resources, Team, TeamId, UnmetNeeds, dominant_share,
};

impl Planner {
    pub(super) fn place_urgent(&mut self, now: Duration, decision: &mut Decision) {
        let mut order: BTreeSet<(u64, TeamId)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.urgent.is_empty())
            .map(|(id, team)| (dominant_share(&team.urgent_used, &self.total), id.clone()))
            .collect();
        if !order.is_empty() {
            self.last_urgent = Some(now);
        }
        let mut unmet = UnmetNeeds::default();
        while let Some((_, team)) = order.pop_first() {
            if decision.place.len() >= self.options.max_placements {
                self.has_changed = true;
                return;
            }
            if self.place_first_urgent(&team, now, &mut unmet, decision) {
                let used = dominant_share(&self.teams[&team].urgent_used, &self.total);
                order.insert((used, team));
            }
        }
    }

    /// Places the team's next urgent job, or preempts patient tasks for it. Returns whether the
    /// team may have further jobs to place in this pass.
    fn place_first_urgent(
        &mut self,
        team: &TeamId,
        now: Duration,
        unmet: &mut UnmetNeeds,
        decision: &mut Decision,
    ) -> bool {
        for id in self.next_urgent(team) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let entry = job.entry.clone();
            let need = self.need(&entry);
            if self.mark_if_unschedulable(&id, &need, now) {
                return true;
            }
            if let Some(worker) = self.find_urgent_worker(&entry, &need, now) {
                self.place(&id, &worker, need, now, decision);
                return true;
            }
            if unmet.rules_out(&need) {
                continue;
            }
            if self.preempt_for_urgent(&id, &need, now, decision) {
                return true;
            }
            // A team beyond its fair share may preempt fewer tasks, so a failure there doesn't rule
            // out the need for other teams.
            if self.may_preempt_others(team, &need) {
                unmet.add(need);
            }
        }
        false
    }

    /// The team's next urgent jobs without a reservation, one of each class; none if the team is
    /// at its limit.
    fn next_urgent(&self, team: &TeamId) -> Vec<JobId> {
        let account = &self.teams[team];
        if account.active + account.reservation_count >= account.limit {
            return Vec::new();
        }
        let next = account
            .urgent
            .first_of_each_class(|id| self.reservations.contains_key(id));
        next.take(self.options.lookahead).cloned().collect()
    }

    /// Whether urgent jobs of `team` may preempt patient tasks of any team: only while its urgent
    /// jobs with `need` stay within the team's fair share. Beyond that they preempt only tasks of
    /// the team itself and of teams with a higher weighted share. Without this limit, a team that
    /// marks all of its jobs as urgent would get the whole fleet.
    pub(super) fn may_preempt_others(&self, team: &str, need: &Resources) -> bool {
        let account = &self.teams[team];
        dominant_share(&account.urgent_used.plus(need), &self.total) <= self.fair_share(account)
    }

    /// The team's share of the fleet by weight, in billionths, among the teams with active or
    /// queued jobs.
    pub(super) fn fair_share(&self, account: &Team) -> u64 {
        let shares = self
            .teams
            .values()
            .filter(|team| team.active > 0 || !team.urgent.is_empty() || !team.patient.is_empty());
        let all: u64 = shares.map(|team| u64::from(team.share.max(1))).sum();
        super::fraction_ppb(u64::from(account.share.max(1)), all)
    }
}
