//! Status for operators: of one entry instance and of the fleet, including what is waiting and why.
//!
//! [`Status`] is a pure function of [`State`], so the administration API and the command line show
//! the same.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::State;
use crate::id::{
    Incarnation, InstanceId, MemberId, Offset, PoolId, ServiceId, TeamId, Term, ZoneId,
};
use crate::record::DrainPurpose;
use crate::state::waves::Spread;
use crate::state::{Instance, JobState, Phase, Wave};

/// Status of an entry instance, and of the fleet according to its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Entry instance that answers the query.
    pub entry: EntryStatus,
    /// Status of the fleet according to this entry instance.
    pub fleet: Status,
}

/// Status of the entry instance that answers the query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Id of the entry instance.
    pub member: MemberId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Whether the instance serves callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Offset of the next record that the instance applies.
    pub next: Offset,
    /// Head of the log when it was last read.
    pub head: Offset,
    /// Number of records between `next` and `head`.
    pub lag: Offset,
    /// Peers, as of their last messages.
    pub peers: Vec<PeerStatus>,
}

/// Status of a peer, as of its last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Id of the entry instance.
    pub member: MemberId,
    /// Offset of the next record that the instance applies.
    pub next: Offset,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Time since the last message from the peer, in milliseconds.
    pub heard_ms_ago: u64,
}

/// Status of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// Planner's term.
    pub term: Term,
    /// Id of the planner; `None` if there is none.
    pub planner: Option<MemberId>,
    /// Entry instances.
    pub members: Vec<MemberStatus>,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Maintenance waves in progress.
    pub waves: Vec<WaveStatus>,
    /// Teams.
    pub teams: Vec<TeamStatus>,
    /// Quarantined workers, on which jobs fail that succeed elsewhere.
    pub quarantined: Vec<InstanceId>,
    /// Work that is waiting, with reasons.
    pub waiting: Vec<Waiting>,
}

/// Status of an entry instance as a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the entry instance.
    pub member: MemberId,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for connections from peers.
    pub peer_addr: SocketAddr,
}

/// Status of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Id of the pool.
    pub pool: PoolId,
    /// Whether instances are moved to other pools from this one first.
    pub spare: bool,
    /// Number of instances that accept work.
    pub active: u32,
    /// Number of draining instances.
    pub draining: u32,
    /// Number of drained instances.
    pub drained: u32,
    /// Number of failed instances.
    pub failed: u32,
    /// Number of instances moving to another pool; they also count as draining or drained.
    pub moving: u32,
    /// Services whose runners are the instances of this pool.
    pub services: Vec<ServiceStatus>,
}

/// Status of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Id of the service.
    pub service: ServiceId,
    /// Availability budget: minimum number of active instances.
    pub min_available: u32,
    /// Number of active instances above the budget. Negative if failures, or instances that the
    /// platform took away, have violated the budget.
    pub spare: i64,
}

/// Status of a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatus {
    /// Id of the pool.
    pub pool: PoolId,
    /// Offset of the record that started the wave.
    pub since: Offset,
    /// Number of instances still to be maintained.
    pub left: u32,
    /// Number of instances draining or drained for maintenance.
    pub out: u32,
    /// Number of instances that failed during maintenance since the wave started or was last
    /// resumed.
    pub lost: u32,
}

/// Status of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Id of the team.
    pub team: TeamId,
    /// Weight relative to other teams.
    pub share: u32,
    /// Maximum number of concurrent requests and jobs together.
    pub limit: u32,
    /// Part of the limit for requests.
    pub requests_limit: u32,
    /// Part of the limit for jobs.
    pub jobs_limit: u32,
    /// Number of jobs that are placed, running or stopping.
    pub jobs_active: u32,
    /// Number of waiting jobs.
    pub jobs_waiting: u32,
    /// Number of keys that are not withdrawn.
    pub keys: u32,
}

/// Work that is waiting, and the reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// Description of the work.
    pub what: Box<str>,
    /// Reason for which it is waiting.
    pub why: Box<str>,
}

impl Status {
    /// Returns the status according to `state`.
    #[must_use]
    pub fn of(state: &State) -> Status {
        let members = &state.members;
        let mut status = Status {
            next: state.next,
            term: members.term,
            planner: members.planner.clone(),
            members: members.by_id.iter().map(member_status).collect(),
            pools: state
                .config
                .pools
                .keys()
                .map(|id| pool_status(state, id))
                .collect(),
            waves: Vec::new(),
            teams: team_statuses(state),
            quarantined: state.jobs.quarantined.keys().cloned().collect(),
            waiting: Vec::new(),
        };
        if status.planner.is_none() {
            status.add_waiting("every move, drain and placement", "no entry instance plans");
        }
        status.add_waves(state);
        status.add_jobs();
        status
    }

