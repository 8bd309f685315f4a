//! A model of the core protocol, checked exhaustively over the real fold.
//!
//! The model has two entry instances, a few operators, a log, and a platform with a few instances.
//! The check explores every interleaving of their steps within the bounds of a [`Scenario`].
//! Records are evaluated by the real [`pomelohitch_core::State::apply`]. Each invariant is a
//! [`Promise`]; for a broken one the check reports a shortest sequence of steps that breaks it. A
//! [`Mutant`] disables one mechanism, to verify that the check finds the resulting fault.
//! [`leadership`] is a separate model, of leases and changes of leader. `docs/PROTOCOL.md` describes
//! what is modelled and what is not.
//!
//! * [`proposal`]: compact records, and their conversion to real ones.
//! * [`world`]: state of the whole system.
//! * [`scenario`]: bounds of the exploration, and mutants.
//! * [`step`]: all transitions, and the implementation of those of the log.
//! * [`planning`]: transitions of planners and the platform.
//! * [`reading`]: transitions of readers: read, restart, load snapshots, pause.
//! * [`publishing`]: transitions of operators.
//! * [`promise`]: invariants that must hold in every state.
//! * [`check`]: breadth-first search.
//! * [`leadership`]: leases and changes of leader.

pub mod check;
pub mod leadership;
pub mod planning;
pub mod promise;
pub mod proposal;
pub mod publishing;
pub mod reading;
pub mod scenario;
pub mod step;
pub mod world;

pub use check::{Outcome, check};
pub use promise::Promise;
pub use scenario::{Mutant, Scenario};
pub use world::World;
