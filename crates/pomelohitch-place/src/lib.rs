//! Placement of batch jobs on workers.
//!
//! [`Planner`] does no I/O and reads no clock: it takes changes of workers, teams and jobs and the
//! current time, and returns a [`Decision`]. The same inputs in the same order give the same
//! decisions. A decision doesn't scan all workers or jobs: its cost depends mainly on the changes
//! since the previous one and on the number of teams. All indices are rebuilt when workers are
//! added, removed, or changed in capacity or rack.
//!
//! * [`worker`]: the planner's input for a worker.
//! * [`index`]: finds workers with enough free capacity without a scan of all workers.
//! * [`sizes`]: estimates resources and run times of job classes from past usage.
//! * [`health`]: detects faulty workers by their failures.
//! * [`planner`]: the accounting and the decisions.

#![deny(missing_docs, rust_2018_idioms)]

pub mod health;
pub mod index;
pub mod planner;
pub mod sizes;
pub mod worker;

pub use planner::{Decision, Options, Planner};
pub use worker::Worker;
