//! Polls of endpoints in flight.

use pomelohitch_sched::order::{PollFailure, PollOrder};

use super::{Fleet, POLL_MARGIN, PendingPoll};

impl Fleet {
    pub(super) fn send_poll(&mut self, order: PollOrder) {
        let now = self.now.steady;
        let (end, margin) = match &mut self.link {
            Some(link) => link.send_poll(),
            None => (0.0, POLL_MARGIN),
        };
        self.polls_sent += 1;
        self.polls.push(PendingPoll {
            sent_at: now,
            end,
            arrived_at: None,
            times_out_at: now + order.wait + margin,
            order,
            answer: None,
            is_lost: self.fault_rng.occurs(self.faults.orders_lost),
        });
    }

    pub(super) fn process_polls(&mut self) {
        let mut waiting = Vec::new();
        for mut poll in std::mem::take(&mut self.polls) {
            if !self.process_poll(&mut poll) {
                waiting.push(poll);
            }
        }
        self.polls.extend(waiting);
    }

    /// Processes a poll; returns whether it is finished.
    fn process_poll(&mut self, poll: &mut PendingPoll) -> bool {
        let now = self.now.steady;
        self.deliver_poll(poll);
        let link = self.link.as_ref();
        let has_returned = |end| link.is_none_or(|link| link.has_returned(end));
        if let Some((_, answer)) = poll.answer.take_if(|(end, _)| has_returned(*end)) {
            let answer = answer.map(|mut answer| {
                answer.sent_at = poll.sent_at;
                answer.answered_at = now;
                answer
            });
            self.decide(|cell, _| cell.polled(&poll.order.target, answer));
            return true;
        }
        if now >= poll.times_out_at {
            self.cell
                .polled(&poll.order.target, Err(PollFailure::Failed));
            return true;
        }
        false
    }

    /// Delivers a poll to its endpoint if it has arrived, and has it answered when it is due.
    fn deliver_poll(&mut self, poll: &mut PendingPoll) {
        let now = self.now.steady;
        let order = &poll.order;
        let endpoint = self.endpoints.get_mut(&order.target.id);
        let reachable = endpoint.filter(|e| {
            !poll.is_lost && !e.is_silent && !e.misses_polls && e.report.addr == order.target.addr
        });
        let link = self.link.as_ref();
        let has_arrived = link.is_none_or(|link| link.has_arrived(poll.end));
        let Some(endpoint) = reachable.filter(|_| has_arrived && poll.answer.is_none()) else {
            return;
        };
        // The lease and the acknowledgement take effect when the poll arrives, not when it is
        // answered.
        if poll.arrived_at.is_none() && order.epoch >= endpoint.epoch {
            endpoint.extend_lease(order.lease.unwrap_or_default());
            for task in endpoint.acknowledge(order.noted) {
                self.acknowledged.entry(task).or_insert(now);
            }
        }
        let arrived_at = *poll.arrived_at.get_or_insert(now);
        if !endpoint.ended.is_empty() || now >= arrived_at + order.wait {
            let answer = endpoint.poll(order);
            let listed = answer
                .as_ref()
                .map_or(0, |reply| reply.running.len() + reply.ended.len());
            let end = self
                .link
                .as_mut()
                .map_or(0.0, |link| link.send_answer(listed));
            poll.answer = Some((end, answer));
        }
    }
}
