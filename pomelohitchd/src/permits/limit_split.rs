//! Splits each team's limit between its requests and its jobs; see docs/design/limit-parts.md.
//!
//! The home of the team's permits proposes the changes, one team after the other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::config::Team;
use pomelohitch_core::id::{Offset, TeamId};
use pomelohitch_core::record::DivideLimit;
use pomelohitch_core::state::JobState;
use pomelohitch_core::{Body, State, Verdict};
use pomelohitch_permits::resource::home_of;
use pomelohitch_permits::{Monotonic, Resource};
use tracing::info;

use super::Inner;
use crate::node::{Node, ProposeError};

/// Interval at which the splits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// A reservation for jobs is dropped if its permits aren't free after this time, because long
/// requests use them.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// If neither side lacks permits, a split changes only by more than the limit divided by this, so
/// that fluctuating demand doesn't fill the log.
const MIN_CHANGE_DIVISOR: u32 = 8;

/// Permits that the home withholds from requests for a split that isn't in the log yet.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reservation {
    jobs: u32,
    /// Version of the split and epoch for which this holds. The fold rejects a proposal whose
    /// version or epoch isn't the current one.
    base: Option<Offset>,
    epoch: Offset,
    since: Instant,
    is_proposed: bool,
    /// Whether a proposal without a known verdict may still be appended.
    may_be_accepted: bool,
}

/// Changes of splits that this member has in progress.
#[derive(Debug, Default)]
pub struct LimitSplits {
    reserved: BTreeMap<TeamId, Reservation>,
}

impl LimitSplits {
    /// Number of requests of the team that may run: its part of the limit in the log, or what a
    /// reservation for jobs leaves of the limit if that is less.
    #[must_use]
    pub fn requests_of(&self, state: &State, team: &TeamId) -> u32 {
        let Some(team) = state.config.teams.get(team) else {
            return 0;
        };
        let reserved = self.reserved.get(&team.id).map_or(0, |r| r.jobs);
        let limit = state.limits.requests_of(team);
        limit.min(team.limit.saturating_sub(reserved))
    }

    /// Drops reservations that no longer apply: the split or the epoch changed, or the permits
    /// weren't freed in time.
    pub fn drop_settled(&mut self, state: &State) {
        self.reserved.retain(|team, reserved| {
            let is_current = state.limits.version_of(team) == reserved.base
                && state.members.epoch == reserved.epoch;
            let is_late = !reserved.is_proposed && reserved.since.elapsed() > RECLAIM_TIMEOUT;
            is_current && (reserved.may_be_accepted || !is_late)
        });
    }
}

/// Demand of a team's jobs and requests for its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SplitDemand {
    /// Jobs that run or are being started or stopped.
    pub active: u32,
    /// Jobs that run or wait.
    pub jobs: u32,
    /// Requests that run or wait.
    pub requests: u32,
}

/// The part of `limit` that should be for jobs.
///
/// If both demands fit, each side gets its demand and half of the remainder. Otherwise each side
/// gets at least the lesser of its demand and half of the limit. Jobs never get less than what is
/// active.
#[must_use]
pub fn jobs_part(limit: u32, wants: &SplitDemand) -> u32 {
    let half = limit / 2;
    let left = limit.saturating_sub(wants.jobs.saturating_add(wants.requests));
    let jobs = if left > 0 {
        wants.jobs + left / 2
    } else if wants.requests < limit - half {
        limit - wants.requests
    } else {
        wants.jobs.min(half)
    };
    jobs.max(wants.active).min(limit)
}

/// Whether the part for jobs should change from `now` to `target`.
#[must_use]
pub fn is_change_needed(limit: u32, now: u32, target: u32, wants: &SplitDemand) -> bool {
    let lacks_jobs = now < wants.jobs && target > now;
    let lacks_requests = limit.saturating_sub(now) < wants.requests && target < now;
    lacks_jobs || lacks_requests || now.abs_diff(target) > limit / MIN_CHANGE_DIVISOR
}

/// Checks and proposes splits forever.
pub fn run(node: &Arc<Node>) {
    loop {
        std::thread::sleep(CHECK_INTERVAL);
        if !node.is_ready() {
            continue;
        }
        for divide in due_proposals(node) {
            propose(node, divide);
        }
    }
}

