//! Division of the fleet's room among workspaces.
//!
//! Load: some workspaces submit several times their usual work, to one service after another, and
//! all pools together have less room than is wanted. If the pool with the largest shortfall got
//! the next instance, such a workspace would take the room of all services for itself. Room is
//! therefore divided among workspaces by max-min fairness, each workspace divides its part among
//! the services that it uses, and a pool is held to the sum of these parts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UnixMs;
use crate::id::{ServiceName, WorkspaceName};

/// Time in which the recorded work of a workspace loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Recorded work below this is dropped, thousandths of a core times milliseconds.
const MIN_WORK: f64 = 1_000.0;

/// Owner of work; `None` for jobs without a workspace.
pub type Owner = Option<WorkspaceName>;

/// Processors that a workspace wants of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Workspace that wants them.
    pub owner: Owner,
    /// Weight of the workspace.
    pub weight: u64,
    /// Service whose pool they belong to.
    pub service: ServiceName,
    /// Thousandths of a core.
    pub cpu: f64,
}

/// What a workspace wants and is granted over all services, thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Sum of its claims.
    pub wanted: f64,
    /// Its part of the room.
    pub granted: f64,
}

/// Room divided among claims.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Division {
    /// Thousandths of a core granted to each service.
    pub services: BTreeMap<ServiceName, f64>,
    /// Share of each workspace.
    pub workspaces: BTreeMap<Owner, Share>,
}

/// Divides `room`, in thousandths of a core, by weighted max-min fairness: no workspace gets more
/// than it wants, and what one leaves goes to the others by their weights. A workspace's part is
/// divided among its services in proportion to its claims.
#[must_use]
pub fn divide(claims: &[Claim], room: f64) -> Division {
    let mut weights = BTreeMap::new();
    let mut workspaces: BTreeMap<Owner, Share> = BTreeMap::new();
    for claim in claims {
        weights.insert(&claim.owner, as_f64(claim.weight.max(1)));
        workspaces.entry(claim.owner.clone()).or_default().wanted += claim.cpu.max(0.0);
    }
    let level = level(
        workspaces
            .iter()
            .map(|(owner, share)| (share.wanted, weights[owner])),
        room,
    );
    for (owner, share) in &mut workspaces {
        share.granted = share.wanted.min(level * weights[owner]);
    }
    let mut services = BTreeMap::new();
    for claim in claims.iter().filter(|claim| claim.cpu > 0.0) {
        let share = workspaces[&claim.owner];
        *services.entry(claim.service.clone()).or_default() +=
            claim.cpu * share.granted / share.wanted;
    }
    Division {
        services,
        workspaces,
    }
}

/// The amount for each unit of weight at which the parts of all that want something (amount and
/// weight) add up to `room`; infinite if there is enough for all.
fn level(wanted: impl Iterator<Item = (f64, f64)>, room: f64) -> f64 {
    let mut by_level: Vec<(f64, f64)> = wanted.collect();
    by_level.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = room.max(0.0);
    let mut weights: f64 = by_level.iter().map(|(_, weight)| weight).sum();
    for (wanted, weight) in by_level {
        if wanted / weight > left / weights {
            return left / weights;
        }
        left -= wanted;
        weights -= weight;
    }
    f64::INFINITY
}

/// Recent work of each workspace in each service. Divides the forecast demand of a service among
/// the workspaces.
#[derive(Debug, Clone, Default)]
pub struct RecentWork {
    services: BTreeMap<ServiceName, BTreeMap<Owner, Decaying>>,
}

/// Work that counts less the older it is.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    /// Thousandths of a core times milliseconds.
    work: f64,
    at_ms: UnixMs,
}

impl RecentWork {
    /// Adds the work of a job that arrived at `at_ms`, thousandths of a core times milliseconds.
    pub fn add(&mut self, service: &ServiceName, owner: &Owner, work: f64, at_ms: UnixMs) {
        let owners = self.services.entry(service.clone()).or_default();
        let entry = owners
            .entry(owner.clone())
            .or_insert(Decaying { work: 0.0, at_ms });
        let newest = entry.at_ms.max(at_ms);
        *entry = Decaying {
            work: entry.work_at(newest) + Decaying { work, at_ms }.work_at(newest),
            at_ms: newest,
        };
    }

    /// The part of each workspace in the recent work of a service, 0 to 1.
    #[must_use]
    pub fn parts(&self, service: &ServiceName, now_ms: UnixMs) -> Vec<(&Owner, f64)> {
        let owners = self.services.get(service).into_iter().flatten();
        let works: Vec<_> = owners
            .map(|(owner, entry)| (owner, entry.work_at(now_ms)))
            .collect();
        let sum: f64 = works.iter().map(|(_, work)| work).sum();
        let works = works.into_iter().filter(|(_, work)| *work > 0.0);
        works.map(|(owner, work)| (owner, work / sum)).collect()
    }

    /// Drops workspaces without recent work, except for those that last used a service: its next
    /// burst probably comes from them.
    pub fn prune(&mut self, now_ms: UnixMs) {
        for owners in self.services.values_mut() {
            let newest = owners.values().map(|entry| entry.at_ms).max();
            let reference = newest.unwrap_or(now_ms).min(now_ms);
            owners.retain(|_, entry| entry.work_at(reference) >= MIN_WORK);
        }
    }

    /// Number of workspaces with recent work, counted once for each service.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }

    /// Whether no workspace has recent work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Decaying {
    fn work_at(&self, at_ms: UnixMs) -> f64 {
        let age = Duration::from_millis(at_ms.saturating_sub(self.at_ms));
        self.work * (-age.div_duration_f64(HALF_LIFE)).exp2()
    }
}

/// Weights are small enough to be exact in an `f64`.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
