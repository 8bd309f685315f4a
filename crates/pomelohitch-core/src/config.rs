//! Teams, pools and services as declared in the fleet files.
//!
//! Parsing is in `pomelohitch-config`. This module has the validated values, the merged view of all
//! files, and the rules across files. `pomelohitch check` applies the same rules as the fold does
//! on a publish.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{FilePath, KeyHash, Offset, PoolId, ServiceId, TeamId};

/// A team, with its share, its limit and its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Id of the team.
    pub id: TeamId,
    /// Weight relative to other teams, for dividing the capacity when it is exhausted.
    pub share: u32,
    /// Maximum number of concurrent requests and jobs together, over the whole fleet.
    pub limit: u32,
    /// Hashes of the team's API keys.
    pub keys: Vec<KeyHash>,
}

/// A pool of instances. Its instances are part of the state, not of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Id of the pool.
    pub id: PoolId,
    /// Whether instances are moved to other pools from this one first.
    #[serde(default)]
    pub spare: bool,
    /// Minimum number of instances that moves to other pools leave in this one.
    #[serde(default)]
    pub floor: u32,
}

/// Service-level objective: the target share of requests that are answered in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Latency above which an answer counts as bad.
    #[serde(with = "crate::millis")]
    pub within: Duration,
    /// Target for good answers, in parts per million; below 1,000,000.
    pub good_ppm: u32,
    /// Period over which the objective is evaluated.
    #[serde(with = "crate::millis")]
    pub window: Duration,
}

/// A service: endpoints in one pool that answer requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Id of the service, also the name in `/s/SERVICE/PATH`.
    pub id: ServiceId,
    /// Pool whose instances are the service's runners.
    pub pool: PoolId,
    /// Availability budget: minimum number of active instances in the pool.
    pub min_available: u32,
    /// Maximum number of concurrent requests per runner.
    pub slots: u32,
    /// Maximum number of connections per runner.
    pub connections: u32,
    /// Default timeout of a request, for waiting and running together.
    #[serde(with = "crate::millis")]
    pub timeout: Duration,
    /// Maximum run time of a request: this long after it was sent, it is certainly not running.
    #[serde(with = "crate::millis")]
    pub longest_run: Duration,
    /// Maximum number of requests queued at one entry instance.
    pub queue: u32,
    /// Service-level objective, if any.
    #[serde(default)]
    pub objective: Option<Objective>,
}

/// Declarations in one fleet file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetFile {
    /// Teams declared in the file.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Pools declared in the file.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Services declared in the file.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// A fleet file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedFile {
    /// Offset of the publish that last changed the file.
    pub version: Offset,
    /// Content of the file.
    pub file: FleetFile,
}

/// Violation of a rule across fleet files.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Two declarations of the same kind have the same id.
    Duplicate {
        /// `team`, `pool`, `service` or `key`.
        kind: Box<str>,
        /// Id that is declared twice.
        id: Box<str>,
    },
    /// A service names a pool that no file declares.
    UnknownPool {
        /// Id of the service.
        service: ServiceId,
        /// Id of the undeclared pool.
        pool: PoolId,
    },
}

/// Configuration in force: all fleet files, and indexes over their declarations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Fleet files by path.
    pub files: BTreeMap<FilePath, VersionedFile>,
    /// Teams by id.
    pub teams: BTreeMap<TeamId, Team>,
    /// Pools by id.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Teams by the hashes of their keys.
    pub keys: BTreeMap<KeyHash, TeamId>,
}

impl Config {
    /// Builds the configuration from `files`, and checks the rules across files.
    ///
    /// # Errors
    /// All violations, sorted, so that an operator can fix them together.
    pub fn from_files(files: BTreeMap<FilePath, VersionedFile>) -> Result<Config, Vec<Fault>> {
        let mut config = Config::default();
        let mut faults = Vec::new();
        for entry in files.values() {
            config.add(&entry.file, &mut faults);
        }
        for service in config.services.values() {
            if !config.pools.contains_key(&service.pool) {
                faults.push(Fault::UnknownPool {
                    service: service.id.clone(),
                    pool: service.pool.clone(),
                });
            }
        }
        faults.sort();
        if faults.is_empty() {
            config.files = files;
            Ok(config)
        } else {
            Err(faults)
        }
    }

    /// Adds the declarations of `file`, and a fault for each duplicate id or key.
    fn add(&mut self, file: &FleetFile, faults: &mut Vec<Fault>) {
        let mut duplicate = |kind: &str, id: &str| {
            faults.push(Fault::Duplicate {
                kind: kind.into(),
                id: id.into(),
            });
        };
        for team in &file.teams {
            if self.teams.insert(team.id.clone(), team.clone()).is_some() {
                duplicate("team", &team.id);
            }
            for key in &team.keys {
                if self.keys.insert(key.clone(), team.id.clone()).is_some() {
                    duplicate("key", key);
                }
            }
        }
        for pool in &file.pools {
            if self.pools.insert(pool.id.clone(), pool.clone()).is_some() {
                duplicate("pool", &pool.id);
            }
        }
        for service in &file.services {
            if self
                .services
                .insert(service.id.clone(), service.clone())
                .is_some()
            {
                duplicate("service", &service.id);
            }
        }
    }

    /// Services whose runners are the instances of `pool`.
    pub fn services_of<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Service> {
        self.services
            .values()
            .filter(move |service| &*service.pool == pool)
    }
}
