//! Plays loads and faults against the scheduler in virtual time, and compares policies.
//!
//! * [`fleet`]: endpoints, instances, a log and callers around one scheduler.
//! * [`load`]: load files with arrivals and faults.
//! * [`arrivals`]: random generation of a load's jobs from a seed.
//! * [`play`]: plays a load and computes how its jobs were served.
//! * [`compare`]: comparison of two policies on the same seeds, with confidence intervals.
//! * [`policies`]: policies by the names of their mechanisms and parameters.

pub mod arrivals;
pub mod compare;
pub mod fleet;
pub mod load;
pub mod play;
pub mod policies;
