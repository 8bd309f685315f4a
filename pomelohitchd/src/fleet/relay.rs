//! Relayed calls: calls to endpoints that another member makes for the leader.
//!
//! The leader decides on each call and receives its result, as if it had made the call itself; the
//! relay makes no decisions and stores nothing. To the scheduler, a relayed call only takes a
//! longer path: its answer may be lost, and an order may be executed late.
//!
//! * [`message`]: messages between the leader and a relay.
//! * [`listing`]: delta encoding of the runs that an endpoint lists in each poll.
//! * [`spec_cache`]: cache of job specifications, each of which is sent once.
//! * [`server`]: the relay's side.
//! * [`client`]: the leader's side.

pub mod client;
pub mod listing;
pub mod message;
pub mod server;
pub mod spec_cache;
