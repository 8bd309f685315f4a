//! Plays loads and faults against the scheduler in virtual time, and compares policies.
//!
//! * [`fleet`]: endpoints, instances, a log and callers around one scheduler.
//! * [`load`]: what comes in, and which faults strike; read from a file.
//! * [`arrivals`]: the jobs of a load, drawn from a seed.
//! * [`play`]: plays a load and counts what callers get.
//! * [`compare`]: two policies on the same seeds, with the interval of their difference.
//! * [`policies`]: policies by name.

pub mod arrivals;
pub mod compare;
pub mod fleet;
pub mod load;
pub mod play;
pub mod policies;
