//! Messages between entry instances, and their records in the store.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_adapter::records::is_callable;
use pomelohitch_sched::{Epoch, UnixMs};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Path of [`Heartbeat`].
pub const HEARTBEAT_PATH: &str = "/beat";
/// Path of [`Probe`].
pub const PROBE_PATH: &str = "/probe";
/// Path of [`Claim`], which has an empty reply.
pub const CLAIM_PATH: &str = "/claim";
/// Prefix of the path of a forwarded request.
pub const FORWARD_PREFIX: &str = "/call";
/// Header of a forwarded request: the `Host` header of the caller's request.
pub const CALLER_HOST_HEADER: &str = "X-Caller-Host";
/// Header of a forwarded request: epoch of the leader that it is for. Other leaderships reject it,
/// so that a request that arrives late has no effect once a later leader has answered.
pub const FOR_EPOCH_HEADER: &str = "X-For-Epoch";
/// Header of a POST that is forwarded without its body, to ask only whether the job was accepted
/// before.
pub const CONFIRM_HEADER: &str = "X-Confirm";
/// Header of an answer to a forwarded request: epoch of the leader that gave it. An answer without
/// it comes from a process that doesn't lead, or no longer does. It refused the request unexecuted
/// if the status is 4xx or 503; any other status leaves that open.
pub const LEADER_EPOCH_HEADER: &str = "X-Leader-Epoch";

/// Header of an answer to a forwarded request: `0` if neither this nor an earlier attempt has taken
/// effect, `1` if one may have.
pub const EFFECT_HEADER: &str = "X-Effect-Possible";

/// Header of a refusal of a forwarded request: for how many milliseconds all new jobs of its queue
/// are refused.
pub const QUEUE_REFUSED_MS_HEADER: &str = "X-Queue-Refused-Ms";

/// The leader, as announced in messages and in its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Epoch of its leadership.
    pub epoch: Epoch,
    /// Name of the member.
    pub member: Box<str>,
    /// Address for calls of other entry instances.
    pub addr: SocketAddr,
    /// When its process started, milliseconds since 1970.
    pub began_ms: u64,
    /// Smallest number of members, itself included, by which it or an earlier leader may be confirmed
    /// when it begins to lead.
    pub quorum: usize,
}

impl Leader {
    /// Whether its process has ended, by the record of its member. A record of an earlier process says
    /// nothing: a process may lead before it has registered.
    #[must_use]
    pub fn has_ended(&self, member: &Member) -> bool {
        member.began_ms > self.began_ms
    }
}

/// The leader's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub leader: Leader,
    /// The fleet's time, milliseconds since 1970, if it is known yet.
    pub fleet_ms: Option<UnixMs>,
    /// When it was sent, milliseconds of the sender's steady clock.
    pub sent_ms: u64,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The highest epoch that the member knows.
    pub epoch: Epoch,
    /// Whether it confirms that this is the leader of the heartbeat: it has read the leader's record
    /// since its process started.
    pub confirms: bool,
}

/// Answer to a heartbeat that arrived as a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The highest epoch that the member knows.
    pub epoch: Epoch,
    /// The member's address for calls of other entry instances.
    pub member: SocketAddr,
    /// [`Heartbeat::sent_ms`] of the heartbeat.
    pub sent_ms: u64,
    /// See [`HeartbeatReply::confirms`].
    pub confirms: bool,
}

/// Asks a member for its view of the leader and the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Whether to try the store.
    pub with_store: bool,
}

/// Timeout of a probed member's call to the store; a store that is merely slow answers in time.
pub const STORE_TRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a probe that includes a call to the store. Longer than [`STORE_TRY_TIMEOUT`], so that
/// the member's reply arrives even if the store doesn't answer it.
pub const STORE_PROBE_TIMEOUT: Duration = Duration::from_millis(850);

/// Asks a member to take over the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the leadership to take over. If a later one is known, the request is outdated.
    pub epoch: Epoch,
    /// Whether the former leader has stopped and sends nothing more. If not, the sender only cedes
    /// the leadership to the receiver, and the former leader may still be active.
    pub has_ended: bool,
}

/// Answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The highest epoch that the member knows.
    pub epoch: Epoch,
    /// Time since the member last heard from that leader, milliseconds; 0 if it leads.
    pub heard_ms: u64,
    /// Whether it reaches the store; false if it wasn't asked to try.
    pub has_store: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How long its process has been running, milliseconds.
    pub up_ms: u64,
    /// Its CPU capacity, thousandths of a core.
    pub power: u32,
}

/// A member's record, stored under [`member_key`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for calls of other entry instances.
    pub addr: SocketAddr,
    /// Its CPU capacity, thousandths of a core.
    pub power: u32,
    /// When its process started, milliseconds since 1970.
    pub began_ms: u64,
}

/// The leader's liveness record in the store, for members that its heartbeats don't reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessRecord {
    /// Epoch of the leadership.
    pub epoch: Epoch,
    /// Counts the updates of the record.
    pub count: u64,
    /// The fleet's time, milliseconds since 1970, if it is known yet.
    pub fleet_ms: Option<UnixMs>,
    /// Smallest number of members, the leader included, by which it or an earlier leader may be
    /// confirmed.
    pub quorum: usize,
}

/// Key of the record of the current leader, a [`Leader`].
pub const LEADER_KEY: &str = "leader";
/// Key of the leader's liveness record.
pub const LIVENESS_KEY: &str = "alive";
/// Prefix of the keys of members' records.
const MEMBER_PREFIX: &str = "member.";

/// Key of a member's record.
#[must_use]
pub fn member_key(member: &str) -> Box<str> {
    format!("{MEMBER_PREFIX}{member}").into()
}

/// The name of the member whose record has this key; `None` for other records.
#[must_use]
pub fn member_name(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}

/// A record of the topic of members, which another writer may have filled with any values.
pub trait CheckedRecord: DeserializeOwned {
    /// Whether a member can have written it.
    fn is_usable(&self) -> bool;

    /// Decodes a record of this or the former version.
    ///
    /// # Errors
    /// If the bytes are no such record.
    fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}

/// Quorum of a leader whose record has none: leaders of the former version needed no confirmation.
const FORMER_VERSION_QUORUM: usize = 1;

/// Largest epoch that a leader can have: one more for each change of leader, each second for a
/// century. Epochs are counted on from the one in the record.
const MAX_EPOCH: Epoch = u32::MAX as Epoch;
/// End of the year 9999, milliseconds since 1970.
const MAX_UNIX_MS: UnixMs = 253_402_300_799_999;

impl CheckedRecord for Leader {
    fn decode(bytes: &[u8]) -> postcard::Result<Leader> {
        postcard::from_bytes(bytes).or_else(|_| {
            let (epoch, member, addr, began_ms) = postcard::from_bytes(bytes)?;
            Ok(Leader {
                epoch,
                member,
                addr,
                began_ms,
                quorum: FORMER_VERSION_QUORUM,
            })
        })
    }

    fn is_usable(&self) -> bool {
        self.epoch <= MAX_EPOCH && is_callable(self.addr) && self.quorum > 0
    }
}

impl CheckedRecord for Member {
    fn is_usable(&self) -> bool {
        is_callable(self.addr)
    }
}

impl CheckedRecord for LivenessRecord {
    fn decode(bytes: &[u8]) -> postcard::Result<LivenessRecord> {
        postcard::from_bytes(bytes).or_else(|_| {
            let (epoch, count, fleet_ms) = postcard::from_bytes(bytes)?;
            Ok(LivenessRecord {
                epoch,
                count,
                fleet_ms,
                quorum: FORMER_VERSION_QUORUM,
            })
        })
    }

    fn is_usable(&self) -> bool {
        // Half of the epochs are left to later leaders, also if another writer named this one.
        self.epoch <= MAX_EPOCH / 2
            && self.fleet_ms.is_none_or(|ms| ms <= MAX_UNIX_MS)
            && self.quorum > 0
    }
}
