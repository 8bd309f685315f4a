//! Queries to a queue's placement policy: which endpoints may run a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Cell;
use crate::Steady;
use crate::id::{EndpointId, TaskId};
use crate::job::JobSpec;
use crate::order::Action;
use crate::place::{Allowed, Slot};

/// A query that the policy hasn't answered is repeated after this time.
const ADVICE_RETRY: Duration = Duration::from_millis(500);
/// Maximum number of endpoints in a query. Each one delays the answer, and a step needs only a few.
const ADVICE_ENDPOINTS: usize = 30;

/// The policy's answer about a step, or a query that isn't answered yet.
#[derive(Debug, Clone, Default)]
pub struct Advice {
    /// Time of the last query or answer; zero before the first query.
    asked_at: Steady,
    /// Tickets by endpoint, with the incarnation they were issued for.
    tickets: BTreeMap<EndpointId, (u64, Box<str>)>,
    valid_until: Steady,
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
        let queue = self.queue(&spec.queue);
        if queue.is_none_or(|q| q.advice.is_none()) {
            return Some(Allowed::All);
        }
        let now = self.now.steady;
        let advice = self.advice.entry(first).or_default();
        if now < advice.valid_until {
            let has_ticket = |slot: &&Slot| {
                let born = self.endpoints.get(&slot.id).map(|e| e.born);
                let ticket = advice.tickets.get(&slot.id);
                ticket.is_some_and(|t| Some(t.0) == born)
            };
            let with_ticket = slots.iter().filter(has_ticket).map(|slot| slot.id.clone());
            let with_ticket: BTreeSet<EndpointId> = with_ticket.collect();
            if !with_ticket.is_empty() {
                return Some(Allowed::Only(with_ticket));
            }
        }
        let is_asked = advice.asked_at > Steady::ZERO;
        if !is_asked || now >= advice.asked_at + ADVICE_RETRY {
            advice.asked_at = now;
            let mut asked: Vec<&Slot> = slots.iter().collect();
            asked.sort_by_key(|slot| std::cmp::Reverse(slot.free.cpu));
            asked.truncate(ADVICE_ENDPOINTS);
            self.outbox.push(Action::Advise {
                step: first,
                endpoints: asked.into_iter().map(|slot| slot.id.clone()).collect(),
            });
        }
        None
    }

    /// The ticket for starting tasks of a step on an endpoint, if the policy issued one.
    pub(super) fn ticket(&self, first: TaskId, endpoint: &EndpointId) -> Option<Box<str>> {
        let first = TaskId { index: 0, ..first };
        let (_, ticket) = self.advice.get(&first)?.tickets.get(endpoint)?;
        Some(ticket.clone())
    }

    /// Handles the policy's answer about a step: tickets by endpoint, and their validity from now.
    pub fn policy_answered(
        &mut self,
        step: TaskId,
        tickets: Vec<(EndpointId, Box<str>)>,
        valid: Duration,
    ) {
        let born = |id: &EndpointId| self.endpoints.get(id).map_or(0, |e| e.born);
        let tickets = tickets
            .into_iter()
            .map(|(id, t)| {
                let born = born(&id);
                (id, (born, t))
            })
            .collect();
        let now = self.now.steady;
        self.advice.insert(
            step,
            Advice {
                asked_at: now,
                tickets,
                valid_until: now + valid,
            },
        );
    }
}
