//! Sharing of room among workspaces over all pools, and how much is let in under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use tracing::info;

use super::Cell;
use super::schedule::waiting_cpu;
use crate::Steady;
use crate::id::{JobId, ServiceName};
use crate::job::{JobSpec, StepSpec};
use crate::place::Slots;
use crate::pools::{Candidate, Pool};
use crate::progress::JobState;
use crate::sharing::{self, Claim, Division, Owner, Share};
use crate::urgency::{Feasibility, RankedJob, Ranking};

/// Late jobs get the room that they could use once it has been idle for this long: those that they
/// give way to don't take it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time for which idle room is offered to late jobs, before they give way again.
const OFFER_TIME: Duration = Duration::from_secs(2);

/// Room of a service that late jobs could use and leave to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleRoom {
    /// It has been idle since this time.
    Since(Steady),
    /// It is offered to late jobs until this time.
    OfferedUntil(Steady),
}

/// What a pool wants, is granted and has, thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolShare {
    /// Wanted for forecast demand and backlog.
    pub wanted: f64,
    /// Upper limit; the same as `wanted` if there is enough for all pools.
    pub granted: f64,
    /// Capacity of its instances, including those on their way.
    pub held: f64,
    /// Multiple of what can be done that is let in.
    pub ratio: f64,
    /// Number of jobs deferred.
    pub deferred: usize,
}

/// Room and claims of all pools, for metrics.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shares {
    /// Share of each pool.
    pub pools: BTreeMap<ServiceName, PoolShare>,
    /// Whether work that can be in time wants all room.
    pub is_full: bool,
    /// Share of each workspace, while there isn't enough for all pools.
    pub workspaces: BTreeMap<Owner, Share>,
}

/// CPU that waiting tasks of ready steps need, thousandths of a core.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingCpu {
    /// Of jobs that can still be in time, by owner.
    in_time: BTreeMap<Owner, f64>,
    /// Of late jobs, by owner.
    late: BTreeMap<Owner, f64>,
}

impl WaitingCpu {
    pub(super) fn total(&self) -> f64 {
        self.in_time.values().chain(self.late.values()).sum()
    }
}

impl Cell {
    /// Shares of pools and workspaces as of the last decision about moves.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Records the work of a job that arrived, for the division of forecast demand.
    pub(super) fn record_arrival(&mut self, service: &ServiceName, spec: &JobSpec) {
        let work = |step: &StepSpec| {
            let cpu = as_f64(step.task_resources().cpu) * f64::from(step.count);
            cpu * self.estimates.expect(&spec.queue, step).time.as_secs_f64() * 1000.0
        };
        let ending = spec.steps.iter().filter(|step| !step.is_lasting);
        let work = ending.map(work).sum();
        self.recent_work
            .add(service, &spec.workspace, work, spec.accepted_ms);
    }

    /// CPU that waiting tasks of ready steps need, in thousandths of a core.
    pub(super) fn backlog(&self, service: &ServiceName) -> WaitingCpu {
        let mut backlog = WaitingCpu::default();
        let limits = self.limits(service);
        let (now_ms, policy) = (self.fleet_ms(), &self.settings.policy);
        let jobs = self.ready_jobs.get(service).into_iter().flatten();
        for job in jobs.filter_map(|id| self.jobs.get(id)) {
            // More instances don't help jobs that wait for their workspace's limit.
            if !self.is_within_limit(&job.spec, &job.spec.steps[0].need) {
                continue;
            }
            let candidate = job.candidate.as_ref();
            let is_in_time =
                candidate.is_none_or(|c| c.is_lasting || c.is_feasible(now_ms, policy, &limits));
            let by_owner = if is_in_time {
                &mut backlog.in_time
            } else {
                &mut backlog.late
            };
            *by_owner.entry(job.spec.workspace.clone()).or_default() += as_f64(waiting_cpu(job));
        }
        backlog
    }

    /// Limits on what is let in for a service.
    pub(super) fn limits(&self, service: &ServiceName) -> crate::overload::Limits {
        if self.settings.policy.adapts_to_overload {
            self.overload.limits(service, self.now.steady)
        } else {
            crate::overload::Limits::default()
        }
    }

