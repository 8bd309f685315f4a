//! What comes in, and which faults strike.
//!
//! A load is a TOML file that describes a fleet and its callers in general terms. Unknown fields
//! and numbers out of range are refused with the place and the fix.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// A load that can't be played.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("read {path}: {source}"))]
    Read {
        /// Which file.
        path: Box<str>,
        /// Why.
        source: std::io::Error,
    },
    /// It isn't a load.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// Which file.
        path: Box<str>,
        /// Where and why.
        source: toml::de::Error,
    },
    /// A number is out of range, or a name refers to nothing.
    #[snafu(display("{path}: {field}: {fix}"))]
    Check {
        /// Which file.
        path: Box<str>,
        /// Which field.
        field: &'static str,
        /// What it has to be.
        fix: &'static str,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A fleet, its callers and its faults.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// How long callers send, seconds.
    pub seconds: f64,
    /// How long the fleet stands idle before, seconds.
    #[serde(default = "lead")]
    pub lead_s: f64,
    /// So many appends to the log may be on their way.
    #[serde(default = "appends_at_once")]
    pub appends_at_once: usize,
    /// What each instance has.
    pub instance: Instance,
    /// Pools with their instances.
    pub services: Vec<Service>,
    /// Where jobs come in.
    pub queues: Vec<Queue>,
    /// Who sends them.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Queues rise and fall in turn; without it each has its mean all the time.
    pub turns: Option<Turns>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Faults,
}

/// What each instance has.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, MB.
    pub mem_mb: u64,
}

/// A pool.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Box<str>,
    /// Its instances at the beginning.
    pub instances: u16,
    /// Whether they are off at first and cost nothing.
    #[serde(default)]
    pub is_spare: bool,
    /// Jobs with a few tasks that last.
    #[serde(default)]
    pub lasting_jobs: u32,
}

/// Where jobs come in.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Its name.
    pub name: Box<str>,
    /// The service that runs its tasks.
    pub service: Box<str>,
    /// Jobs a second over all turns.
    pub per_s: f64,
    /// Mean number of steps, one after another.
    pub steps: f64,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Mean estimate of a task, milliseconds.
    pub work_ms: f64,
    /// Mean processors of a task, thousandths of a core.
    pub cpu: f64,
    /// Spread of these means: the standard deviation of the logarithm.
    #[serde(default = "spread")]
    pub spread: f64,
    /// 0 goes first.
    #[serde(default)]
    pub priority: u32,
    /// The objective in multiples of the chain of work.
    #[serde(default = "stretch")]
    pub stretch: f64,
    /// What the objective allows beside, milliseconds.
    #[serde(default = "slack")]
    pub slack_ms: u64,
}

/// Who sends jobs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: Box<str>,
    /// Its part of all jobs, beside the parts of the others.
    pub part: f64,
    /// Its weight when all is full.
    #[serde(default = "weight")]
    pub weight: u64,
    /// It sends so many times its usual for a while.
    pub presses: Option<Span>,
}

/// Queues rise and fall in turn.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Turns {
    /// Length of a queue's turn, seconds.
    pub each_s: f64,
    /// What it sends then, in multiples of its mean.
    pub height: f64,
    /// What it sends otherwise.
    pub rest: f64,
}

/// Something that holds for a while.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// From then on, seconds after the first caller.
    pub from_s: f64,
    /// Until then.
    pub to_s: f64,
    /// How strong it is.
    #[serde(default)]
    pub strength: f64,
}

impl Span {
    /// Whether it holds `at` after the first caller.
    #[must_use]
    pub fn holds(&self, at: Duration) -> bool {
        (self.from_s..self.to_s).contains(&at.as_secs_f64())
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// How far durations lie from their estimates: the standard deviation of the logarithm.
    #[serde(default)]
    pub unevenness: f64,
    /// The part of `strength` of all orders gets no answer and is carried out late.
    #[serde(default)]
    pub orders_lost: Vec<Span>,
    /// The log takes no records.
    #[serde(default)]
    pub log_away: Vec<Span>,
    /// The log takes `strength` seconds for an append.
    #[serde(default)]
    pub log_slow: Vec<Span>,
    /// Every tenth endpoint takes `strength` times as long.
    #[serde(default)]
    pub slow: Vec<Span>,
    /// The part of `strength` of the jobs has a task that crashes each endpoint that starts it.
    #[serde(default)]
    pub crashing: Vec<Span>,
    /// So many endpoints a second crash for another reason.
    #[serde(default)]
    pub crashes: Vec<Span>,
    /// Every fifth endpoint has the part of `strength` of its room.
    #[serde(default)]
    pub shrinks: Vec<Span>,
    /// The leader changes at these times, seconds.
    #[serde(default)]
    pub leader_changes_s: Vec<f64>,
}

fn lead() -> f64 {
    10.0
}

fn appends_at_once() -> usize {
    4
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
/// If it can't be read, or isn't a load that can be played.
pub fn read(path: &Path) -> Result<Load> {
    let name: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    parse(&text, &name)
}

/// Reads a load from text; `name` stands for its file in errors.
///
/// # Errors
/// If it isn't a load that can be played.
pub fn parse(text: &str, name: &str) -> Result<Load> {
    let load: Load = toml::from_str(text).context(ParseSnafu { path: name })?;
    check(&load, name)?;
    Ok(load)
}

fn check(load: &Load, path: &str) -> Result<()> {
    let demand = |is_right: bool, field: &'static str, fix: &'static str| {
        ensure!(is_right, CheckSnafu { path, field, fix });
        Ok(())
    };
    demand((1.0..=600.0).contains(&load.seconds), "seconds", "1 to 600")?;
    demand((1.0..=60.0).contains(&load.lead_s), "lead_s", "1 to 60")?;
    demand(
        (1..=100).contains(&load.appends_at_once),
        "appends_at_once",
        "1 to 100",
    )?;
    demand(load.instance.cpu > 0, "instance.cpu", "more than 0")?;
    demand(!load.queues.is_empty(), "queues", "one or more")?;
    let instances: u32 = load.services.iter().map(|s| u32::from(s.instances)).sum();
    demand(
        (1..=10_000).contains(&instances),
        "services",
        "1 to 10000 instances in all",
    )?;
    for queue in &load.queues {
        let is_known = load.services.iter().any(|s| s.name == queue.service);
        demand(is_known, "queues.service", "the name of a service")?;
        let means = [queue.steps, queue.tasks, queue.work_ms, queue.cpu];
        let is_positive = means.iter().all(|mean| *mean >= 1.0);
        demand(
            is_positive,
            "queues",
            "steps, tasks, work_ms and cpu of 1 or more",
        )?;
        demand(
            (0.0..=10_000.0).contains(&queue.per_s),
            "queues.per_s",
            "0 to 10000",
        )?;
        demand(
            (0.0..=2.0).contains(&queue.spread),
            "queues.spread",
            "0 to 2",
        )?;
    }
    let parts: f64 = load.workspaces.iter().map(|w| w.part).sum();
    let has_parts = load.workspaces.is_empty() || parts > 0.0;
    demand(has_parts, "workspaces.part", "more than 0 in all")
}
