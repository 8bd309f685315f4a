//! Endpoint lifecycle: entries in the platform's list, restarts, and removal.

use std::collections::BTreeSet;
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use super::losses::millis;
use crate::Steady;
use crate::endpoint::{self, Endpoint, Report};
use crate::id::{EndpointId, RunNumber, TaskId};
use crate::loss::LossCause;
use crate::progress::{Phase, Run};
use crate::unanswered::{self, Start};

impl Cell {
    /// Handles a new or changed entry of the platform's list of endpoints.
    pub fn endpoint_listed(&mut self, report: Report) {
        let id = report.id.clone();
        let endpoint = self
            .endpoints
            .entry(id.clone())
            .or_insert_with(|| Endpoint::new(report.born));
        if report.born < endpoint.born {
            return;
        }
        let has_restarted = report.born > endpoint.born;
        let was_draining = endpoint.report.as_ref().is_some_and(|r| r.is_draining);
        if report.is_draining && !was_draining {
            info!(endpoint = %id, "endpoint is draining");
        }
        let is_new = !endpoint.is_listed;
        if is_new {
            info!(endpoint = %id, service = %report.service, born = report.born, "endpoint listed");
        }
        if let Some(before) = endpoint.report.as_ref().map(|r| r.capacity)
            && before != report.capacity
            && !has_restarted
        {
            info!(endpoint = %id, ?before, capacity = ?report.capacity, used = ?endpoint.used,
                "endpoint resized");
        }
        let born = report.born;
        endpoint.is_listed = true;
        endpoint.report = Some(report);
        if has_restarted {
            self.ended_endpoints.push(id.clone());
            self.endpoint_restarted(&id, born);
        }
        if has_restarted || is_new {
            self.reject_unanswered(&id);
        }
    }

    /// Handles that all endpoint entries which existed at `as_of` were read.
    pub fn endpoints_read(&mut self, as_of: Steady) {
        self.endpoints_as_of = self.endpoints_as_of.max(as_of);
    }

    /// Handles that all operator requests which were written by `as_of` were read.
    pub fn operators_read(&mut self, as_of: Steady) {
        self.operators_as_of = self.operators_as_of.max(as_of);
    }

    /// Whether endpoint entries and operator requests are current. They aren't after an outage of
    /// the store, or after this process was suspended.
    pub(super) fn has_current_entries(&self) -> bool {
        let as_of = self.endpoints_as_of.min(self.operators_as_of);
        self.now.steady.saturating_sub(as_of) <= self.settings.max_entry_age
    }

    /// Updates and logs whether starts are held back because endpoint entries or operator requests
    /// aren't current.
    pub(super) fn update_held_back(&mut self) {
        let now = self.now.steady;
        let is_held_back = !self.has_current_entries();
        if is_held_back == self.held_back_since.is_some() {
            return;
        }
        let since = self.held_back_since.take().unwrap_or(now);
        self.held_back_since = is_held_back.then_some(now);
        let age = |as_of| self.now.steady.saturating_sub(as_of).as_millis();
        let (endpoints_ms, operators_ms) = (age(self.endpoints_as_of), age(self.operators_as_of));
        if is_held_back {
            warn!(
                endpoints_ms,
                operators_ms,
                "starts held back: endpoint entries or operator requests are outdated"
            );
        } else {
            let held_ms = now.saturating_sub(since).as_millis();
            info!(held_ms, "starts resumed");
        }
    }

    /// Handles the removal of an endpoint from the platform's list.
    pub fn endpoint_unlisted(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.is_listed
        {
            endpoint.is_listed = false;
            warn!(endpoint = %id, runs = endpoint.runs.len(), "endpoint unlisted");
        }
    }

