//! Load files: arrivals of jobs, and faults.
//!
//! A load is a TOML file that describes a fleet, its callers and the faults during a play. Errors
//! for unknown fields and numbers out of range name the field and the allowed values.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// A load that cannot be read or is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("read {path}: {source}"))]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// Path of the file.
        path: Box<str>,
        /// Cause, with the position in the file.
        source: toml::de::Error,
    },
    /// A number is out of range, or a name is undefined.
    #[snafu(display("{path}: {field}: expected {allowed}"))]
    Check {
        /// Path of the file.
        path: Box<str>,
        /// Name of the field.
        field: &'static str,
        /// Allowed values.
        allowed: &'static str,
    },
}

/// Result of reading a load.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A fleet, its callers and its faults.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Time during which jobs arrive, in seconds.
    pub seconds: f64,
    /// Idle time of the fleet before the first arrivals, in seconds.
    #[serde(default = "lead")]
    pub lead_s: f64,
    /// Largest number of appends to the log in flight at a time.
    #[serde(default = "appends_at_once")]
    pub appends_at_once: usize,
    /// Capacity of each instance.
    pub instance: Instance,
    /// Services with the instances of their pools.
    pub services: Vec<Service>,
    /// Queues that receive jobs.
    pub queues: Vec<Queue>,
    /// Workspaces that submit the jobs.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Bursts of the queues, one queue after another; without them each queue has a constant rate.
    #[serde(rename = "turns")]
    pub bursts: Option<Bursts>,
    /// Periods in which the arrival rate of all queues is multiplied by `strength`.
    #[serde(default)]
    pub surges: Vec<Span>,
    /// Faults during the play.
    #[serde(default)]
    pub faults: Faults,
}

/// Capacity of each instance.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Processors in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
}

/// A service and its pool of instances.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service and its pool.
    pub name: Box<str>,
    /// Number of instances in the pool at the beginning.
    pub instances: u16,
    /// Whether instances in this pool are switched off and cost nothing.
    #[serde(default)]
    pub is_spare: bool,
    /// Number of jobs with a few lasting tasks.
    #[serde(default)]
    pub lasting_jobs: u32,
}

/// A queue and the distribution of its jobs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub name: Box<str>,
    /// The service that runs its tasks.
    pub service: Box<str>,
    /// Mean arrival rate over all bursts, in jobs per second.
    pub per_s: f64,
    /// Mean number of steps of a job; they run one after another.
    pub steps: f64,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Mean duration of a task in milliseconds.
    pub work_ms: f64,
    /// Duration that callers declare, as a multiple of the actual one.
    #[serde(default = "declared_factor")]
    pub declared_factor: f64,
    /// Random deviation of the declared duration of each step: the standard deviation of the
    /// logarithm.
    #[serde(default)]
    pub declared_error: f64,
    /// Mean processors of a task in thousandths of a core.
    pub cpu: f64,
    /// Spread around these means: the standard deviation of the logarithm.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Fraction of its steps that allow copies of their tasks.
    #[serde(default)]
    pub copyable: f64,
    /// Priority of its jobs; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Objective as a multiple of the critical path, without `slack_ms`.
    #[serde(default = "stretch")]
    pub stretch: f64,
    /// Constant addend of the objective in milliseconds.
    #[serde(default = "slack")]
    pub slack_ms: u64,
}

/// A workspace that submits jobs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace, also its API key.
    pub name: Box<str>,
    /// Its share of all jobs, relative to the sum of the shares.
    pub part: f64,
    /// Its scheduling weight under overload.
    #[serde(default = "weight")]
    pub weight: u64,
    /// Period in which its arrival rate is multiplied by `strength`.
    #[serde(rename = "presses")]
    pub overload: Option<Span>,
}

/// Bursts of the queues, one queue after another in the order of the file.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// Length of a burst in seconds.
    pub each_s: f64,
    /// Arrival rate of the queue during its burst, as a multiple of its mean.
    pub height: f64,
    /// Arrival rate otherwise, as a multiple of its mean.
    pub rest: f64,
}

/// A period and the strength of what happens in it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Start in seconds after the start of arrivals.
    pub from_s: f64,
    /// End in seconds after the start of arrivals, exclusive.
    pub to_s: f64,
    /// Strength; its meaning depends on the field that holds the span.
    #[serde(default)]
    pub strength: f64,
}