    /// Divides the room of all instances among the pools if it doesn't suffice. Work that can be in
    /// time goes before late work, and the processors of lasting tasks before both.
    pub(super) fn share_room(
        &mut self,
        pools: &mut [Pool],
        instances: &[Candidate],
        backlogs: &[WaitingCpu],
        lasting: &[f64],
    ) {
        let margins = self.settings.policy.margins;
        let usable = instances.iter().filter(|i| !i.is_evacuated);
        let capacity: f64 = usable.clone().map(|i| as_f64(i.cpu)).sum();
        let room = (capacity * margins.target_utilization - lasting.iter().sum::<f64>()).max(0.0);
        let mut claims = Claims::default();
        for ((pool, backlog), lasting) in pools.iter().zip(backlogs).zip(lasting) {
            if !pool.is_spare {
                let forecast = pool.wanted - lasting;
                let max_backlog = pool.wanted * margins.max_backlog;
                self.add_claims(&mut claims, &pool.name, forecast, backlog, max_backlog);
            }
        }
        let division = claims.divide(room);
        let is_short = self.settings.policy.shares_over_pools && capacity > 0.0;
        let division = division.filter(|_| is_short);
        let in_time: f64 = claims.in_time.iter().map(|c| c.cpu).sum();
        let mut shares = Shares {
            is_full: division.is_some() && in_time >= room,
            ..Shares::default()
        };
        for (pool, lasting) in pools.iter_mut().zip(lasting).filter(|(p, _)| !p.is_spare) {
            let wanted = pool.unheld(&margins);
            let granted = division
                .as_ref()
                .map(|d| d.services.get(&pool.name).copied().unwrap_or(0.0) + lasting);
            pool.granted = granted;
            let held = usable.clone().filter(|i| i.pool == pool.name);
            let share = PoolShare {
                wanted,
                granted: granted.map_or(wanted, |granted| wanted.min(granted)),
                held: held.map(|i| as_f64(i.cpu)).sum(),
                ratio: self.limits(&pool.name).ratio,
                deferred: self.overload.deferred(&pool.name),
            };
            shares.pools.insert(pool.name.clone(), share);
        }
        shares.workspaces = division.map(|d| d.workspaces).unwrap_or_default();
        self.log_held_pools(&shares);
        self.shares = shares;
    }

    /// Adds what each workspace wants of a pool: its part of the forecast demand, which follows
    /// from its recent work, and its backlog.
    fn add_claims(
        &self,
        claims: &mut Claims,
        service: &ServiceName,
        forecast: f64,
        backlog: &WaitingCpu,
        max_backlog: f64,
    ) {
        let mut in_time: BTreeMap<Owner, f64> = BTreeMap::new();
        let parts = self.recent_work.parts(service, self.fleet_ms());
        if parts.is_empty() {
            in_time.insert(None, forecast);
        }
        for (owner, part) in parts {
            in_time.insert(owner.clone(), forecast * part);
        }
        let total = backlog.total();
        let counted = if total > max_backlog {
            max_backlog / total
        } else {
            1.0
        };
        for (owner, cpu) in &backlog.in_time {
            *in_time.entry(owner.clone()).or_default() += cpu * counted;
        }
        let claim = |(owner, cpu): (Owner, f64)| Claim {
            weight: self.owner(owner.as_ref()).1,
            owner,
            service: service.clone(),
            cpu,
        };
        claims.in_time.extend(in_time.into_iter().map(claim));
        let late = backlog.late.iter();
        let late = late.map(|(owner, cpu)| (owner.clone(), cpu * counted));
        claims.late.extend(late.map(claim));
    }

    /// Logs each pool that begins or ceases to be held to less than it wants.
    fn log_held_pools(&mut self, shares: &Shares) {
        for (pool, share) in &shares.pools {
            let is_held = share.granted < share.wanted;
            if is_held && self.held_pools.insert(pool.clone()) {
                let (wanted, granted) = (share.wanted.round(), share.granted.round());
                info!(pool = %pool, wanted, granted, "pool held to its share");
            } else if !is_held && self.held_pools.remove(pool) {
                info!(pool = %pool, "pool no longer held to its share");
            }
        }
        self.held_pools
            .retain(|pool| shares.pools.contains_key(pool));
    }

    /// Records what a scheduling pass of a service has seen, and the jobs that were let in and will
    /// be late.
    pub(super) fn observe_overload(&mut self, service: &ServiceName, ranking: &Ranking) {
        let (now, now_ms) = (self.now.steady, self.fleet_ms());
        self.overload.observe(service, ranking.seen, now);
        for ranked in ranking.jobs.iter().filter(|r| r.has_begun) {
            let candidate = self.jobs.get(&ranked.job).and_then(|j| j.candidate);
            if candidate.is_some_and(|c| c.is_missed(now_ms)) {
                self.overload.ended(service, ranked.job, false, now);
            }
        }
    }

