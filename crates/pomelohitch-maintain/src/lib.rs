//! Planning of instance pools, moves between pools and maintenance waves, without I/O.
//!
//! In each planning pass a [`Planner`] takes the folded log, the platform's instance list and the
//! time, and returns decisions to propose and platform effects that accepted records require. It
//! reads no clock, so tests and benchmarks run it in virtual time. Decisions are only proposals:
//! the fold validates each one again at its own offset, so a wrong or outdated planner causes
//! rejected records but no invalid state.
//!
//! * [`planner`]: a planning pass, its options and its result.
//! * [`observe`]: the input of a planning pass.
//! * [`conditions`]: how long a condition has held without interruption.
//! * [`pools`]: per-pool view of the instances, shared by all decisions of a pass.
//! * [`reconcile`]: compares the instances in the log with the platform's list.
//! * [`waves`]: selects the instances to maintain next.
//! * [`demand`]: converts measured load into a required number of instances.
//! * [`moves`]: moves instances between pools.
//! * [`effects`]: platform calls that accepted records require.

pub mod conditions;
pub mod demand;
pub mod effects;
pub mod moves;
pub mod observe;
pub mod planner;
pub mod pools;
pub mod reconcile;
pub mod waves;

pub use observe::Observation;
pub use planner::{Decision, Options, Plan, Planner};
