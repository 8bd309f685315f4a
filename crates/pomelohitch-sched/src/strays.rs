//! Stray runs: runs that endpoints list although they were given up.
//!
//! An endpoint lists a stray run in each answer until its stop has taken effect, so each one is
//! reported once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Steady;
use crate::id::{EndpointId, RunNumber, TaskId};

/// A run that wasn't listed for this long counts as another stray run if it is listed again.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Number of stray runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StrayCounts {
    /// Those whose task had no other run.
    pub alone: u64,
    /// Those whose task had another run, at the same time as far as the leader knew.
    pub beside_another: u64,
}

/// The stray runs that are listed now or were recently.
#[derive(Debug, Clone, Default)]
pub struct Strays {
    listed_at: BTreeMap<(EndpointId, TaskId, RunNumber), Steady>,
    counts: StrayCounts,
}

impl Strays {
    /// Records that an endpoint has listed a stray run, whose task has another run or not. Returns
    /// whether it is new.
    pub fn listed(
        &mut self,
        run: (EndpointId, TaskId, RunNumber),
        has_other: bool,
        now: Steady,
    ) -> bool {
        if self.listed_at.insert(run, now).is_some() {
            return false;
        }
        let count = if has_other {
            &mut self.counts.beside_another
        } else {
            &mut self.counts.alone
        };
        *count += 1;
        true
    }

    /// Forgets those that weren't listed for a while.
    pub fn prune(&mut self, now: Steady) {
        self.listed_at
            .retain(|_, at| now.saturating_sub(*at) <= FORGET_AFTER);
    }

    /// The number of new ones since the last call.
    pub fn take_counts(&mut self) -> StrayCounts {
        std::mem::take(&mut self.counts)
    }
}