impl Span {
    /// Whether the span contains the time `at` after the start of arrivals.
    #[must_use]
    pub fn contains(&self, at: Duration) -> bool {
        (self.from_s..self.to_s).contains(&at.as_secs_f64())
    }
}

/// Faults during a play.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Deviation of the durations of a step's tasks: the standard deviation of the logarithm.
    #[serde(default)]
    pub unevenness: f64,
    /// A fraction `strength` of all orders and polls gets no answer; the orders are executed
    /// seconds later.
    #[serde(default)]
    pub orders_lost: Vec<Span>,
    /// The log is unavailable.
    #[serde(default)]
    pub log_away: Vec<Span>,
    /// An append to the log takes `strength` seconds.
    #[serde(default)]
    pub log_slow: Vec<Span>,
    /// One endpoint in ten is slower by the factor `strength`.
    #[serde(default)]
    pub slow: Vec<Span>,
    /// A fraction `strength` of the jobs has a task that crashes each endpoint that starts it.
    #[serde(default)]
    pub crashing: Vec<Span>,
    /// `strength` endpoints per second crash independently of their tasks.
    #[serde(default)]
    pub crashes: Vec<Span>,
    /// Every fifth endpoint has a fraction `strength` of its capacity.
    #[serde(default)]
    pub shrinks: Vec<Span>,
    /// Times of leader changes, in seconds after the start of arrivals.
    #[serde(default)]
    pub leader_changes_s: Vec<f64>,
}

fn lead() -> f64 {
    10.0
}

fn appends_at_once() -> usize {
    4
}

fn declared_factor() -> f64 {
    1.0
}

fn spread() -> f64 {
    0.45
}

fn stretch() -> f64 {
    1.6
}

fn slack() -> u64 {
    600
}

fn weight() -> u64 {
    1
}

/// Reads a load from a file.
///
/// # Errors
/// If the file cannot be read, or its contents are invalid.
pub fn read(path: &Path) -> Result<Load> {
    let name: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    parse(&text, &name)
}

/// Parses a load; errors give `name` as its path.
///
/// # Errors
/// If the text is not a valid load.
pub fn parse(text: &str, name: &str) -> Result<Load> {
    let load: Load = toml::from_str(text).context(ParseSnafu { path: name })?;
    check(&load, name)?;
    Ok(load)
}

fn check(load: &Load, path: &str) -> Result<()> {
    let require = |is_valid: bool, field: &'static str, allowed: &'static str| {
        ensure!(
            is_valid,
            CheckSnafu {
                path,
                field,
                allowed
            }
        );
        Ok(())
    };
    require((1.0..=600.0).contains(&load.seconds), "seconds", "1 to 600")?;
    require((1.0..=60.0).contains(&load.lead_s), "lead_s", "1 to 60")?;
    require(
        (1..=100).contains(&load.appends_at_once),
        "appends_at_once",
        "1 to 100",
    )?;
    require(load.instance.cpu > 0, "instance.cpu", "more than 0")?;
    require(!load.queues.is_empty(), "queues", "one or more")?;
    let instances: u32 = load.services.iter().map(|s| u32::from(s.instances)).sum();
    require(
        (1..=10_000).contains(&instances),
        "services",
        "1 to 10000 instances in all",
    )?;
    for queue in &load.queues {
        let is_known = load.services.iter().any(|s| s.name == queue.service);
        require(is_known, "queues.service", "the name of a service")?;
        let means = [queue.steps, queue.tasks, queue.work_ms, queue.cpu];
        let is_positive = means.iter().all(|mean| *mean >= 1.0);
        require(
            is_positive,
            "queues",
            "steps, tasks, work_ms and cpu of 1 or more",
        )?;
        require(
            (0.0..=10_000.0).contains(&queue.per_s),
            "queues.per_s",
            "0 to 10000",
        )?;
        require(
            (0.0..=2.0).contains(&queue.spread),
            "queues.spread",
            "0 to 2",
        )?;
        require(
            (0.01..=100.0).contains(&queue.declared_factor),
            "queues.declared_factor",
            "0.01 to 100",
        )?;
        require(
            (0.0..=2.0).contains(&queue.declared_error),
            "queues.declared_error",
            "0 to 2",
        )?;
        require(
            (0.0..=1.0).contains(&queue.copyable),
            "queues.copyable",
            "0 to 1",
        )?;
    }
    let parts: f64 = load.workspaces.iter().map(|w| w.part).sum();
    let has_shares = load.workspaces.is_empty() || parts > 0.0;
    require(has_shares, "workspaces.part", "more than 0 in all")
}
