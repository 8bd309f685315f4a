//! Instances and their phases.
//!
//! Every instance belongs to exactly one pool. A drain for a move or for maintenance never violates
//! the availability budget of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{REPEAT_WINDOW, Rejection, Result, State};
use crate::id::{InstanceId, Offset, PoolId, RackId, Timestamp, ZoneId};
use crate::record::{DrainPurpose, FleetStep, Record};

/// Lifecycle phase of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepts work.
    Active,
    /// Gets no new work and finishes what it is running.
    Draining(DrainPurpose),
    /// Runs nothing; the platform reboots it, moves it or takes it away, as the purpose says.
    Drained(DrainPurpose),
    /// Lost: it failed, didn't come back, or isn't in the pool where it should be.
    Failed,
}

impl Phase {
    /// Whether the instance accepts work in its current pool, or will do so after maintenance.
    fn is_staying(&self) -> bool {
        match self {
            Phase::Active => true,
            Phase::Draining(purpose) | Phase::Drained(purpose) => {
                *purpose == DrainPurpose::Maintain
            }
            Phase::Failed => false,
        }
    }

    /// Pool to which the instance is moving, if any.
    #[must_use]
    pub fn moving_to(&self) -> Option<&PoolId> {
        match self {
            Phase::Draining(DrainPurpose::MoveTo(to))
            | Phase::Drained(DrainPurpose::MoveTo(to)) => Some(to),
            _ => None,
        }
    }
}

/// An adopted instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Pool that the instance belongs to. A move changes it when the instance returns.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack, named within the availability zone.
    pub rack: RackId,
    /// Address at which the instance accepts requests.
    pub addr: SocketAddr,
    /// Current phase.
    pub phase: Phase,
    /// Offset of the record that began the phase. Requests to the platform use it as idempotency
    /// key.
    pub since: Offset,
    /// Offset at which the last maintenance ended, or at which the instance was adopted.
    pub maintained: Offset,
    /// Time at which the record at `maintained` was proposed.
    #[serde(with = "crate::millis")]
    pub maintained_at: Timestamp,
}

/// All instances, and those recently forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Instances by id.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Offsets at which instances were forgotten, kept for [`REPEAT_WINDOW`] offsets. An adoption
    /// that was proposed before the instance was forgotten but lands later is rejected; otherwise
    /// it would bring back an instance that no longer exists.
    pub forgotten: BTreeMap<InstanceId, Offset>,
}

impl Fleet {
    /// Number of instances of `pool` that accept work.
    #[must_use]
    pub fn active_in(&self, pool: &str) -> u32 {
        let active = self
            .in_pool(pool)
            .filter(|(_, i)| i.phase == Phase::Active)
            .count();
        u32::try_from(active).unwrap_or(u32::MAX)
    }

    /// Instances of `pool` in any phase.
    pub fn in_pool<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Instance)> {
        self.instances
            .iter()
            .filter(move |(_, instance)| &*instance.pool == pool)
    }

    /// Number of instances of `pool` that are active or in maintenance; failed, moving and leaving
    /// ones are not counted.
    #[must_use]
    pub fn staying_in(&self, pool: &str) -> u32 {
        let staying = self
            .in_pool(pool)
            .filter(|(_, i)| i.phase.is_staying())
            .count();
        u32::try_from(staying).unwrap_or(u32::MAX)
    }

    fn get_mut(&mut self, id: &InstanceId) -> Result<&mut Instance> {
        self.instances
            .get_mut(id)
            .ok_or_else(|| Rejection::UnknownInstance(id.clone()))
    }
}

impl State {
    pub(super) fn apply_fleet_step(
        &mut self,
        offset: Offset,
        record: &Record,
        step: &FleetStep,
    ) -> Result<()> {
        match step {
            FleetStep::Adopt {
                instance,
                pool,
                zone,
                rack,
                addr,
            } => {
                self.check_adopt(record.after, instance, pool)?;
                let adopted = Instance {
                    pool: pool.clone(),
                    zone: zone.clone(),
                    rack: rack.clone(),
                    addr: *addr,
                    phase: Phase::Active,
                    since: offset,
                    maintained: offset,
                    maintained_at: record.at,
                };
                let fleet = Arc::make_mut(&mut self.fleet);
                fleet.instances.insert(instance.clone(), adopted);
                Ok(())
            }
            FleetStep::Drain {
                instance,
                since,
                purpose,
            } => {
                self.check_drain(instance, *since, purpose)?;
                self.set_phase(offset, instance, Phase::Draining(purpose.clone()))
            }
            FleetStep::Drained { instance, since } => {
                match self.instance_in_phase(instance, *since)?.phase.clone() {
                    Phase::Draining(purpose) => {
                        self.set_phase(offset, instance, Phase::Drained(purpose))
                    }
                    phase => Err(Rejection::WrongPhase(phase)),
                }
            }
            FleetStep::Return { instance, since } => {
                self.return_instance(offset, record.at, instance, *since)
            }
            FleetStep::Fail { instance, since } => self.fail(offset, instance, *since),
            FleetStep::Forget { instance, since } => self.forget(offset, instance, *since),
            FleetStep::EndWave { pool, since } => self.end_wave(pool, *since),
        }
    }

    /// Returns the instance if it is still in the phase that began at `since`, on which the planner
    /// based its decision.
    fn instance_in_phase(&self, id: &InstanceId, since: Offset) -> Result<&Instance> {
        let instance = self.fleet.instances.get(id);
        let instance = instance.ok_or_else(|| Rejection::UnknownInstance(id.clone()))?;
        if instance.since == since {
            return Ok(instance);
        }
        Err(Rejection::PhaseChanged(instance.since))
    }

