//! Polls of endpoints in flight.

use pomelohitch_sched::order::{PollFailure, PollOrder};

use super::{Fleet, LOOK_MARGIN, WaitingLook};

impl Fleet {
    pub(super) fn send_look(&mut self, order: PollOrder) {
        let now = self.now.steady;
        let (end, margin) = match &mut self.link {
            Some(link) => link.look(),
            None => (0.0, LOOK_MARGIN),
        };
        self.looks_sent += 1;
        self.looks.push(WaitingLook {
            sent_at: now,
            end,
            arrived_at: None,
            gives_up_at: now + order.wait + margin,
            order,
            answer: None,
            is_lost: self.luck.strikes(self.faults.orders_lost),
        });
    }

    pub(super) fn answer_looks(&mut self) {
        let mut waiting = Vec::new();
        for mut look in std::mem::take(&mut self.looks) {
            if !self.serve_look(&mut look) {
                waiting.push(look);
            }
        }
        self.looks.extend(waiting);
    }

    /// Processes a poll; returns whether it is finished.
    fn serve_look(&mut self, look: &mut WaitingLook) -> bool {
        let now = self.now.steady;
        self.reach_endpoint(look);
        let link = self.link.as_ref();
        let is_back = |end| link.is_none_or(|link| link.has_come_back(end));
        if let Some((_, answer)) = look.answer.take_if(|(end, _)| is_back(*end)) {
            let answer = answer.map(|mut answer| {
                answer.sent_at = look.sent_at;
                answer.answered_at = now;
                answer
            });
            self.decide(|cell, _| cell.polled(&look.order.target, answer));
            return true;
        }
        if now >= look.gives_up_at {
            self.cell
                .polled(&look.order.target, Err(PollFailure::Failed));
            return true;
        }
        false
    }

    /// Delivers a poll to its endpoint if it has arrived, and has it answered when it is due.
    fn reach_endpoint(&mut self, look: &mut WaitingLook) {
        let now = self.now.steady;
        let order = &look.order;
        let endpoint = self.endpoints.get_mut(&order.target.id);
        let reachable = endpoint
            .filter(|e| !look.is_lost && !e.is_silent && e.report.addr == order.target.addr);
        let link = self.link.as_ref();
        let has_arrived = link.is_none_or(|link| link.has_arrived(look.end));
        let Some(endpoint) = reachable.filter(|_| has_arrived && look.answer.is_none()) else {
            return;
        };
        // The lease and the acknowledgement take effect when the poll arrives, not when it is
        // answered.
        if look.arrived_at.is_none() && order.epoch >= endpoint.epoch {
            endpoint.lease = endpoint.lease.max(order.lease.unwrap_or_default());
            self.done.extend(endpoint.acknowledge(order.noted));
        }
        let arrived_at = *look.arrived_at.get_or_insert(now);
        if !endpoint.ended.is_empty() || now >= arrived_at + order.wait {
            let answer = endpoint.look(order);
            let listed = answer
                .as_ref()
                .map_or(0, |l| l.running.len() + l.ended.len());
            let end = self.link.as_mut().map_or(0.0, |link| link.answer(listed));
            look.answer = Some((end, answer));
        }
    }
}
