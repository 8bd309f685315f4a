//! Small stand-ins of the platform for tests and the local fleet; never a dependency of the binaries.
//!
//! Each stand-in listens on an ephemeral loopback port, implements the protocol of
//! `docs/PLATFORM.md`, and has a handle with its faults and its ledger. Dropping the handle ends it
//! and closes its connections. Faults and ledger are also available over HTTP at a control address:
//! `POST /faults` with a JSON object replaces all faults, `GET /ledger` returns the ledger.
//!
//! * [`server`]: the loopback HTTP server, which can also drop, truncate and withhold answers.
//! * [`faults`]: faults that the stand-ins share, and the server of the control address.
//! * [`log`]: the append-only log.
//! * [`instances`]: pools of instances, listed with a delay.
//! * [`workers`]: workers that run tasks under leases.
//! * [`runner`]: an endpoint's runner, with a ledger of the requests that it ran.
//!
//! For tests with real processes and for the local fleet:
//!
//! * [`daemon`]: an entry instance's process.
//! * [`config`]: a small configuration.
//! * [`caller`], [`load`] and [`jobs`]: send requests and jobs, and record the outcome of each.
//! * [`tally`]: compares the outcomes with the runners' ledgers.

pub mod caller;
pub mod config;
pub mod daemon;
pub mod faults;
pub mod instances;
pub mod jobs;
pub mod load;
pub mod log;
pub mod runner;
pub mod server;
pub mod tally;
pub mod workers;

pub use daemon::Daemon;
pub use faults::CallFaults;
pub use instances::Instances;
pub use log::Log;
pub use runner::Runner;
pub use tally::Tally;
pub use workers::Workers;
