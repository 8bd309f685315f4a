//! Split of a team's limit between its requests and its jobs.
//!
//! Requests are counted by permits that members pass to one another, jobs by the fold. Neither can
//! read the other's count without delay, so each has a fixed part of the limit, and the two parts
//! never exceed it together. The split is changed by the home of the team's permits, which is the
//! member that issues them. To give jobs more, it first takes back as many permits and then proposes
//! the change. To give requests more, it proposes the change first, and issues the permits once the
//! record is accepted.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Rejection, Result, State};
use crate::config::Team;
use crate::id::{Offset, TeamId};
use crate::record::DivideLimit;

/// Split of a team's limit that was set by a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitSplit {
    /// Part of the limit that is for jobs; the rest is for requests.
    pub jobs: u32,
    /// Offset of the record that set it.
    pub version: Offset,
}

/// Splits that were set by a record. Any other team's limit is split in half; if it is odd, the
/// larger part is for requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Splits by team.
    #[serde(rename = "borders")]
    pub splits: BTreeMap<TeamId, LimitSplit>,
}

impl Limits {
    /// Maximum number of concurrent jobs of `team`.
    ///
    /// Neither this nor [`requests_of`](Limits::requests_of) decreases when the team's limit is
    /// raised, or increases when it is lowered. So while a publish that changes the limit spreads,
    /// the old part of one reader and the new part of another don't exceed the larger limit.
    #[must_use]
    pub fn jobs_of(&self, team: &Team) -> u32 {
        match self.splits.get(&team.id) {
            Some(split) => split.jobs.min(team.limit),
            None => team.limit / 2,
        }
    }

    /// Maximum number of concurrent requests of `team`.
    #[must_use]
    pub fn requests_of(&self, team: &Team) -> u32 {
        team.limit - self.jobs_of(team)
    }

    /// Offset of the record that last set the team's split; `None` if none did.
    #[must_use]
    pub fn version_of(&self, team: &str) -> Option<Offset> {
        self.splits.get(team).map(|split| split.version)
    }
}

impl State {
    /// Changes the split of a team's limit.
    ///
    /// The proposal must carry the current epoch, in which the proposer is the home of the team's
    /// permits: a new home doesn't know which permits an earlier one has taken back for its
    /// proposal. The check of the base version rejects a proposal that lands late, after another
    /// one.
    pub(super) fn divide_limit(&mut self, offset: Offset, divide: &DivideLimit) -> Result<()> {
        if divide.epoch != self.members.epoch {
            return Err(Rejection::StaleEpoch(self.members.epoch));
        }
        let Some(team) = self.config.teams.get(&divide.team) else {
            return Err(Rejection::UnknownTeam);
        };
        let version = self.limits.version_of(&divide.team);
        if divide.base != version {
            return Err(Rejection::BorderMoved(version));
        }
        let active = self.jobs.active_of(&divide.team);
        if divide.jobs > team.limit || divide.jobs < active {
            return Err(Rejection::LimitBroken {
                active,
                limit: team.limit,
            });
        }
        let split = LimitSplit {
            jobs: divide.jobs,
            version: offset,
        };
        let limits = Arc::make_mut(&mut self.limits);
        limits.splits.insert(divide.team.clone(), split);
        Ok(())
    }
}