    /// The ids of all endpoints in the platform's list as last read.
    #[must_use]
    pub fn listed(&self) -> BTreeSet<EndpointId> {
        let listed = self.all_endpoints().filter(|(_, e)| e.is_listed);
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Handles the restart of an endpoint, whose new incarnation `born` knows nothing of the
    /// former.
    ///
    /// Runs that the former incarnation has listed are lost with it. The start of any other run may
    /// have reached the new incarnation, or may still do so; these are kept until a poll shows which
    /// of them exist.
    pub(super) fn endpoint_restarted(&mut self, id: &EndpointId, born: u64) {
        let losses = self.losses_at(id, self.end_cause(id), "its endpoint restarted");
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        warn!(endpoint = %id, born, before = endpoint.born, runs = endpoint.runs.len(),
            "endpoint restarted");
        let mut restarted = Endpoint::new(born);
        restarted.restarted_at = Some(self.now.steady);
        restarted.report = endpoint.report.take();
        restarted.is_listed = endpoint.is_listed;
        restarted.runs = std::mem::take(&mut endpoint.runs);
        restarted.used = endpoint.used;
        restarted.work = endpoint.work;
        restarted.lasting_runs = endpoint.lasting_runs;
        restarted.poll = endpoint.poll;
        *endpoint = restarted;
        for (task, run, loss) in losses {
            let Some(r) = self.run_mut(task, run) else {
                continue;
            };
            if r.view.seen_at.is_some() {
                self.run_lost(task, run, loss);
                continue;
            }
            r.born = born;
            r.view.loss.get_or_insert(loss);
            info!(%task, run, endpoint = %id, born, phase = ?r.view.phase,
                void_after_ms = r.view.void_after.map(|t| t.as_millis()),
                "run kept over endpoint restart");
            r.view.endpoint_restarted();
        }
        self.poll_soon(id);
    }

    /// Removes an endpoint that has certainly ended, since its instance was taken down, runs another
    /// endpoint or is missing from the list. Its runs are lost.
    pub(super) fn endpoint_gone(&mut self, id: &EndpointId, why: &'static str) {
        let cause = self.end_cause(id);
        let losses = self.losses_at(id, cause, why);
        let Some(endpoint) = self.remove_endpoint(id) else {
            return;
        };
        self.log_gone(id, &endpoint, cause, why, 0);
        for (task, run, loss) in losses {
            self.remember_unanswered(task, run, 0);
            self.run_lost(task, run, loss);
        }
    }

    /// Handles that no instance runs an endpoint, which may be back under its id. Its runs are lost,
    /// except for starts that its next incarnation may still carry out: these are held for a while,
    /// and the endpoint with them.
    pub(super) fn endpoint_absent(&mut self, id: &EndpointId, why: &'static str) {
        let cause = self.end_cause(id);
        let losses = self.losses_at(id, cause, why);
        let (held, lost): (Vec<_>, Vec<_>) = losses
            .into_iter()
            .partition(|&(task, run, _)| self.is_start_held(task, run));
        if held.is_empty() {
            self.endpoint_gone(id, why);
            return;
        }
        let now = self.now.steady;
        if let Some(endpoint) = self.endpoints.get(id) {
            self.log_gone(id, endpoint, cause, why, held.len());
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.gone_since = Some(now);
            endpoint.poll.expedite(now);
            self.ended_endpoints.push(id.clone());
        }
        for (task, run, loss) in held {
            if let Some(r) = self.run_mut(task, run) {
                r.view.loss.get_or_insert(loss);
            }
        }
        for (task, run, loss) in lost {
            self.remember_unanswered(task, run, 0);
            self.run_lost(task, run, loss);
        }
    }

    fn log_gone(
        &self,
        id: &EndpointId,
        endpoint: &Endpoint,
        cause: LossCause,
        why: &'static str,
        held: usize,
    ) {
        let answers = self.answers_of(endpoint);
        warn!(endpoint = %id, born = endpoint.born, runs = endpoint.runs.len(), held, ?cause, why,
            failures = endpoint.poll.failures, polled_ms = answers.polled.map(millis),
            answered_ms = answers.answered.map(millis), clock_ms = answers.clock.map(millis),
            lease_end_ms = millis(answers.lease_end),
            listed_ms = self.age(self.instances.listed_at()).map(millis), "endpoint gone");
    }

    /// Whether a start was sent so recently, and not answered, that its task waits for what becomes of
    /// it. Starts that a former leader has recorded may have been sent until this one took over.
    fn is_start_held(&self, task: TaskId, run: RunNumber) -> bool {
        let Some(r) = self.run(task, run) else {
            return false;
        };
        let hold = self.start_hold(task, r);
        let is_recent = |at: Steady| self.now.steady <= at + hold;
        self.undecided_since(r).is_some_and(is_recent)
    }

    /// How long after its start was sent the task of a run isn't started elsewhere.
    pub(super) fn start_hold(&self, task: TaskId, run: &Run) -> Duration {
        let is_lasting = self.step(task).is_some_and(|s| s.is_lasting);
        unanswered::hold(is_lasting, run.view.phase == Phase::Recorded)
    }

    /// Updates which tasks wait for what becomes of a start that was given up.
    pub(super) fn update_held_tasks(&mut self) {
        let endpoints = &self.endpoints;
        let is_up = |id: &EndpointId, born| {
            let endpoint = endpoints.get(id).filter(|e| e.born == born);
            endpoint.is_some_and(|e| {
                e.gone_since.is_none() && e.poll.failures == 0 && !e.is_unresponsive
            })
        };
        let held = self.unanswered.update_held(self.now.steady, is_up);
        for (endpoint, start) in held {
            let Start {
                task,
                run,
                rejected_by,
                ..
            } = start;
            let t = self.jobs.get(&task.job).and_then(|j| j.progress.task(task));
            if !t.is_some_and(|t| !t.is_done && t.runs.is_empty()) {
                continue;
            }
            info!(%task, run, %endpoint, rejected_by,
                "task held: the incarnation that rejected its start may have ended");
        }
    }

    /// When a start was sent, at the latest, of which isn't known whether it was carried out; `None` if
    /// that is known, or if it wasn't sent.
    pub(super) fn undecided_since(&self, run: &Run) -> Option<Steady> {
        match run.view.phase {
            Phase::Recorded => Some(self.leader_since),
            Phase::Ordered | Phase::Unanswered => run.view.sent_at,
            Phase::Taken { .. } => None,
        }
    }

    /// Gives up the held starts whose time has passed, and removes their endpoints once these can't
    /// carry out any start: until then they are polled, so that they reject it when they are back.
    pub(super) fn release_held_starts(&mut self) {
        let gone: Vec<_> = self
            .all_endpoints()
            .filter(|(_, e)| e.gone_since.is_some())
            .map(|(id, e)| (id.clone(), e.runs.keys().copied().collect::<Vec<_>>()))
            .collect();
        for (id, runs) in gone {
            let due = runs
                .into_iter()
                .filter(|&(task, run)| !self.is_start_held(task, run));
            for (task, run) in due.collect::<Vec<_>>() {
                self.remember_unanswered(task, run, 0);
                self.run_missing(task, run, LossCause::Crash, "its endpoint is still gone");
            }
            let is_empty = self.endpoints.get(&id).is_some_and(|e| e.runs.is_empty());
            if is_empty && !self.unanswered.has(&id) {
                self.remove_endpoint(&id);
            }
        }
    }

    /// Gives up the runs of silent endpoints whose leases have certainly expired, and drops those of
    /// these endpoints that aren't listed. Starts that their next incarnations may still carry out are
    /// held.
    pub(super) fn release_expired_leases(&mut self) {
        let now = self.now.steady;
        let longest = endpoint::lease_expiry(self.settings.max_lease);
        let unread_until = self
            .formers_bounded_at
            .map(|at| at + self.settings.former_lease_expiry.max(longest));
        let max_silence = self.settings.max_silence;
        // Orders to the former incarnation grant leases to the new one when they arrive there.
        let known_for = unanswered::MAX_ORDER_DELAY + longest;
        let lapsed: Vec<_> = self
            .all_endpoints()
            .filter(|(_, e)| {
                !e.is_polled_within(now, max_silence)
                    && e.is_known_for(now, known_for)
                    && e.is_later_lapsed(now)
                    && e.is_lapsed(now, unread_until)
            })
            .map(|(id, e)| (id.clone(), e.is_listed))
            .collect();
        for (id, is_listed) in lapsed {
            for (task, run, loss) in
                self.losses_at(&id, LossCause::Silence, "its endpoint's lease has expired")
            {
                if self.is_start_held(task, run) {
                    continue;
                }
                self.remember_unanswered(task, run, loss.born);
                self.run_lost(task, run, loss);
            }
            let is_empty = self.endpoints.get(&id).is_some_and(|e| e.runs.is_empty());
            if !is_listed && is_empty {
                self.remove_endpoint(&id);
            }
        }
    }

    fn remove_endpoint(&mut self, id: &EndpointId) -> Option<Endpoint> {
        let removed = self.endpoints.remove(id);
        if removed.is_some() {
            self.ended_endpoints.push(id.clone());
        }
        removed
    }

    /// The endpoints that were removed or are gone, or whose entries showed a restart, since the last
    /// call. Calls to them that are in flight are for a process that has ended.
    pub fn take_ended_endpoints(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.ended_endpoints)
    }
}
