//! Placement of batch jobs on workers.
//!
//! [`Planner`] does no I/O and reads no clock: it takes changes of workers, teams and jobs and the
//! current time, and returns a [`Decision`]. The same inputs in the same order give the same
//! decisions. The cost of a decision grows with the changes since the previous one, not with the
//! number of workers or jobs.
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
