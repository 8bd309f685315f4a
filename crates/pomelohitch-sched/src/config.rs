//! Configuration of queues, services and workspaces.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{QueueName, ServiceName, WorkspaceName};
use crate::resources::Resources;

/// A complete version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number; it grows with every change, not always by one.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<Queue>,
    /// Services that run jobs, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces that submit jobs.
    pub workspaces: Vec<Workspace>,
}

/// A queue that accepts jobs for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queue {
    /// Queue name.
    pub name: QueueName,
    /// Host name in the requests of callers.
    pub host: Box<str>,
    /// Prefix of the request path.
    pub prefix: Box<str>,
    /// Service whose endpoints run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails for good.
    pub attempts: u32,
    /// Objective as a multiple of the job's critical path.
    pub stretch: f64,
    /// Time that the objective allows in addition to the multiple of the critical path.
    pub objective: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Set if a placement policy restricts the endpoints.
    pub advice: Option<AdviceSettings>,
}

/// What a queue promises to the jobs that it has accepted. It holds for them also once the queue is
/// removed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task fails for good.
    pub attempts: u32,
    /// Objective as a multiple of the job's critical path.
    pub stretch: f64,
    /// Time that the objective allows in addition to the multiple of the critical path.
    pub objective: Duration,
    /// Set if a placement policy restricts the endpoints.
    pub advice: Option<AdviceSettings>,
}

impl Default for Terms {
    /// The terms of jobs whose records don't hold any.
    fn default() -> Self {
        Terms {
            priority: 0,
            attempts: 3,
            stretch: 0.0,
            objective: Duration::ZERO,
            advice: None,
        }
    }
}

impl Queue {
    /// The terms of the queue's jobs.
    #[must_use]
    pub fn terms(&self) -> Terms {
        Terms {
            priority: self.priority,
            attempts: self.attempts.max(1),
            stretch: self.stretch,
            objective: self.objective,
            advice: self.advice,
        }
    }
}

/// Latency of the placement policy's answers, and validity of its tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceSettings {
    /// Time that every answer takes, whatever the number of endpoints.
    pub base_latency: Duration,
    /// Additional time for each endpoint in the question.
    pub per_endpoint: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

impl AdviceSettings {
    /// Time that the answer about a number of endpoints takes.
    #[must_use]
    pub fn latency(&self, endpoints: usize) -> Duration {
        let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
        self.base_latency + self.per_endpoint.saturating_mul(endpoints)
    }
}

/// A service and its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether its endpoints themselves refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
    /// Whether its instances are switched off and cost nothing (spare pool).
    pub is_spare: bool,
}

/// A workspace: a customer that shares the fleet with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Workspace name.
    pub name: WorkspaceName,
    /// Valid keys.
    pub keys: Vec<Box<str>>,
    /// Weight of its share under overload, relative to other workspaces.
    pub weight: u64,
    /// Limit on its running tasks over all endpoints; an amount of 0 means no limit.
    pub bound: Resources,
}

impl FleetConfig {
    /// The queue for a call: among the queues of `host`, the one with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| &*q.host == host && path.starts_with(&*q.prefix))
            .max_by_key(|q| q.prefix.len())
    }

    /// The queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// The workspace that holds `key`.
    #[must_use]
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|w| w.keys.iter().any(|k| &**k == key))
    }

    /// The workspace with this name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| &*w.name == name)
    }
}
