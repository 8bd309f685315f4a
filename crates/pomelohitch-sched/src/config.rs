//! Queues, services and workspaces in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::{QueueName, ServiceName, WorkspaceName};
use crate::resources::Resources;

/// One version of the configuration, whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Rises with every change, in uneven steps.
    pub version: u64,
    /// Where jobs come in.
    pub queues: Vec<Queue>,
    /// What runs them.
    pub services: BTreeMap<ServiceName, Service>,
    /// Who sends them.
    pub workspaces: Vec<Workspace>,
}

/// A queue takes jobs for one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host that callers name.
    pub host: Box<str>,
    /// What the path begins with.
    pub prefix: Box<str>,
    /// Whose endpoints run its tasks.
    pub service: ServiceName,
    /// 0 goes first.
    pub priority: u32,
    /// A task fails for good after so many failed runs.
    pub attempts: u32,
    /// The objective in multiples of the job's longest chain of work.
    pub stretch: f64,
    /// What the objective allows beside the work.
    pub objective: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Present if a policy allows only some endpoints.
    pub advice: Option<AdviceTerms>,
}

/// What a question to the policy costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdviceTerms {
    /// How long each answer takes.
    pub decide: Duration,
    /// How much longer for each endpoint asked about.
    pub per_endpoint: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A service and its pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether its endpoints themselves reject what doesn't fit.
    pub guards_room: bool,
    /// Whether its instances are switched off and cost nothing.
    pub is_spare: bool,
}

/// A workspace shares the fleet with others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Keys that are taken.
    pub keys: Vec<Box<str>>,
    /// Its share when all is full, beside the others' weights.
    pub weight: u64,
    /// What it may have running over all endpoints; an amount of 0 is no bound.
    pub bound: Resources,
}

impl FleetConfig {
    /// The queue for a call: the longest prefix of `path` among the queues of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|q| &*q.host == host && path.starts_with(&*q.prefix))
            .max_by_key(|q| q.prefix.len())
    }

    /// The queue of that name.
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

    /// The workspace of that name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| &*w.name == name)
    }
}
