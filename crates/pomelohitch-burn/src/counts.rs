//! Counts answers on an entry instance.

use std::collections::BTreeMap;

use pomelohitch_core::id::{ServiceId, TeamId};
use serde::{Deserialize, Serialize};

use crate::Minute;
use crate::record::Row;

/// Minutes of counts that are kept while they can't be appended, such as in an outage of the log.
pub const MINUTES_KEPT: usize = 24 * 60;

/// Numbers of good and bad answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that were successful and within the objective's time.
    pub good: u64,
    /// Answers that were late, lost or refused.
    pub bad: u64,
}

impl Tally {
    /// Adds `other`.
    pub fn add(&mut self, other: Tally) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Number of all answers.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }
}

type Tallies = BTreeMap<ServiceId, BTreeMap<TeamId, Tally>>;

/// The counts by minute that [`Counts::take`] has not returned yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    minutes: BTreeMap<Minute, Tallies>,
}

impl Counts {
    /// Counts one answer of `service` to `team`. Both must be configured ids, which bounds the size
    /// of the counts.
    pub fn record(&mut self, service: &str, team: &str, good: bool, minute: Minute) {
        let tallies = self.minutes.entry(minute).or_default();
        // Checks by reference, so that only the first answer in a minute allocates the ids.
        if !tallies.contains_key(service) {
            tallies.insert(service.into(), BTreeMap::new());
        }
        let Some(teams) = tallies.get_mut(service) else {
            return;
        };
        if !teams.contains_key(team) {
            teams.insert(team.into(), Tally::default());
        }
        let Some(tally) = teams.get_mut(team) else {
            return;
        };
        if good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Removes and returns the rows of `minute`, which must have passed; empty if there were no
    /// answers.
    pub fn take(&mut self, minute: Minute) -> Vec<Row> {
        let tallies = self.minutes.remove(&minute).unwrap_or_default();
        let rows = tallies.into_iter().flat_map(|(service, teams)| {
            teams.into_iter().map(move |(team, tally)| Row {
                service: service.clone(),
                team,
                tally,
            })
        });
        rows.collect()
    }
}
