//! Messages between entry instances, and the records by which they know each other.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_sched::{Epoch, UnixMs};
use serde::{Deserialize, Serialize};

/// Path of [`Beat`].
pub const BEAT: &str = "/beat";
/// Path of [`Probe`].
pub const PROBE: &str = "/probe";
/// Path of a request to take the leadership over now; no body.
pub const CLAIM: &str = "/claim";
/// Before the path of a caller's request that is passed on.
pub const CALL: &str = "/call";
/// The host that a caller named, on a request that is passed on.
pub const CALLER_HOST: &str = "X-Caller-Host";
/// On a request that is passed on: the epoch of the leader that it is for. No other leadership takes
/// it, so that one that arrives late has no effect once a later leader has answered.
pub const FOR_EPOCH: &str = "X-For-Epoch";
/// On a POST that is passed on without its body: only whether the job was accepted before is asked.
pub const CONFIRM: &str = "X-Confirm";
/// On an answer to a request that was passed on: the epoch of the leader that gave it. An answer
/// without it comes from a process that doesn't lead, or not any more, and didn't touch it.
pub const LEADER_EPOCH: &str = "X-Leader-Epoch";

/// On a refusal of a request that was passed on: for how many milliseconds the other jobs of its queue
/// are refused, too.
pub const QUEUE_REFUSED_MS: &str = "X-Queue-Refused-Ms";

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Which leadership.
    pub epoch: Epoch,
    /// Whose.
    pub member: Box<str>,
    /// Where it takes calls of other entry instances.
    pub addr: SocketAddr,
    /// When its process started, milliseconds since 1970.
    pub began_ms: u64,
}

/// The leader's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Who sends it.
    pub leader: Leader,
    /// The fleet's time, milliseconds since 1970, if it is known yet.
    pub fleet_ms: Option<UnixMs>,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatReply {
    /// The highest epoch that the member knows.
    pub epoch: Epoch,
}

/// Asks a member what it knows of leader and store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Whether to try the store.
    pub with_store: bool,
}

/// A probed member tries the store for so long: a store that is only slow has answered by then.
pub const STORE_TRY_WITHIN: Duration = Duration::from_millis(500);
/// A probe that has the store tried is answered within this time, also while the store is silent.
pub const STORE_PROBE_WITHIN: Duration = Duration::from_millis(850);

/// Asks a member to take over the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Whether the former leader has ended and sends nothing more. If not, whoever asks only leaves
    /// the leadership to the member that it asks, and the former leader may still be at work.
    pub has_ended: bool,
}

/// Answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The highest epoch that the member knows.
    pub epoch: Epoch,
    /// How long ago it heard the leader of that epoch, milliseconds.
    pub heard_ms: u64,
    /// Whether it reaches the store, if it was to try.
    pub has_store: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How long its process has been running, milliseconds.
    pub up_ms: u64,
    /// Its processors, thousandths of a core.
    pub power: u32,
}

/// A member's record; its key is [`member_key`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes calls of other entry instances.
    pub addr: SocketAddr,
    /// Its processors, thousandths of a core.
    pub power: u32,
    /// When its process started, milliseconds since 1970.
    pub began_ms: u64,
}

/// The leader's sign of life in the store, for members that its heartbeats don't reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alive {
    /// Which leadership.
    pub epoch: Epoch,
    /// Counts the signs.
    pub count: u64,
    /// The fleet's time, milliseconds since 1970, if it is known yet.
    pub fleet_ms: Option<UnixMs>,
}

/// Key of the record of who leads.
pub const LEADER_KEY: &str = "leader";
/// Key of the leader's sign of life.
pub const ALIVE_KEY: &str = "alive";
/// What the key of a member's record begins with.
const MEMBER_PREFIX: &str = "member.";

/// Key of a member's record.
#[must_use]
pub fn member_key(member: &str) -> Box<str> {
    format!("{MEMBER_PREFIX}{member}").into()
}

/// The member that a key names.
#[must_use]
pub fn member_of(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}
