//! The operators' command line.
//!
//! Each command is a function from its options to an [`Output`]: the result as text and as JSON,
//! and the exit code.
//!
//! * [`cli`]: definitions of commands and flags.
//! * [`exit`]: the exit codes.
//! * [`output`]: the result of a command, rendered as text or JSON.
//! * [`run`]: dispatches a parsed command line and writes the output.
//! * [`clock`]: the clock that commands use; tests replace it.
//! * [`progress`]: a spinner on terminals while a command waits.
//! * [`propose`]: appends a record and reads the verdict on it.
//! * [`check`], [`diff`], [`publish`]: check, compare and publish fleet files.
//! * [`history`]: searches the records that the log still keeps.
//! * [`keys`]: creates and withdraws keys.
//! * [`entry`]: client of the administration API of entry instances.
//! * [`status`], [`maintain`], [`report`]: status, maintenance and reports of the fleet.
//! * [`job`]: submits, lists, shows and cancels batch jobs.
//! * [`generate`]: shell completions and man pages.

pub mod check;
pub mod cli;
pub mod clock;
pub mod diff;
pub mod entry;
pub mod exit;
pub mod generate;
pub mod history;
pub mod job;
pub mod keys;
pub mod maintain;
pub mod output;
pub mod progress;
pub mod propose;
pub mod publish;
pub mod report;
pub mod run;
pub mod status;

pub use cli::Cli;
pub use exit::Exit;
pub use output::Output;