    /// Records that the first tasks of a job were started.
    pub(super) fn observe_begin(&mut self, id: JobId, feasibility: Feasibility) {
        if feasibility == Feasibility::Feasible {
            self.overload.began(id, self.now.steady);
        }
    }

    /// Records whether a job that ended was in time.
    pub(super) fn observe_end(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let is_completed = job.progress.state == JobState::Completed;
        let Some(candidate) = job.candidate.filter(|_| is_completed) else {
            self.overload.forget(id);
            return;
        };
        let is_in_time = job.progress.ended_ms <= candidate.objective_ms();
        let service = self.service_of(&job.spec);
        let now = self.now.steady;
        self.overload.ended(&service, id, is_in_time, now);
    }

    /// Whether a pool has more than its grant while work that can be in time wants all room, so that
    /// its instances go to other pools as soon as they are empty.
    fn loses_instances(&self, service: &ServiceName) -> bool {
        let utilization = self.settings.policy.margins.target_utilization;
        let share = self.shares.pools.get(service);
        self.shares.is_full && share.is_some_and(|s| s.held * utilization > s.granted)
    }

    /// Whether the room that is left after a pass goes to the jobs that were passed over because they
    /// give way: it was idle for [`MAX_IDLE_TIME`], although one of them could have used it.
    pub(super) fn is_room_offered(
        &mut self,
        service: &ServiceName,
        passed_over: &[RankedJob],
        slots: &Slots,
    ) -> bool {
        let now = self.now.steady;
        let idle = self.idle_rooms.get(service).copied();
        if let Some(IdleRoom::OfferedUntil(until)) = idle
            && now < until
        {
            return true;
        }
        if !passed_over.iter().any(|r| self.has_room(r.job, slots)) {
            self.idle_rooms.remove(service);
            return false;
        }
        let since = match idle {
            Some(IdleRoom::Since(since)) => since,
            _ => now,
        };
        let is_offered = now >= since + MAX_IDLE_TIME;
        let idle = if is_offered {
            info!(%service, jobs = passed_over.len(), "idle room offered to late jobs");
            IdleRoom::OfferedUntil(now + OFFER_TIME)
        } else {
            IdleRoom::Since(since)
        };
        self.idle_rooms.insert(service.clone(), idle);
        is_offered
    }

    /// Whether a late job that has not begun waits because others that can be in time need the room
    /// that it would take: those that wait in the same pool, those whose pools get the instances of
    /// this one, or those that arrive next.
    pub(super) fn gives_way(
        &self,
        service: &ServiceName,
        ranked: &RankedJob,
        pass: PassState,
    ) -> bool {
        let is_late = ranked.feasibility >= Feasibility::Late && !ranked.has_begun;
        if !is_late || !self.settings.policy.finishes_first {
            return false;
        }
        let is_overloaded = self.overload.is_overloaded(service, self.now.steady);
        pass.others_wait || self.loses_instances(service) || (pass.has_begun_late && is_overloaded)
    }
}

/// What a scheduling pass of a service has done so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PassState {
    /// Whether tasks of jobs that can be in time found no place.
    pub(super) others_wait: bool,
    /// Whether a late job was begun. While a service is overloaded, one of them begins at a time.
    pub(super) has_begun_late: bool,
}

/// Claims on the room of all pools.
#[derive(Debug, Default)]
struct Claims {
    in_time: Vec<Claim>,
    late: Vec<Claim>,
}

impl Claims {
    /// Divides `room`, late work last; `None` if there is enough for all.
    fn divide(&self, room: f64) -> Option<Division> {
        let sum = |claims: &[Claim]| claims.iter().map(|c| c.cpu).sum::<f64>();
        let (in_time, late) = (sum(&self.in_time), sum(&self.late));
        if in_time + late <= room {
            return None;
        }
        let mut division = sharing::divide(&self.in_time, room);
        let of_late = sharing::divide(&self.late, (room - in_time).max(0.0));
        for (service, cpu) in of_late.services {
            *division.services.entry(service).or_default() += cpu;
        }
        for (owner, share) in of_late.workspaces {
            let all = division.workspaces.entry(owner).or_default();
            all.wanted += share.wanted;
            all.granted += share.granted;
        }
        Some(division)
    }
}

/// Amounts of processors are small enough to be exact in an `f64`.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
