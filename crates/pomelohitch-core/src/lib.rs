//! Ids, records and the fold that every process of pomelohitch shares.
//!
//! The platform's append-only log is the only durable storage. Everything on which processes have
//! to agree is a [`Record`] in one stream of that log. Every process computes the same [`State`]
//! from the stream with [`State::apply`], a deterministic function without I/O or clock. A record
//! is a *proposal*: the fold accepts or rejects it according to the state at its own offset. So
//! proposals that race, or an append that took effect twice, can waste work but can't violate a
//! rule.
//!
//! * [`id`]: type aliases for ids, offsets and times.
//! * [`key`]: hashing and comparison of team API keys.
//! * [`config`]: teams, pools and services as declared in the fleet files.
//! * [`record`]: the records of the log.
//! * [`state`]: the fold, and the state that it produces.
//! * [`status`]: the status that operators see.
//! * [`snapshot`]: snapshots, for readers that can't read the log from its beginning.
//! * [`millis`]: serialisation of durations in milliseconds.

pub mod config;
pub mod id;
pub mod key;
pub mod millis;
pub mod record;
pub mod snapshot;
pub mod state;
pub mod status;

pub use config::{Config, FleetFile, Objective, Pool, Service, Team};
pub use record::{Body, Record};
pub use state::{Member, Rejection, State, Verdict};
