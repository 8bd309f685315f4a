//! Moves the border between a team's requests and its jobs; see docs/design/limit-parts.md.
//!
//! Done by the home of the team's permits, one border after the other.

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

use super::Inner;
use crate::node::{Node, ProposeError};

/// How often borders are looked at.
const TICK: Duration = Duration::from_millis(500);
/// How long one proposal may take.
const PROPOSE_LIMIT: Duration = Duration::from_secs(5);
/// Permits that are asked back for jobs but don't come are let go of after so long: the requests
/// that use them run for long.
const RECLAIM_LIMIT: Duration = Duration::from_secs(10);
/// A border whose both sides have enough is moved only by more than this part of the limit, so
/// that a demand that goes up and down doesn't fill the log.
const SLACK_PART: u32 = 8;

/// What the home keeps free for jobs beyond what the log says.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reserved {
    jobs: u32,
    /// The border's version and the epoch for which this holds: a proposal that names others is
    /// rejected.
    base: Option<Offset>,
    epoch: Offset,
    since: Instant,
    is_proposed: bool,
    /// Whether a proposal may still land.
    is_open: bool,
}

/// Borders that are being moved by this member.
#[derive(Debug, Default)]
pub struct Borders {
    reserved: BTreeMap<TeamId, Reserved>,
}

impl Borders {
    /// How many requests of the team may run, by the log and by what is reserved for jobs.
    #[must_use]
    pub fn requests_of(&self, state: &State, team: &TeamId) -> u32 {
        let Some(team) = state.config.teams.get(team) else {
            return 0;
        };
        let reserved = self.reserved.get(&team.id).map_or(0, |r| r.jobs);
        let limit = state.limits.requests_of(team);
        limit.min(team.limit.saturating_sub(reserved))
    }

    /// Lets go of what is settled: the border or the members changed, or the permits for it didn't
    /// come back.
    pub fn settle(&mut self, state: &State) {
        self.reserved.retain(|team, reserved| {
            let is_current = state.limits.version_of(team) == reserved.base
                && state.members.epoch == reserved.epoch;
            let is_late = !reserved.is_proposed && reserved.since.elapsed() > RECLAIM_LIMIT;
            is_current && (reserved.is_open || !is_late)
        });
    }
}

/// What both sides of a border want.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wants {
    /// Jobs that run or are being started or stopped.
    pub active: u32,
    /// Jobs that run or wait.
    pub jobs: u32,
    /// Requests that run or wait.
    pub requests: u32,
}

/// Where the border belongs: how much of `limit` is for jobs.
///
/// Each side has what it wants if both fit, and what is left over is halved. If they don't fit, each
/// has at least half of the limit or what it wants, whichever is less. What runs is never cut.
#[must_use]
pub fn part_of_jobs(limit: u32, wants: &Wants) -> u32 {
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

/// Whether a border at `now` is worth moving to `target`.
#[must_use]
pub fn is_worth_moving(limit: u32, now: u32, target: u32, wants: &Wants) -> bool {
    let lacks_jobs = now < wants.jobs && target > now;
    let lacks_requests = limit.saturating_sub(now) < wants.requests && target < now;
    lacks_jobs || lacks_requests || now.abs_diff(target) > limit / SLACK_PART
}

/// Looks for ever.
pub fn run(node: &Arc<Node>) {
    loop {
        std::thread::sleep(TICK);
        if !node.is_ready() {
            continue;
        }
        for divide in due(node) {
            propose(node, divide);
        }
    }
}

/// The moves that can be proposed now; reserves for those that need permits back first.
fn due(node: &Node) -> Vec<DivideLimit> {
    let state = node.state.load_full();
    let waiting = waiting_jobs(&state);
    let mut inner = node.permits.lock();
    inner.borders.settle(&state);
    // What a later epoch's home doesn't know of mustn't be promised by an earlier one's.
    if inner.homes.epoch().offset != state.members.epoch {
        return Vec::new();
    }
    let members: Vec<_> = state.members.by_id.keys().collect();
    let own = &node.settings.member;
    let teams = state.config.teams.values();
    let owned = teams.filter(|team| {
        let resource = Resource::Team(team.id.clone());
        home_of(&resource, members.iter().copied()) == Some(own)
    });
    let now = node.permits.now();
    let mut due = Vec::new();
    for team in owned {
        let waiting = waiting.get(&team.id).copied().unwrap_or(0);
        due.extend(inner.move_border(&state, team, waiting, now));
    }
    due
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
    fn move_border(
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
        let wants = Wants {
            active,
            jobs: active.saturating_add(waiting),
            requests: demand.wanted,
        };
        let target = self.borders.target(state, team, &wants)?;
        let current = state.limits.jobs_of(team);
        let reserved = self.borders.reserved.get_mut(&team.id)?;
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

impl Borders {
    /// Where a border is to go, if anywhere; from now on that is reserved for jobs.
    pub fn target(&mut self, state: &State, team: &Team, wants: &Wants) -> Option<u32> {
        let current = state.limits.jobs_of(team);
        if let Some(reserved) = self.reserved.get_mut(&team.id) {
            let is_waited_for = reserved.is_proposed && reserved.since.elapsed() < RECLAIM_LIMIT;
            reserved.jobs = reserved.jobs.max(wants.active);
            // A limit that was lowered meanwhile would have it rejected for ever.
            return (!is_waited_for).then_some(reserved.jobs.min(team.limit));
        }
        let target = part_of_jobs(team.limit, wants);
        if !is_worth_moving(team.limit, current, target, wants) {
            return None;
        }
        let reserved = Reserved {
            jobs: target,
            base: state.limits.version_of(&team.id),
            epoch: state.members.epoch,
            since: Instant::now(),
            is_proposed: false,
            is_open: false,
        };
        self.reserved.insert(team.id.clone(), reserved);
        Some(target)
    }

    /// Takes over what became of a proposal.
    ///
    /// One whose verdict isn't known may still land, also after a later one was rejected; what it
    /// gives to jobs stays reserved until the border has another version.
    pub fn on_outcome(&mut self, team: &TeamId, outcome: Outcome) {
        let Some(reserved) = self.reserved.get_mut(team) else {
            return;
        };
        reserved.is_open |= outcome == Outcome::Unknown;
        if outcome == Outcome::Accepted || !reserved.is_open {
            self.reserved.remove(team);
        }
    }
}

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The border is where it was proposed.
    Accepted,
    /// It certainly changed nothing and won't.
    Refused,
    /// It may still land.
    Unknown,
}

fn propose(node: &Node, divide: DivideLimit) {
    let team = divide.team.clone();
    let outcome = match node.propose(Body::DivideLimit(divide), PROPOSE_LIMIT) {
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
    node.permits.lock().borders.on_outcome(&team, outcome);
}