/// The changes that can be proposed now. Also reserves permits for those that have to wait until
/// requests free them.
fn due_proposals(node: &Node) -> Vec<DivideLimit> {
    let state = node.state.load_full();
    let waiting = waiting_jobs(&state);
    let mut inner = node.permits.lock();
    inner.limit_splits.drop_settled(&state);
    // A newer epoch's home doesn't know the reservations made here, so none are made while the
    // epochs differ.
    if inner.homes.epoch().offset != state.members.epoch {
        return Vec::new();
    }
    let members: Vec<_> = state.members.by_id.keys().collect();
    let own = &node.settings.member;
    let teams = state.config.teams.values();
    let homed_here = teams.filter(|team| {
        let resource = Resource::Team(team.id.clone());
        home_of(&resource, members.iter().copied()) == Some(own)
    });
    let now = node.permits.now();
    let mut proposals = Vec::new();
    for team in homed_here {
        let waiting = waiting.get(&team.id).copied().unwrap_or(0);
        proposals.extend(inner.propose_split(&state, team, waiting, now));
    }
    proposals
}

fn waiting_jobs(state: &State) -> BTreeMap<TeamId, u32> {
    let mut waiting = BTreeMap::new();
    for (_, entry) in state.jobs.table.iter() {
        if entry.state == JobState::Waiting {
            *waiting.entry(entry.job.team.clone()).or_default() += 1;
        }
    }
    waiting
}

impl Inner {
    fn propose_split(
        &mut self,
        state: &State,
        team: &Team,
        waiting: u32,
        now: Monotonic,
    ) -> Option<DivideLimit> {
        let resource = Resource::Team(team.id.clone());
        let bounds = self.bounds(state, &resource);
        let demand = self.homes.settled_demand(&resource, &bounds, now)?;
        let active = state.jobs.active_of(&team.id);
        let wants = SplitDemand {
            active,
            jobs: active.saturating_add(waiting),
            requests: demand.wanted,
        };
        let target = self.limit_splits.target(state, team, &wants)?;
        let current = state.limits.jobs_of(team);
        let reserved = self.limit_splits.reserved.get_mut(&team.id)?;
        let is_free = demand.held <= team.limit.saturating_sub(target);
        if target > current && !is_free {
            return None;
        }
        reserved.is_proposed = true;
        reserved.since = Instant::now();
        Some(DivideLimit {
            team: team.id.clone(),
            jobs: target,
            epoch: reserved.epoch,
            base: reserved.base,
        })
    }
}

impl LimitSplits {
    /// The part for jobs to propose, if it should change; reserves it for jobs.
    pub fn target(&mut self, state: &State, team: &Team, wants: &SplitDemand) -> Option<u32> {
        let current = state.limits.jobs_of(team);
        if let Some(reserved) = self.reserved.get_mut(&team.id) {
            let is_pending = reserved.is_proposed && reserved.since.elapsed() < RECLAIM_TIMEOUT;
            reserved.jobs = reserved.jobs.max(wants.active);
            // If the limit was lowered meanwhile, a larger value would be rejected every time.
            return (!is_pending).then_some(reserved.jobs.min(team.limit));
        }
        let target = jobs_part(team.limit, wants);
        if !is_change_needed(team.limit, current, target, wants) {
            return None;
        }
        let reserved = Reservation {
            jobs: target,
            base: state.limits.version_of(&team.id),
            epoch: state.members.epoch,
            since: Instant::now(),
            is_proposed: false,
            may_be_accepted: false,
        };
        self.reserved.insert(team.id.clone(), reserved);
        Some(target)
    }

    /// Applies the outcome of a proposal.
    ///
    /// A proposal without a known verdict may still be appended, even after a later one was
    /// rejected. Its part for jobs stays reserved until the version of the split changes.
    pub fn on_outcome(&mut self, team: &TeamId, outcome: Outcome) {
        let Some(reserved) = self.reserved.get_mut(team) else {
            return;
        };
        reserved.may_be_accepted |= outcome == Outcome::Unknown;
        if outcome == Outcome::Accepted || !reserved.may_be_accepted {
            self.reserved.remove(team);
        }
    }
}

/// The outcome of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The proposed split is the current one.
    Accepted,
    /// The proposal has no effect, now or later.
    Refused,
    /// The proposal may still be appended.
    Unknown,
}

fn propose(node: &Node, divide: DivideLimit) {
    let (team, jobs) = (divide.team.clone(), divide.jobs);
    let outcome = match node.propose(Body::DivideLimit(divide), PROPOSE_TIMEOUT) {
        Ok(decided) if decided.verdict == Verdict::Accepted => Outcome::Accepted,
        Ok(_) | Err(ProposeError::NotAppended { .. }) => Outcome::Refused,
        Err(ProposeError::NoVerdict { .. }) => Outcome::Unknown,
    };
    let label = match outcome {
        Outcome::Accepted => "accepted",
        Outcome::Refused => "refused",
        Outcome::Unknown => "unknown",
    };
    metrics::counter!("limit_borders_moved", "verdict" => label).increment(1);
    info!(%team, jobs, verdict = label, "proposed another split of a team's limit");
    node.permits.lock().limit_splits.on_outcome(&team, outcome);
}
