//! The exit codes.

use std::process::ExitCode;

use serde::Serialize;

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// 0: done.
    Done,
    /// 1: refused and nothing changed: faults in files, a conflicting change, or a rule.
    Refused,
    /// 2: the command line is wrong; `clap` uses the same code.
    Usage,
    /// 3: a change may or may not come into force.
    NotKnown,
    /// 4: the log or the entry instance is unreachable, and nothing changed.
    Unreachable,
    /// 5: `report burn --fail-on-burn` found a service that burns its error budget too fast.
    Burning,
}

impl Exit {
    /// The exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::NotKnown => 3,
            Exit::Unreachable => 4,
            Exit::Burning => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
