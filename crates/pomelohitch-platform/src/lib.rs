//! Clients of the platform's log, instances and workers over HTTP.
//!
//! Each client is a struct of closures, so that tests can replace the HTTP calls by functions, and
//! so that only this crate changes when the platform's real protocol is known. The current protocol
//! is described in `docs/PLATFORM.md`.
//!
//! Calls block, and each has a timeout. An error names the step and the peer, and says whether the
//! call may have had an effect.

pub mod error;
pub mod follower;
pub mod http;
pub mod instances;
pub mod log;
pub mod snapshots;
pub mod workers;

pub use error::{Effect, Error, Result};
pub use follower::Follower;
pub use instances::Instances;
pub use log::Log;
pub use workers::Workers;
