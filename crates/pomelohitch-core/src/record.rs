//! Records of the log's `fleet` stream.
//!
//! Configuration and decisions share one stream. Some rules depend on both, for example that a
//! drain must not violate an availability budget. Two streams have no common order, so two readers
//! could come to different verdicts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::config::FleetFile;
use crate::id::{
    FilePath, Incarnation, InstanceId, KeyHash, MemberId, Offset, PoolId, RackId, RecordId, TeamId,
    Term, Timestamp, ZoneId,
};

pub mod job;

/// Name of the stream that the fold reads.
pub const FLEET_STREAM: &str = "fleet";

/// A record could not be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("could not decode a record: {source}"))]
pub struct DecodeError {
    source: serde_json::Error,
}

/// Result type of this module.
pub type Result<T, E = DecodeError> = std::result::Result<T, E>;

/// A proposal, as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the proposal, the same in every attempt to append it.
    pub id: RecordId,
    /// Next offset that the proposer had to read when it created the record. The record is rejected
    /// if its own offset is more than [`REPEAT_WINDOW`](crate::state::REPEAT_WINDOW) past this one,
    /// so record ids need to be kept only for that window.
    pub after: Offset,
    /// Time of the proposal.
    #[serde(with = "crate::millis")]
    pub at: Timestamp,
    /// Proposer: a member or an operator.
    pub by: Box<str>,
    /// Content of the proposal.
    pub body: Body,
}

impl Record {
    /// Encodes the record as JSON for the log.
    ///
    /// # Panics
    /// Never: serialisation can't fail for the types in a record.
    #[must_use]
    pub fn encode(&self) -> Box<str> {
        serde_json::to_string(self)
            .expect("all map keys serialise as strings")
            .into()
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    /// If `data` isn't a record of a kind that this version knows.
    pub fn decode(data: &str) -> Result<Record> {
        serde_json::from_str(data).context(DecodeSnafu)
    }
}

/// Content of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// An operator changes fleet files.
    Publish(Publish),
    /// An operator withdraws a key, even if a fleet file still lists it.
    WithdrawKey(WithdrawKey),
    /// An entry instance starts.
    Join(Join),
    /// An entry instance has stopped, or its peers consider it dead.
    Leave(Leave),
    /// A member becomes the planner.
    TakeTerm(TakeTerm),
    /// The planner decides about an instance or a wave.
    Fleet(FleetDecision),
    /// Maintenance is started, paused or resumed.
    Maintain(MaintainOrder),
    /// Batch jobs are submitted, cancelled, decided on or reported on.
    Job(job::JobRecord),
    /// The home of a team's permits changes the split of the team's limit.
    DivideLimit(DivideLimit),
}

/// Changes to fleet files, which take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Changes by path. Files that are not listed stay unchanged.
    pub changes: BTreeMap<FilePath, FileChange>,
}

/// Change of one fleet file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileChange {
    /// Version on which the change is based; `None` if the file didn't exist.
    pub base: Option<Offset>,
    /// New content; `None` removes the file.
    pub file: Option<FleetFile>,
}

/// Withdraws a key permanently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawKey {
    /// Hash of the key.
    pub key: KeyHash,
}

/// Starts a new incarnation of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Id of the member. A join under the same id ends the earlier incarnation.
    pub member: MemberId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for connections from peers.
    pub peer_addr: SocketAddr,
}

/// Ends an incarnation of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Id of the member.
    pub member: MemberId,
    /// Incarnation to end; a later one isn't affected.
    pub incarnation: Incarnation,
}

/// Makes a member the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeTerm {
    /// Id of the member.
    pub member: MemberId,
    /// Current incarnation of the member.
    pub incarnation: Incarnation,
    /// Term to begin. Rejected unless it is one more than the current term, so only one of several
    /// competing members succeeds.
    pub term: Term,
}

