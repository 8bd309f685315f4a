//! Queries to a queue's placement policy: which endpoints may run a step.
//!
//! The service answers one query at a time, so a step has at most one unanswered query, and few
//! steps have one at the same time: those that come first in the order of the scheduling pass. The
//! others ask once these are answered, if they still wait then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Cell;
use crate::Steady;
use crate::config::AdviceSettings;
use crate::id::{EndpointId, JobId, TaskId};
use crate::job::JobSpec;
use crate::order::Action;
use crate::place::{Allowed, Slot};

/// Maximum number of unanswered queries: one that the service handles and the next one, which it would
/// else wait for.
const MAX_OPEN_QUERIES: usize = 2;
/// The same for steps that find no room now, so that they don't delay others.
const MAX_OPEN_QUERIES_WITHOUT_ROOM: usize = 1;
/// A query that failed is repeated after this time.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How much longer than the queue's settings say a query may take.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Maximum number of endpoints in a query. Each one delays the answer, and a step needs only a few.
const MAX_ENDPOINTS: usize = 30;

/// What the policy has said about an endpoint, for one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Verdict {
    born: u64,
    /// The ticket; `None` if the endpoint may not run the step, which doesn't change.
    ticket: Option<Box<str>>,
}

/// The policy's answers about a step.
#[derive(Debug, Clone, Default)]
pub struct Advice {
    /// Endpoints of the last query, with their incarnations.
    asked: Vec<(EndpointId, u64)>,
    verdicts: BTreeMap<EndpointId, Verdict>,
    /// End of the validity of all tickets.
    valid_until: Steady,
    /// After a failed query, the time of the next one.
    retry_at: Steady,
}

impl Advice {
    /// What is known about an incarnation of an endpoint.
    fn verdict(&self, endpoint: &EndpointId, born: u64) -> Option<&Verdict> {
        self.verdicts.get(endpoint).filter(|v| v.born == born)
    }

    /// Applies the answer to the last query. Other tickets were issued for a shorter time.
    fn answer(&mut self, mut tickets: BTreeMap<EndpointId, Box<str>>, valid_until: Steady) {
        self.verdicts.retain(|_, v| v.ticket.is_none());
        for (id, born) in std::mem::take(&mut self.asked) {
            let ticket = tickets.remove(&id);
            self.verdicts.insert(id, Verdict { born, ticket });
        }
        self.valid_until = valid_until;
    }
}

impl Cell {
    /// The endpoints that may run a step: all if the queue has no policy, else those for which the
    /// policy has issued valid tickets. `None` while its answer is awaited.
    pub(super) fn allowed_endpoints(
        &mut self,
        spec: &JobSpec,
        first: TaskId,
        slots: &[Slot],
    ) -> Option<Allowed> {
        let Some(settings) = self.terms(spec).advice else {
            return Some(Allowed::All);
        };
        let with_ticket = self.with_ticket(first, slots);
        if !with_ticket.is_empty() {
            return Some(Allowed::Only(with_ticket));
        }
        let step = &spec.steps[usize::from(first.step)];
        let has_room = slots.iter().any(|slot| slot.may_take(step, 0));
        if self.may_query(first, has_room) && self.is_within_limit(spec, &step.need) {
            self.query(first, &settings, slots);
        }
        None
    }

    /// The endpoints of `slots` for which the policy has issued valid tickets.
    fn with_ticket(&self, step: TaskId, slots: &[Slot]) -> BTreeSet<EndpointId> {
        let advice = self.advice.get(&step);
        let Some(advice) = advice.filter(|a| self.now.steady < a.valid_until) else {
            return BTreeSet::new();
        };
        let has_ticket = |id: &&EndpointId| {
            let verdict = advice.verdict(id, self.born(id));
            verdict.is_some_and(|v| v.ticket.is_some())
        };
        let ids = slots.iter().map(|slot| &slot.id);
        ids.filter(has_ticket).cloned().collect()
    }

    fn born(&self, endpoint: &EndpointId) -> u64 {
        self.endpoints.get(endpoint).map_or(0, |e| e.born)
    }

