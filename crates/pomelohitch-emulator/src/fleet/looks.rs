//! Looks on their way to endpoints.

use pomelohitch_sched::order::LookFailure;

use super::{Fleet, LOOK_MARGIN};

impl Fleet {
    pub(super) fn answer_looks(&mut self) {
        let now = self.now.steady;
        let mut waiting = Vec::new();
        for mut look in std::mem::take(&mut self.looks) {
            let order = look.order.clone();
            let waited = now.saturating_sub(look.sent_at);
            let endpoint = self.endpoints.get_mut(&order.target.id);
            let reachable = endpoint
                .filter(|e| !look.is_lost && !e.is_silent && e.report.addr == order.target.addr);
            let Some(endpoint) = reachable else {
                if waited < order.wait + LOOK_MARGIN {
                    waiting.push(look);
                } else {
                    self.cell.looked(&order.target, Err(LookFailure::Failed));
                }
                continue;
            };
            // Lease and acknowledgement count from the arrival of the look.
            if !look.has_arrived && order.epoch >= endpoint.epoch {
                look.has_arrived = true;
                endpoint.lease = endpoint.lease.max(order.lease.unwrap_or_default());
                self.done.extend(endpoint.acknowledge(order.noted));
            }
            if !endpoint.ended.is_empty() || waited >= order.wait {
                let mut answer = endpoint.look(&order);
                if let Ok(answer) = &mut answer {
                    answer.sent_at = look.sent_at;
                    answer.answered_at = now;
                }
                self.decide(|cell, _| cell.looked(&order.target, answer));
            } else {
                waiting.push(look);
            }
        }
        self.looks.extend(waiting);
    }
}
