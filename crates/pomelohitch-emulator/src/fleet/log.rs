//! Appends of batches to the log.

use super::{APPEND_GAP, Fleet};

impl Fleet {
    pub(super) fn advance_log(&mut self) {
        if !self.is_log_up {
            return;
        }
        let now = self.now.steady;
        while let Some((_, batch)) = self.pending.pop_front_if(|(due, _)| *due <= now) {
            for record in &batch.records {
                match &record.value {
                    Some(value) => self.log.insert(record.key.clone(), value.clone()),
                    None => self.log.remove(&record.key),
                };
            }
            let actions = self.decide(|cell, _| cell.committed(batch));
            self.execute_actions(actions);
        }
        let has_append_in_flight = !self.pending.is_empty();
        let is_within_gap = has_append_in_flight && now < self.last_append_at + APPEND_GAP;
        if is_within_gap || self.pending.len() >= self.appends_at_once {
            return;
        }
        let batch = self.decide(|cell, _| cell.take_batch());
        if let Some(batch) = batch.expect("records are encodable") {
            self.last_append_at = now;
            self.pending.push_back((now + self.log_delay, batch));
        }
    }
}
