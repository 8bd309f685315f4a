//! Lost runs: runs that are gone without a completion.

use std::collections::BTreeMap;
use std::time::Duration;

/// Cause of the loss of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// The start was refused, never sent, or certainly not carried out.
    NotStarted,
    /// The same incarnation of the endpoint no longer lists the run.
    Missing,
    /// The endpoint ended without notice.
    Crash,
    /// The endpoint had announced that it leaves, or an operation was performed on its instance.
    Planned,
    /// The endpoint did not answer until all of its leases had expired; it may have ended or be
    /// disconnected.
    Silence,
}

impl LossCause {
    /// Label of the cause in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NotStarted => "not_started",
            Self::Missing => "missing",
            Self::Crash => "crash",
            Self::Planned => "planned",
            Self::Silence => "silence",
        }
    }
}

/// Circumstances of a lost run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// Cause of the loss.
    pub cause: LossCause,
    /// Explanation for logs.
    pub why: &'static str,
    /// Incarnation of the endpoint that the run was started at.
    pub born: u64,
    /// How long polls had listed the run as running when the endpoint last answered.
    pub ran_for: Duration,
    /// Number of other runs at the endpoint.
    pub other_runs: usize,
    /// Whether the run had certainly begun and cannot have completed before its endpoint ended.
    pub was_running: bool,
    /// Whether the run had been running for long enough not to be blamed for a crash.
    pub is_proven: bool,
    /// Whether every run of another job at the endpoint had been running for that long, which
    /// leaves only this job as a suspect.
    pub is_sole: bool,
}

impl Loss {
    /// The loss of a run whose endpoint continues to run.
    #[must_use]
    pub fn of_run(cause: LossCause, why: &'static str, born: u64) -> Loss {
        Loss {
            cause,
            why,
            born,
            ran_for: Duration::ZERO,
            other_runs: 0,
            was_running: false,
            is_proven: false,
            is_sole: false,
        }
    }
}

/// Number of lost runs by cause.
pub type LossCounts = BTreeMap<LossCause, u64>;
