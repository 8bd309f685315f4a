//! Definitions of commands and flags.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use pomelohitch_core::id::{KeyHash, Offset};

use crate::job::JobArgs;
use crate::maintain::MaintainCommand;
use crate::output::Format;
use crate::report::ReportCommand;

/// Operates a fleet with pomelohitch.
///
/// Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command line; 3 not known whether a
/// change comes into force; 4 log or entry instance unreachable, nothing changed; 5 a service
/// burns its error budget too fast (`report burn --fail-on-burn`).
#[derive(Debug, Parser)]
#[command(name = "pomelohitch", version)]
pub struct Cli {
    /// Options that most commands share.
    #[command(flatten)]
    pub common: Common,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options that most commands share.
#[derive(Debug, Clone, Args)]
pub struct Common {
    /// Output format
    #[arg(long, global = true, value_enum, default_value_t)]
    pub format: Format,
    /// Address of the platform's log, <http://IP:PORT>
    #[arg(long, global = true, env = "POMELOHITCH_LOG_URL")]
    pub log_url: Option<Box<str>>,
    /// Address of an entry instance's operators' port, <http://IP:PORT>; several are separated by
    /// commas and tried in turn
    #[arg(
        long,
        global = true,
        env = "POMELOHITCH_ADMIN_URL",
        value_delimiter = ','
    )]
    pub admin_url: Vec<Box<str>>,
    /// The operators' key; set it in the environment, as other users can see the command line
    #[arg(
        long,
        global = true,
        env = "POMELOHITCH_ADMIN_KEY",
        hide_env_values = true
    )]
    pub admin_key: Option<Box<str>>,
    /// Timeout of one call, in milliseconds
    #[arg(
        long,
        global = true,
        env = "POMELOHITCH_TIMEOUT_MS",
        default_value_t = 2000
    )]
    pub timeout_ms: u64,
    /// How long to wait for the verdict on a change, in seconds
    #[arg(long, global = true, env = "POMELOHITCH_LIMIT_S", default_value_t = 30)]
    pub limit_s: u64,
    /// Name of the operator that is recorded with a change
    #[arg(
        long,
        global = true,
        env = "POMELOHITCH_OPERATOR",
        default_value = "operator"
    )]
    pub by: Box<str>,
}

impl Common {
    /// Timeout of one call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How long to wait for the verdict on a change.
    #[must_use]
    pub fn limit(&self) -> Duration {
        Duration::from_secs(self.limit_s)
    }
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check the fleet files below TREE; with --log-url also against the files of other trees
    Check {
        /// Directory of the fleet files
        tree: PathBuf,
    },
    /// Show what a publish of TREE would change
    Diff {
        /// Directory of the fleet files
        tree: PathBuf,
        /// Write the versions in force to TREE/pomelohitch.lock; review the differences first
        #[arg(long)]
        rebase: bool,
    },
    /// Put the fleet files below TREE in force, all of them or none
    Publish {
        /// Directory of the fleet files
        tree: PathBuf,
        /// Base the changes on the versions in force at this offset instead of those in the lock
        #[arg(long, value_name = "OFFSET")]
        base: Option<Offset>,
    },
    /// Create and withdraw keys
    Keys {
        /// The command to run.
        #[command(subcommand)]
        command: KeysCommand,
    },
    /// Show members, pools, waves, teams and what waits; asks --admin-url, else reads the log
    Status,
    /// Start, pause and resume maintenance
    Maintain {
        /// The command to run.
        #[command(subcommand)]
        command: MaintainCommand,
    },
    /// Report service-level burn, or activity of the fleet
    Report {
        /// The report to make.
        #[command(subcommand)]
        command: ReportCommand,
    },
    /// Submit, list, show and cancel batch jobs at an entry instance's callers' port
    Job(JobArgs),
    /// Write shell completions to standard output
    Completions {
        /// The shell
        #[arg(value_enum)]
        shell: Shell,
    },
    /// Write man pages to a directory
    Man {
        /// Directory to write to; it must exist
        dir: PathBuf,
    },
}

/// Commands for keys.
#[derive(Debug, Subcommand)]
pub enum KeysCommand {
    /// Create a key for a team or for operators; it is shown once and not stored
    New,
    /// Withdraw a key permanently; every entry instance refuses it within seconds
    Withdraw {
        /// Hash of the key; without it the key is read from standard input, which keeps it out of
        /// the process list and the shell's history
        #[arg(long)]
        hash: Option<KeyHash>,
    },
}
