//! The daemon on the users' platform: entry instances that elect a leader among them, which
//! schedules jobs on endpoints.
//!
//! Every entry instance takes callers and passes their requests to the leader. The leader keeps
//! all jobs in memory and writes each change into the platform's store before it acts on it, so
//! that any other entry instance can take over from the records. See
//! `docs/design/on-the-platform.md`.
//!
//! * [`clock`]: time that also counts while the machine is suspended.
//! * [`shared`]: state shared between the threads of one process.
//! * [`wire`]: messages between entry instances.
//! * [`peers`]: calls to other entry instances.
//! * [`members`]: follows the members and their leader in the store.
//! * [`election`]: notices that the leader is silent and takes over.
//! * [`succession`]: which member should lead.
//! * [`internal`]: serves other entry instances.
//! * [`callers`]: serves callers.
//! * [`forwarding`]: passes requests of callers on to the leader.
//! * [`calls`]: calls to endpoints.
//! * [`relay`]: calls to endpoints that other members carry.
//! * [`leader`]: the work of the leader.
//! * [`logs`]: log lines, bounded and without blocking.
//! * [`lifecycle`]: start, graceful shutdown, exit codes.

pub mod callers;
pub mod calls;
pub mod clock;
pub mod election;
pub mod forwarding;
pub mod internal;
pub mod leader;
pub mod lifecycle;
pub mod logs;
pub mod members;
pub mod peers;
pub mod relay;
pub mod shared;
pub mod succession;
pub mod wire;
