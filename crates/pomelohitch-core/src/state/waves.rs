//! Maintenance waves, and pauses of maintenance.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Fleet, Instance, Phase, Rejection, Result, State};
use crate::config::Config;
use crate::id::{Offset, PoolId, RackId, Timestamp, ZoneId};
use crate::record::{DrainPurpose, MaintainOrder, WaveLimits};

/// A wave that maintains every instance of a pool once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Offset of the record that started the wave. The wave covers the instances of its pool whose
    /// last maintenance ended before this offset.
    pub since: Offset,
    /// Time at which the wave was proposed.
    #[serde(with = "crate::millis")]
    pub at: Timestamp,
    /// Limits on the failure domains that it affects at once.
    pub limits: WaveLimits,
    /// Number of instances that failed during maintenance since the wave started, or since an
    /// operator last resumed the pool.
    pub lost: u32,
}

/// Waves in progress, and pauses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waves {
    /// Waves by pool.
    pub by_pool: BTreeMap<PoolId, Wave>,
    /// Pools that are paused on their own.
    pub paused: BTreeSet<PoolId>,
    /// Whether all pools are paused, in addition to `paused`.
    pub all_paused: bool,
}

/// A rack with its availability zone; rack names are unique only within a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackKey {
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
}

impl Waves {
    /// Whether drains for maintenance in `pool` and moves out of it are paused.
    #[must_use]
    pub fn is_paused(&self, pool: &str) -> bool {
        self.all_paused || self.paused.contains(pool)
    }

    pub(super) fn retain_pools(&mut self, config: &Config) {
        self.by_pool
            .retain(|pool, _| config.pools.contains_key(pool));
        self.paused.retain(|pool| config.pools.contains_key(pool));
    }
}

impl Wave {
    /// Whether the wave still has to maintain `instance`, which must be in the wave's pool.
    #[must_use]
    pub fn covers(&self, instance: &Instance) -> bool {
        instance.maintained < self.since && instance.phase != Phase::Failed
    }

    /// Whether an instance in `zone` and `rack` may be drained within the wave's limits, given the
    /// failure domains already affected.
    #[must_use]
    pub fn allows(&self, spread: &Spread, zone: &ZoneId, rack: &RackId) -> bool {
        let rack = RackKey {
            zone: zone.clone(),
            rack: rack.clone(),
        };
        let fits = |limit: Option<u32>, used: usize, is_used: bool| {
            is_used || limit.is_none_or(|limit| used < limit as usize)
        };
        fits(
            self.limits.zones,
            spread.zones.len(),
            spread.zones.contains(&rack.zone),
        ) && fits(
            self.limits.racks,
            spread.racks.len(),
            spread.racks.contains(&rack),
        )
    }
}

/// Failure domains that have instances in maintenance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spread {
    /// Affected availability zones.
    pub zones: BTreeSet<ZoneId>,
    /// Affected racks.
    pub racks: BTreeSet<RackKey>,
}

impl Spread {
    /// Failure domains of the instances of `pool` that are draining or drained for maintenance.
    #[must_use]
    pub fn of(fleet: &Fleet, pool: &str) -> Spread {
        let mut spread = Spread::default();
        for (_, instance) in fleet.in_pool(pool) {
            let is_in_maintenance = matches!(
                instance.phase,
                Phase::Draining(DrainPurpose::Maintain) | Phase::Drained(DrainPurpose::Maintain)
            );
            if is_in_maintenance {
                spread.add(&instance.zone, &instance.rack);
            }
        }
        spread
    }

    /// Adds the zone and rack of an instance.
    pub fn add(&mut self, zone: &ZoneId, rack: &RackId) {
        self.zones.insert(zone.clone());
        self.racks.insert(RackKey {
            zone: zone.clone(),
            rack: rack.clone(),
        });
    }
}

impl State {
    pub(super) fn apply_maintain_order(
        &mut self,
        offset: Offset,
        at: Timestamp,
        order: &MaintainOrder,
    ) -> Result<()> {
        match order {
            MaintainOrder::Start { pool, limits } => {
                self.check_pool(pool)?;
                if let Some(wave) = self.waves.by_pool.get(pool) {
                    return Err(Rejection::WaveRunning(wave.since));
                }
                let wave = Wave {
                    since: offset,
                    at,
                    limits: *limits,
                    lost: 0,
                };
                let waves = Arc::make_mut(&mut self.waves);
                waves.by_pool.insert(pool.clone(), wave);
            }
            MaintainOrder::Pause { pool: None } => {
                Arc::make_mut(&mut self.waves).all_paused = true;
            }
            MaintainOrder::Pause { pool: Some(pool) } => {
                self.check_pool(pool)?;
                Arc::make_mut(&mut self.waves).paused.insert(pool.clone());
            }
            MaintainOrder::Resume { pool: None } => {
                Arc::make_mut(&mut self.waves).all_paused = false;
            }
            MaintainOrder::Resume { pool: Some(pool) } => {
                let waves = Arc::make_mut(&mut self.waves);
                waves.paused.remove(pool);
                if let Some(wave) = waves.by_pool.get_mut(pool) {
                    wave.lost = 0;
                }
            }
        }
        Ok(())
    }

    pub(super) fn end_wave(&mut self, pool: &PoolId, since: Offset) -> Result<()> {
        let wave = self
            .waves
            .by_pool
            .get(pool)
            .filter(|wave| wave.since == since);
        let wave = wave.ok_or(Rejection::NotInWave)?;
        if self.fleet.in_pool(pool).any(|(_, i)| wave.covers(i)) {
            return Err(Rejection::WaveUnfinished);
        }
        Arc::make_mut(&mut self.waves).by_pool.remove(pool);
        Ok(())
    }

    /// Checks that a drain of `instance` for maintenance is part of a wave and within its limits.
    pub(super) fn check_wave(&self, instance: &Instance) -> Result<()> {
        let wave = self.waves.by_pool.get(&instance.pool);
        let wave = wave.ok_or(Rejection::NotInWave)?;
        if !wave.covers(instance) {
            return Err(Rejection::NotInWave);
        }
        let spread = Spread::of(&self.fleet, &instance.pool);
        if wave.allows(&spread, &instance.zone, &instance.rack) {
            return Ok(());
        }
        Err(Rejection::TooWide)
    }

    pub(super) fn check_paused(&self, pool: &str) -> Result<()> {
        if self.waves.is_paused(pool) {
            return Err(Rejection::Paused);
        }
        Ok(())
    }
}