    /// Whether the policy may be asked about a step now.
    fn may_query(&self, step: TaskId, has_room: bool) -> bool {
        let max_open = if has_room {
            MAX_OPEN_QUERIES
        } else {
            MAX_OPEN_QUERIES_WITHOUT_ROOM
        };
        let retry_at = self.advice.get(&step).map_or(Steady::ZERO, |a| a.retry_at);
        self.open_queries.len() < max_open
            && !self.open_queries.contains(&step)
            && self.now.steady >= retry_at
    }

    /// Asks the policy about a step, unless it has said of all endpoints that they may not run it.
    fn query(&mut self, step: TaskId, settings: &AdviceSettings, slots: &[Slot]) {
        let advice = self.advice.get(&step);
        let may_run = |slot: &&Slot| {
            let verdict = advice.and_then(|a| a.verdict(&slot.id, self.born(&slot.id)));
            verdict.is_none_or(|v| v.ticket.is_some())
        };
        let mut asked: Vec<&Slot> = slots.iter().filter(may_run).collect();
        asked.sort_by_key(|slot| std::cmp::Reverse(slot.free.cpu));
        asked.truncate(MAX_ENDPOINTS);
        let asked = asked.into_iter().map(|slot| slot.id.clone());
        let asked: Vec<_> = asked.map(|id| (id.clone(), self.born(&id))).collect();
        if asked.is_empty() {
            return;
        }
        let endpoints: Vec<_> = asked.iter().map(|(id, _)| id.clone()).collect();
        let timeout = settings.latency(endpoints.len()) + TIMEOUT_MARGIN;
        self.advice.entry(step).or_default().asked = asked;
        self.open_queries.insert(step);
        self.outbox.push(Action::Advise {
            step,
            endpoints,
            timeout,
        });
    }

    /// The ticket for starting tasks of a step on an endpoint, if the policy issued one.
    pub(super) fn ticket(&self, first: TaskId, endpoint: &EndpointId) -> Option<Box<str>> {
        let first = TaskId { index: 0, ..first };
        self.advice
            .get(&first)?
            .verdicts
            .get(endpoint)?
            .ticket
            .clone()
    }

    /// Handles that an endpoint has rejected the ticket of a step.
    pub(super) fn ticket_rejected(&mut self, task: TaskId) {
        if let Some(advice) = self.advice.get_mut(&TaskId { index: 0, ..task }) {
            advice.valid_until = Steady::ZERO;
        }
    }

    /// Handles the policy's answer about a step: tickets by endpoint, and their validity from now.
    pub fn policy_answered(
        &mut self,
        step: TaskId,
        tickets: Vec<(EndpointId, Box<str>)>,
        valid: Duration,
    ) {
        self.open_queries.remove(&step);
        let valid_until = self.now.steady + valid;
        if let Some(advice) = self.advice.get_mut(&step) {
            advice.answer(tickets.into_iter().collect(), valid_until);
        }
    }

    /// Handles that the policy hasn't answered a query about a step.
    pub fn policy_failed(&mut self, step: TaskId) {
        self.open_queries.remove(&step);
        let retry_at = self.now.steady + RETRY_DELAY;
        if let Some(advice) = self.advice.get_mut(&step) {
            advice.retry_at = retry_at;
        }
    }

    /// Forgets what the policy has said about steps of a job that have no tasks left to start.
    pub(super) fn forget_advice(&mut self, id: JobId) {
        let job = self.jobs.get(&id);
        let open = job.filter(|j| !j.progress.state.is_final());
        let is_open = |step: &TaskId| {
            let occurrence = open.and_then(|j| j.progress.open.get(&step.occurrence));
            occurrence.is_some_and(|o| !o.is_step_done(step.step))
        };
        let of_job = TaskId {
            job: id,
            ..TaskId::FIRST
        }..;
        let steps = self.advice.range(of_job).map(|(step, _)| *step);
        let steps = steps.take_while(|step| step.job == id);
        let over: Vec<_> = steps.filter(|step| !is_open(step)).collect();
        for step in over {
            self.advice.remove(&step);
        }
    }
}
