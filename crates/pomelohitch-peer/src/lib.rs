//! Links between entry instances: heartbeats and bad news over capnp-rpc.
//!
//! One thread runs a current-thread runtime with everything that has to do with peers; the rest
//! of the process talks to it over a channel and closures. Closing the channel ends the thread.
//!
//! * [`message`]: what is said, as plain types.
//! * [`permits`]: permits and claims, as plain types.
//! * [`links`]: the thread, one task for each peer, reconnecting links that went silent.

// The schema compiler's output is kept as it comes.
#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, missing_docs, unused_qualifications)]
#[allow(rust_2018_idioms)]
#[rustfmt::skip]
mod link_capnp;
pub mod links;
pub mod message;
pub mod permits;

pub use links::{Call, Command, Commands, Handlers, Heard, Links, Peer, Settings};
pub use message::Heartbeat;