    fn check_adopt(&self, after: Offset, instance: &InstanceId, pool: &PoolId) -> Result<()> {
        if let Some(known) = self.fleet.instances.get(instance) {
            return Err(Rejection::AlreadyIn(known.pool.clone()));
        }
        match self.fleet.forgotten.get(instance) {
            Some(&forgotten) if after <= forgotten => Err(Rejection::Forgotten(forgotten)),
            _ => self.check_pool(pool),
        }
    }

    pub(super) fn check_pool(&self, pool: &PoolId) -> Result<()> {
        if self.config.pools.contains_key(pool) {
            return Ok(());
        }
        Err(Rejection::UnknownPool(pool.clone()))
    }

    /// Checks a drain of an active instance. A drain for [`DrainPurpose::Leaving`] records that the
    /// platform takes the instance away, which can't be refused. Any other drain must respect
    /// pauses and the availability budget of each service on the pool.
    fn check_drain(&self, id: &InstanceId, since: Offset, purpose: &DrainPurpose) -> Result<()> {
        let instance = self.instance_in_phase(id, since)?;
        if instance.phase != Phase::Active {
            return Err(Rejection::WrongPhase(instance.phase.clone()));
        }
        match purpose {
            DrainPurpose::Leaving => return Ok(()),
            DrainPurpose::MoveTo(to) => self.check_move(&instance.pool, to)?,
            DrainPurpose::Maintain => self.check_wave(instance)?,
        }
        self.check_paused(&instance.pool)?;
        self.check_budgets(&instance.pool)
    }

    fn check_move(&self, from: &PoolId, to: &PoolId) -> Result<()> {
        self.check_pool(to)?;
        if from == to {
            return Err(Rejection::AlreadyIn(to.clone()));
        }
        let floor = self.config.pools.get(from).map_or(0, |pool| pool.floor);
        let left = self.fleet.staying_in(from).saturating_sub(1);
        if left < floor {
            let pool = from.clone();
            return Err(Rejection::FloorBroken { pool, left, floor });
        }
        Ok(())
    }

    /// Checks that `pool` can lose one active instance without violating an availability budget.
    fn check_budgets(&self, pool: &PoolId) -> Result<()> {
        let left = self.fleet.active_in(pool).saturating_sub(1);
        match self
            .config
            .services_of(pool)
            .find(|service| left < service.min_available)
        {
            Some(service) => Err(Rejection::BudgetBroken {
                service: service.id.clone(),
                left,
                min_available: service.min_available,
            }),
            None => Ok(()),
        }
    }

    /// Returns an instance to work because its drain was cancelled, or its maintenance or move is
    /// complete. An instance that failed or left has to be forgotten and adopted again instead: the
    /// platform may have put it in another pool in the meantime, and only an adoption reads the
    /// pool from the platform.
    fn return_instance(
        &mut self,
        offset: Offset,
        at: Timestamp,
        id: &InstanceId,
        since: Offset,
    ) -> Result<()> {
        let phase = self.instance_in_phase(id, since)?.phase.clone();
        match &phase {
            Phase::Draining(DrainPurpose::Maintain | DrainPurpose::MoveTo(_)) => {}
            Phase::Drained(DrainPurpose::Maintain) => {
                let instance = Arc::make_mut(&mut self.fleet).get_mut(id)?;
                instance.maintained = offset;
                instance.maintained_at = at;
            }
            Phase::Drained(DrainPurpose::MoveTo(to)) => {
                self.check_pool(to)?;
                Arc::make_mut(&mut self.fleet).get_mut(id)?.pool = to.clone();
            }
            _ => return Err(Rejection::WrongPhase(phase)),
        }
        self.set_phase(offset, id, Phase::Active)
    }

    fn fail(&mut self, offset: Offset, id: &InstanceId, since: Offset) -> Result<()> {
        let instance = self.instance_in_phase(id, since)?;
        match &instance.phase {
            Phase::Failed => return Err(Rejection::WrongPhase(Phase::Failed)),
            Phase::Draining(DrainPurpose::Maintain) | Phase::Drained(DrainPurpose::Maintain) => {
                let pool = instance.pool.clone();
                if let Some(wave) = Arc::make_mut(&mut self.waves).by_pool.get_mut(&pool) {
                    wave.lost += 1;
                }
            }
            _ => {}
        }
        self.set_phase(offset, id, Phase::Failed)
    }

    /// Removes an instance that failed or is leaving. Any other instance must not be removed here,
    /// since this doesn't check the availability budgets.
    fn forget(&mut self, offset: Offset, id: &InstanceId, since: Offset) -> Result<()> {
        let phase = self.instance_in_phase(id, since)?.phase.clone();
        let is_gone = matches!(
            phase,
            Phase::Failed
                | Phase::Draining(DrainPurpose::Leaving)
                | Phase::Drained(DrainPurpose::Leaving)
        );
        if !is_gone {
            return Err(Rejection::WrongPhase(phase));
        }
        let oldest = offset.saturating_sub(REPEAT_WINDOW);
        let fleet = Arc::make_mut(&mut self.fleet);
        fleet.instances.remove(id);
        fleet.forgotten.retain(|_, forgotten| *forgotten >= oldest);
        fleet.forgotten.insert(id.clone(), offset);
        Ok(())
    }

    fn set_phase(&mut self, offset: Offset, id: &InstanceId, phase: Phase) -> Result<()> {
        let instance = Arc::make_mut(&mut self.fleet).get_mut(id)?;
        instance.phase = phase;
        instance.since = offset;
        Ok(())
    }
}
