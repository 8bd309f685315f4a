//! Waves, moves, idle instances and job time against shares over a time span of the fleet stream.
//!
//! The collector takes each record in order, with the state before and after it. Times are those in
//! the records, by the clocks of their writers; a wrong clock shifts them by its error.

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::id::{PoolId, TeamId, Timestamp};
use pomelohitch_core::state::Phase;
use pomelohitch_core::{Record, State};
use serde::Serialize;

/// The activity of the fleet over a time span.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetActivity {
    /// Time of the first record, in milliseconds since the Unix epoch.
    pub from_ms: u128,
    /// Latest time of a record, in milliseconds since the Unix epoch.
    pub to_ms: u128,
    /// Waves that ended.
    pub rollouts: Vec<Rollout>,
    /// Number of instances that became active in another pool.
    pub moves: u64,
    /// Idle instances by pool: active ones beyond the availability budgets of its services.
    pub buffer: BTreeMap<PoolId, Buffer>,
    /// Job time of each team, and what its share entitled it to while it had active jobs.
    pub shares: BTreeMap<TeamId, Share>,
}

/// A wave that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rollout {
    /// The pool.
    pub pool: PoolId,
    /// Time from its start to its end, in milliseconds.
    pub took_ms: u128,
    /// Number of its instances that were lost.
    pub lost: u32,
}

/// The idle instances of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Buffer {
    /// Hours of active instances beyond the largest availability budget in the pool.
    pub instance_hours: f64,
}

/// The job time of a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Share {
    /// Hours of active jobs.
    pub job_hours: f64,
    /// The team's part, by share, of the job hours of all teams with active jobs.
    pub owed_hours: f64,
}

/// Accumulates [`FleetActivity`] from the records of the fleet stream.
#[derive(Debug, Clone, Default)]
pub struct Collector {
    activity: FleetActivity,
    /// Latest time of a record so far.
    last: Option<Timestamp>,
}

impl Collector {
    /// Adds `record`, which changed the state from `before` to `after`.
    pub fn add(&mut self, before: &State, record: &Record, after: &State) {
        let at = record.at;
        let last = *self.last.get_or_insert_with(|| {
            self.activity.from_ms = at.as_millis();
            at
        });
        let elapsed = at.saturating_sub(last);
        self.last = Some(last.max(at));
        self.activity.to_ms = last.max(at).as_millis();
        self.add_elapsed(before, elapsed);
        self.add_rollouts(before, at, after);
        self.add_moves(before, after);
    }

    /// Returns the result.
    #[must_use]
    pub fn finish(self) -> FleetActivity {
        self.activity
    }

    fn add_elapsed(&mut self, state: &State, elapsed: Duration) {
        if elapsed.is_zero() {
            return;
        }
        let hours = elapsed.as_secs_f64() / 3600.0;
        for pool in state.config.pools.keys() {
            let services = state.config.services_of(pool);
            let needed = services.map(|s| s.min_available).max().unwrap_or(0);
            let idle = state.fleet.active_in(pool).saturating_sub(needed);
            let buffer = self.activity.buffer.entry(pool.clone()).or_default();
            buffer.instance_hours += f64::from(idle) * hours;
        }
        self.add_job_time(state, hours);
    }

    fn add_job_time(&mut self, state: &State, hours: f64) {
        let active: u32 = state.jobs.active.values().sum();
        let with_work: Vec<_> = state
            .config
            .teams
            .values()
            .filter(|team| state.jobs.active_of(&team.id) > 0)
            .collect();
        let shares: u32 = with_work.iter().map(|team| team.share).sum();
        for team in with_work {
            let share = self.activity.shares.entry(team.id.clone()).or_default();
            share.job_hours += f64::from(state.jobs.active_of(&team.id)) * hours;
            let fraction = f64::from(team.share) / f64::from(shares);
            share.owed_hours += f64::from(active) * fraction * hours;
        }
    }

    fn add_rollouts(&mut self, before: &State, at: Timestamp, after: &State) {
        for (pool, wave) in &before.waves.by_pool {
            let is_running = after
                .waves
                .by_pool
                .get(pool)
                .is_some_and(|current| current.since == wave.since);
            if !is_running {
                self.activity.rollouts.push(Rollout {
                    pool: pool.clone(),
                    took_ms: at.saturating_sub(wave.at).as_millis(),
                    lost: wave.lost,
                });
            }
        }
    }

    fn add_moves(&mut self, before: &State, after: &State) {
        // An unchanged fleet is shared between the two states, so no instance moved.
        if std::sync::Arc::ptr_eq(&before.fleet, &after.fleet) {
            return;
        }
        for (id, instance) in &before.fleet.instances {
            let current = after.fleet.instances.get(id);
            let has_moved = current.is_some_and(|current| {
                current.pool != instance.pool && current.phase == Phase::Active
            });
            self.activity.moves += u64::from(has_moved);
        }
    }
}
