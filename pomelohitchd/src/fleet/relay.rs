//! Calls to endpoints that another member carries for the leader.
//!
//! The leader decides each call and is told how it ended, as if it had made it; a member that
//! carries calls decides nothing and keeps nothing. To the scheduler a relayed call is one over a
//! longer way: its answer may be lost, and an order may be carried out late.
//!
//! * [`message`]: what the two tell each other.
//! * [`listing`]: what an endpoint runs, as changes from poll to poll.
//! * [`jobs`]: descriptions of jobs, sent once.
//! * [`server`]: carries calls.
//! * [`client`]: hands calls in.

pub mod client;
pub mod jobs;
pub mod listing;
pub mod message;
pub mod server;
