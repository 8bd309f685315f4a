//! Batches whose records aren't durable yet, in the order in which they were decided.

use std::collections::VecDeque;

use pomelohitch_sched::cell::Batch;

use super::journal::Sequence;

/// Batches that wait for appends.
///
/// The actions of a batch may rest on records of any batch before it: a caller that hands in its job
/// a second time is told that it is accepted, which is true once the record of the first time is
/// durable.
#[derive(Debug, Default)]
pub struct InFlight {
    /// Each with the last append that it waits for; a confirmation of the leadership has no batch.
    batches: VecDeque<(Sequence, Option<Batch>)>,
}

impl InFlight {
    /// Adds a batch, or none, whose records went out up to the append `last`.
    pub fn append(&mut self, last: Sequence, batch: Option<Batch>) {
        self.batches.push_back((last, batch));
    }

    /// Adds a batch without records behind the newest append; returns it if none is in flight.
    #[must_use]
    pub fn follow(&mut self, batch: Batch) -> Option<Batch> {
        let Some(&(last, _)) = self.batches.back() else {
            return Some(batch);
        };
        self.batches.push_back((last, Some(batch)));
        None
    }

    /// Takes out the batches that are durable with all appends up to `sequence`, in order.
    pub fn committed(&mut self, sequence: Sequence) -> Vec<Batch> {
        let mut durable = Vec::new();
        while let Some((_, batch)) = self.batches.pop_front_if(|(last, _)| *last <= sequence) {
            durable.extend(batch);
        }
        durable
    }

    /// Whether no append is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// How many batches with records, or confirmations, are in flight.
    #[must_use]
    pub fn appends(&self) -> usize {
        let lasts = self.batches.iter().map(|(last, _)| last);
        let earlier = std::iter::once(None).chain(lasts.clone().map(Some));
        lasts
            .zip(earlier)
            .filter(|(last, before)| Some(*last) != *before)
            .count()
    }
}
