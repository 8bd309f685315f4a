//! A model of leaderships: who may renew leases, and who may conclude that they have expired.
//!
//! A few members share a store and one endpoint, at which a task runs as long as its lease lasts.
//! The leader renews the lease; a later leader starts the task elsewhere once it concludes that the
//! leases of former leaders have expired. [`Rules`] says when a leader may renew and when a later
//! one may conclude that. The check explores every interleaving of steps within the bounds of a
//! [`Scenario`].
//!
//! Every message may be lost, delayed or not sent, in any order. This covers all cuts between
//! members, the store and the endpoint, and all pauses of processes. Time passes in ticks; only ages
//! are kept, so that the number of states is finite.
//!
//! * [`rules`]: when leaders renew leases and when they count as expired.
//! * [`scenario`]: bounds of the exploration.
//! * [`set`]: sets of members.
//! * [`world`]: state of members, store and endpoint.
//! * [`conclusion`]: what a leader concludes from answers.
//! * [`step`]: all transitions.
//! * [`mod@check`]: breadth-first search.

pub mod check;
pub mod conclusion;
pub mod rules;
pub mod scenario;
pub mod set;
pub mod step;
pub mod world;

pub use check::{can_take_over, check};
pub use rules::Rules;
pub use scenario::Scenario;
pub use step::Step;
pub use world::{Promise, World};