/// Changes the split of a team's limit between requests and jobs; see
/// [`limits`](crate::state::limits).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivideLimit {
    /// Id of the team.
    pub team: TeamId,
    /// Part of the limit for jobs; the rest is for requests.
    pub jobs: u32,
    /// Offset of the last membership change that the proposer knows. By that set of members, it is
    /// the home of the team's permits.
    pub epoch: Offset,
    /// Offset of the record that set the split on which this change is based; `None` if none did.
    pub base: Option<Offset>,
}

/// Decision of the planner about an instance or a wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDecision {
    /// Term in which the decision was made.
    pub term: Term,
    /// The decision.
    pub step: FleetStep,
}

/// One step of the planner for an instance or a wave.
///
/// `since` is the offset that began the phase (or wave) on which the decision is based. An append
/// can land long after it was sent: without `since`, a late `Return` would put an instance back to
/// work that has been drained again in the meantime.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetStep {
    /// Adds an instance from the platform's list, in the pool in which the platform has it.
    Adopt {
        /// Id of the instance.
        instance: InstanceId,
        /// Pool of the instance.
        pool: PoolId,
        /// Availability zone.
        zone: ZoneId,
        /// Rack, named within the availability zone.
        rack: RackId,
        /// Address at which the instance accepts requests.
        addr: SocketAddr,
    },
    /// Drains an instance: it gets no new work and finishes what it is running.
    Drain {
        /// Id of the instance.
        instance: InstanceId,
        /// Offset that began the phase on which the decision is based.
        since: Offset,
        /// Purpose of the drain.
        purpose: DrainPurpose,
    },
    /// Records that the platform confirmed that nothing runs on a draining instance.
    Drained {
        /// Id of the instance.
        instance: InstanceId,
        /// Offset that began the phase on which the decision is based.
        since: Offset,
    },
    /// Returns an instance to work after maintenance, a move or a cancelled drain.
    Return {
        /// Id of the instance.
        instance: InstanceId,
        /// Offset that began the phase on which the decision is based.
        since: Offset,
    },
    /// Records that an instance is lost: it failed, didn't come back, or isn't in the pool where it
    /// should be.
    Fail {
        /// Id of the instance.
        instance: InstanceId,
        /// Offset that began the phase on which the decision is based.
        since: Offset,
    },
    /// Removes an instance that failed or is leaving, because the platform no longer has it or it
    /// is to be adopted again.
    Forget {
        /// Id of the instance.
        instance: InstanceId,
        /// Offset that began the phase on which the decision is based.
        since: Offset,
    },
    /// Ends a wave; all instances that it covers have been maintained or lost.
    EndWave {
        /// Pool of the wave.
        pool: PoolId,
        /// Offset that started the wave.
        since: Offset,
    },
}

/// Purpose of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainPurpose {
    /// Maintenance: the instance reboots and returns to its pool.
    Maintain,
    /// Move to this other pool.
    MoveTo(PoolId),
    /// The platform announced that it takes the instance away.
    Leaving,
}

/// Starts, pauses or resumes maintenance. Proposed by an operator, or by the planner when
/// maintenance is due.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MaintainOrder {
    /// Starts a wave that maintains every instance currently in the pool once.
    Start {
        /// Pool to maintain.
        pool: PoolId,
        /// Limits on the failure domains affected at once.
        limits: WaveLimits,
    },
    /// Forbids drains that are for maintenance or for a move out of the pool, until resumed.
    Pause {
        /// Pool to pause; `None` for all pools.
        pool: Option<PoolId>,
    },
    /// Ends a pause. Resuming a single pool also resets the count of instances that its wave lost.
    Resume {
        /// Pool to resume; `None` ends the pause of all pools, but not pauses of single pools.
        pool: Option<PoolId>,
    },
}

/// Maximum number of failure domains in which a wave has instances in maintenance at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveLimits {
    /// Maximum number of racks; `None` for no limit.
    pub racks: Option<u32>,
    /// Maximum number of availability zones; `None` for no limit.
    pub zones: Option<u32>,
}

impl Default for WaveLimits {
    /// Two availability zones, so that the wave can continue in the next zone while the last
    /// instances of the previous one still reboot.
    fn default() -> Self {
        WaveLimits {
            racks: None,
            zones: Some(2),
        }
    }
}
