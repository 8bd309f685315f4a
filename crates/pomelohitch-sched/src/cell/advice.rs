//! Which endpoints the policy allows for a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Cell;
use crate::Steady;
use crate::id::{EndpointId, TaskId};
use crate::job::JobSpec;
use crate::order::Action;
use crate::place::{Allowed, Slot};

/// A question to the policy that wasn't answered is asked again after this.
const ADVICE_RETRY: Duration = Duration::from_millis(500);
/// Endpoints asked about at once: each makes the answer later, and a step needs only a few.
const ADVICE_ENDPOINTS: usize = 30;

/// What the policy said about a step.
#[derive(Debug, Clone, Default)]
pub struct Advice {
    asked_at: Steady,
    tickets: BTreeMap<EndpointId, (u64, Box<str>)>,
    valid_until: Steady,
}

impl Cell {
    /// The endpoints that may run a step: all, or those that the policy gave tickets for. `None`
    /// while its answer is awaited.
    pub(super) fn advised(
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
            let is_good = |slot: &&Slot| {
                let born = self.endpoints.get(&slot.id).map(|e| e.born);
                let ticket = advice.tickets.get(&slot.id);
                ticket.is_some_and(|t| Some(t.0) == born)
            };
            let good = slots.iter().filter(is_good).map(|slot| slot.id.clone());
            let good: BTreeSet<EndpointId> = good.collect();
            if !good.is_empty() {
                return Some(Allowed::Only(good));
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

    pub(super) fn ticket(&self, first: TaskId, endpoint: &EndpointId) -> Option<Box<str>> {
        let first = TaskId { index: 0, ..first };
        let (_, ticket) = self.advice.get(&first)?.tickets.get(endpoint)?;
        Some(ticket.clone())
    }

    /// Takes in what the policy said of a step: tickets, and how long they are valid.
    pub fn advised_of(
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
