//! Pools, moves and maintenance waves: what a planner decides, as pure functions.
//!
//! A [`Planner`] is told the state of the log, what the platform shows and the time, and says what
//! to propose and which effects of accepted records to ask the platform for. It does no I/O and reads
//! no clock, so that it runs in virtual time in tests and measurements. Whatever it decides is only
//! a proposal: the fold judges it again at its own offset, so a planner that is wrong or late wastes
//! work and breaks nothing.
//!
//! * [`planner`]: one look, from state and list to decisions and effects.
//! * [`observe`]: what a planner is told.
//! * [`memory`]: since when something has been so.
//! * [`pools`]: one pass over all instances that the decisions share.
//! * [`reconcile`]: instances that came, went, failed or are elsewhere than thought.
//! * [`waves`]: which instances to maintain next.
//! * [`demand`]: from measured load to instances needed.
//! * [`moves`]: which instances go to another pool.
//! * [`effects`]: what the platform is asked for, and what its answer means.

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
