//! Compares the outcomes that callers saw with the runners' ledgers.

use std::collections::BTreeMap;

use crate::caller::{FinishedCall, Outcome};
use crate::runner::{Ledger, Runs};

/// Numbers of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests that were refused as not run and did not run.
    pub refused: u64,
    /// Requests whose outcome is reported as unknown.
    pub unknown: u64,
    /// Requests that were refused as not run, but ran.
    pub false_not_run: u64,
    /// Requests with an answer that isn't the runner's to this request.
    pub wrong: u64,
    /// Requests with a complete answer though no runner finished them.
    pub lost: u64,
    /// Requests without any answer.
    pub hung: u64,
    /// Non-idempotent requests that were started more than once.
    pub doubled: u64,
    /// Idempotent requests that were started more than once.
    pub repeated: u64,
}

impl Tally {
    /// Counts `calls` against the runners' ledgers.
    #[must_use]
    pub fn count<'a>(
        calls: impl IntoIterator<Item = &'a FinishedCall>,
        ledgers: &[Ledger],
    ) -> Tally {
        let runs = merge(ledgers);
        let mut tally = Tally::default();
        for done in calls {
            let ran = runs.get(&*done.call.id).cloned().unwrap_or_default();
            tally.add(done, &ran);
        }
        tally
    }

    /// Whether no request was lost, doubled, left without an answer, answered wrongly or falsely
    /// refused as not run.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.false_not_run + self.wrong + self.lost + self.hung + self.doubled == 0
    }

    fn add(&mut self, done: &FinishedCall, ran: &Runs) {
        self.sent += 1;
        let counter = match &done.outcome {
            Outcome::Complete if ran.finished == 0 => &mut self.lost,
            Outcome::Complete => &mut self.complete,
            Outcome::NotRun(_) if ran.started > 0 => &mut self.false_not_run,
            Outcome::NotRun(_) => &mut self.refused,
            Outcome::Unknown(_) => &mut self.unknown,
            Outcome::Hung => &mut self.hung,
            Outcome::Wrong(_) => &mut self.wrong,
        };
        *counter += 1;
        if ran.started > 1 {
            let counter = if done.call.idempotent {
                &mut self.repeated
            } else {
                &mut self.doubled
            };
            *counter += 1;
        }
    }
}

/// Sums the runs of each request over all runners.
fn merge(ledgers: &[Ledger]) -> BTreeMap<&str, Runs> {
    let mut all = BTreeMap::<&str, Runs>::new();
    for (id, runs) in ledgers.iter().flat_map(|ledger| &ledger.runs) {
        let sum = all.entry(id).or_default();
        sum.started += runs.started;
        sum.finished += runs.finished;
    }
    all
}