    fn add_waiting(&mut self, what: impl Into<Box<str>>, why: impl Into<Box<str>>) {
        self.waiting.push(Waiting {
            what: what.into(),
            why: why.into(),
        });
    }

    fn add_waves(&mut self, state: &State) {
        for (pool, wave) in &state.waves.by_pool {
            let in_pool = || state.fleet.in_pool(pool).map(|(_, instance)| instance);
            let left: Vec<_> = in_pool().filter(|i| wave.covers(i)).collect();
            let in_maintenance = in_pool().filter(|i| is_in_maintenance(i)).count();
            let can_drain = left.iter().filter(|i| i.phase == Phase::Active);
            if let Some(reason) = wave_wait_reason(state, pool, wave, can_drain.copied()) {
                self.add_waiting(format!("the wave over {pool}"), reason);
            }
            self.waves.push(WaveStatus {
                pool: pool.clone(),
                since: wave.since,
                left: saturating_u32(left.len()),
                out: saturating_u32(in_maintenance),
                lost: wave.lost,
            });
        }
    }

    fn add_jobs(&mut self) {
        for team in self.teams.clone() {
            if team.jobs_waiting == 0 {
                continue;
            }
            let reason = if team.jobs_active >= team.jobs_limit {
                format!(
                    "{} of {} jobs run: the limit",
                    team.jobs_active, team.jobs_limit
                )
            } else {
                "no worker has room, or their turn by share hasn't come".to_owned()
            };
            self.add_waiting(
                format!("{} jobs of {}", team.jobs_waiting, team.team),
                reason,
            );
        }
    }
}

/// Reason for which the wave can't drain another instance now; `None` if it can, or if `left`, the
/// active instances that the wave still covers, is empty and no other reason applies.
fn wave_wait_reason<'a>(
    state: &State,
    pool: &PoolId,
    wave: &Wave,
    mut left: impl Iterator<Item = &'a Instance>,
) -> Option<String> {
    if state.waves.is_paused(pool) {
        return Some("maintenance is paused: `pomelohitch maintain resume`".to_owned());
    }
    let active = state.fleet.active_in(pool);
    let services = state.config.services_of(pool);
    if let Some(service) = services.max_by_key(|service| service.min_available)
        && active <= service.min_available
    {
        return Some(format!(
            "{active} instances are active and {} needs {}",
            service.id, service.min_available
        ));
    }
    let spread = Spread::of(&state.fleet, pool);
    let mut left = left.by_ref().peekable();
    left.peek()?;
    let is_blocked = left.all(|i| !wave.allows(&spread, &i.zone, &i.rack));
    is_blocked.then(|| "its limits of availability zones or racks are used up".to_owned())
}

fn is_in_maintenance(instance: &Instance) -> bool {
    matches!(
        instance.phase,
        Phase::Draining(DrainPurpose::Maintain) | Phase::Drained(DrainPurpose::Maintain)
    )
}

fn member_status((id, member): (&MemberId, &crate::Member)) -> MemberStatus {
    MemberStatus {
        member: id.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        peer_addr: member.peer_addr,
    }
}

fn pool_status(state: &State, id: &PoolId) -> PoolStatus {
    let mut pool = PoolStatus {
        pool: id.clone(),
        spare: state.config.pools.get(id).is_some_and(|pool| pool.spare),
        ..PoolStatus::default()
    };
    for (_, instance) in state.fleet.in_pool(id) {
        let counter = match instance.phase {
            Phase::Active => &mut pool.active,
            Phase::Draining(_) => &mut pool.draining,
            Phase::Drained(_) => &mut pool.drained,
            Phase::Failed => &mut pool.failed,
        };
        *counter += 1;
        pool.moving += u32::from(instance.phase.moving_to().is_some());
    }
    let services = state.config.services_of(id);
    pool.services = services
        .map(|service| ServiceStatus {
            service: service.id.clone(),
            min_available: service.min_available,
            spare: i64::from(pool.active) - i64::from(service.min_available),
        })
        .collect();
    pool
}

fn team_statuses(state: &State) -> Vec<TeamStatus> {
    let mut waiting = std::collections::BTreeMap::<&TeamId, u32>::new();
    for (_, entry) in state.jobs.table.iter() {
        if entry.state == JobState::Waiting {
            *waiting.entry(&entry.job.team).or_default() += 1;
        }
    }
    let teams = state.config.teams.values().map(|team| TeamStatus {
        team: team.id.clone(),
        share: team.share,
        limit: team.limit,
        requests_limit: state.limits.requests_of(team),
        jobs_limit: state.limits.jobs_of(team),
        jobs_active: state.jobs.active_of(&team.id),
        jobs_waiting: waiting.get(&team.id).copied().unwrap_or(0),
        keys: saturating_u32(
            team.keys
                .iter()
                .filter(|key| !state.withdrawn.contains(*key))
                .count(),
        ),
    });
    teams.collect()
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
