//! How runs are lost: they are gone without an end of their own.

use std::collections::BTreeMap;
use std::time::Duration;

/// What the loss of a run is put down to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Its start was refused, never sent, or surely not carried out.
    NotStarted,
    /// The same incarnation of its endpoint is there and doesn't list it.
    Missing,
    /// Its endpoint ended without notice.
    Crash,
    /// Its endpoint had announced that it leaves, or its instance was operated on.
    Planned,
    /// Its endpoint was silent until every lease had run out; it may have ended or be cut off.
    Silence,
}

impl LossCause {
    /// The cause as metrics name it.
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

/// How a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// What it is put down to.
    pub cause: LossCause,
    /// Why, for logs.
    pub why: &'static str,
    /// The incarnation of the endpoint that it was started at.
    pub born: u64,
    /// For how long it had been seen at work when the endpoint was last heard.
    pub worked: Duration,
    /// How many other runs were at the endpoint.
    pub beside: usize,
    /// Whether it had surely begun, and can't have ended by itself before its endpoint did.
    pub was_at_work: bool,
    /// Whether it had been at work for long enough to be taken for sound.
    pub is_proven: bool,
    /// Whether every run of another job at the endpoint is taken for sound.
    pub is_sole: bool,
}

impl Loss {
    /// The loss of a run whose endpoint goes on.
    #[must_use]
    pub fn of_run(cause: LossCause, why: &'static str, born: u64) -> Loss {
        Loss {
            cause,
            why,
            born,
            worked: Duration::ZERO,
            beside: 0,
            was_at_work: false,
            is_proven: false,
            is_sole: false,
        }
    }
}

/// How many runs were lost, by cause.
pub type LossCounts = BTreeMap<LossCause, u64>;
