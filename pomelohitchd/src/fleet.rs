//! The daemon on the users' platform: entry instances that elect one of them as leader, which
//! schedules jobs on endpoints.
//!
//! Every entry instance accepts callers' requests and forwards them to the leader. The leader
//! keeps all jobs in memory and writes each change to the platform's store before it acts on it,
//! so that any other entry instance can take over from the stored records. See
//! `docs/design/on-the-platform.md`.
//!
//! * [`clock`]: monotonic time that includes the time that the machine is suspended.
//! * [`shared`]: state shared between the threads of one process.
//! * [`wire`]: messages between entry instances.
//! * [`peers`]: calls to other entry instances.
//! * [`members`]: reads the members and their leader from the store.
//! * [`election`]: detects a silent leader and takes over.
//! * [`succession`]: decides which member should lead.
//! * [`internal`]: serves other entry instances.
//! * [`callers`]: serves callers.
//! * [`forwarding`]: forwards callers' requests to the leader.
//! * [`calls`]: calls to endpoints.
//! * [`relay`]: calls to endpoints that other members make for the leader.
//! * [`leader`]: the tasks of the leader.
//! * [`logs`]: bounded, non-blocking log output.
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
