//! Batches whose records aren't durable yet, in the order of their decisions.

use std::collections::VecDeque;

use pomelohitch_sched::cell::Batch;

use super::journal::Sequence;

/// Batches that wait for their appends.
///
/// The actions of a batch may depend on the records of any earlier batch: a caller that submits its
/// job a second time is answered that it is accepted, which holds only once the record of the first
/// submission is durable.
#[derive(Debug, Default)]
pub struct InFlight {
    /// Each batch with the last append that it waits for. A confirmation of the leadership has no
    /// batch.
    batches: VecDeque<(Sequence, Option<Batch>)>,
}

impl InFlight {
    /// Adds a batch whose records are in the appends up to `last`, or `None` for a confirmation.
    pub fn push(&mut self, last: Sequence, batch: Option<Batch>) {
        self.batches.push_back((last, batch));
    }

    /// Adds a batch without records, which waits for the newest append; returns it if no append is
    /// in flight.
    #[must_use]
    pub fn push_without_records(&mut self, batch: Batch) -> Option<Batch> {
        let Some(&(last, _)) = self.batches.back() else {
            return Some(batch);
        };
        self.batches.push_back((last, Some(batch)));
        None
    }

    /// Removes and returns, in order, the batches that are durable once all appends up to
    /// `sequence` are.
    pub fn take_durable(&mut self, sequence: Sequence) -> Vec<Batch> {
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

    /// Number of batches with records and of confirmations in flight. A batch whose records are
    /// split into several appends counts once.
    #[must_use]
    pub fn append_count(&self) -> usize {
        let last_sequences = self.batches.iter().map(|(last, _)| last);
        let earlier = std::iter::once(None).chain(last_sequences.clone().map(Some));
        last_sequences
            .zip(earlier)
            .filter(|(last, before)| Some(*last) != *before)
            .count()
    }
}
