//! The fold over the records of the log, and the [`State`] that it produces.
//!
//! The state changes only in [`State::apply`] and [`State::skip`]. The rules for each part of the
//! state are in a module of their own: `publish` with [`config`](crate::config) for publishes,
//! [`members`], [`fleet`], [`waves`], [`jobs`] and [`limits`].

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Config, Fault};
use crate::id::{FilePath, InstanceId, KeyHash, Offset, PoolId, RecordId, ServiceId, Term};
use crate::record::{Body, Record};

pub mod fleet;
pub mod jobs;
pub mod limits;
pub mod members;
mod publish;
mod seen;
pub mod waves;

pub use fleet::{Fleet, Instance, Phase};
pub use jobs::{JobState, Jobs};
pub use limits::Limits;
pub use members::{Member, Members};
use seen::Seen;
pub use waves::{Wave, Waves};

/// Maximum number of offsets between [`Record::after`] and the offset of the record itself. Record
/// ids are kept for the same number of offsets, so every repeat is detected: either its id is still
/// known, or the record is rejected as [`Rejection::TooLate`].
pub const REPEAT_WINDOW: Offset = 16_384;

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// A record with the same id is at this earlier offset; this copy has no effect.
    Repeat(Offset),
    /// The state at the record's offset doesn't allow it; the record has no effect.
    Rejected(Rejection),
}

/// Reason for which a record was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The record's offset is more than [`REPEAT_WINDOW`] past its [`Record::after`].
    TooLate,
    /// [`Record::after`] is past the record's own offset: the log has lost records that the
    /// proposer had read.
    AheadOfLog,
    /// A file in the publish was changed or removed after the operator read it.
    BaseChanged {
        /// The file.
        path: FilePath,
        /// The version in force, as the offset of its publish; `None` if the file doesn't exist.
        version: Option<Offset>,
    },
    /// The resulting set of files would violate these rules.
    Invalid(Vec<Fault>),
    /// The publish removes a pool that has instances, or to which instances are moving.
    PoolInUse(PoolId),
    /// The member is unknown, or the incarnation is not its current one.
    NotMember,
    /// The decision's term is not in force, or the term to take is not the next one.
    StaleTerm {
        /// The term in force.
        current: Term,
    },
    /// The fleet has no instance with this id.
    UnknownInstance(InstanceId),
    /// The instance is already in this pool.
    AlreadyIn(PoolId),
    /// No fleet file declares this pool.
    UnknownPool(PoolId),
    /// The step isn't allowed in the instance's current phase, which is this one.
    WrongPhase(Phase),
    /// The instance entered its current phase at this offset, after the state on which the planner
    /// based its decision.
    PhaseChanged(Offset),
    /// The instance was forgotten at this offset, which the proposer of the adoption hadn't read.
    Forgotten(Offset),
    /// The drain would violate the availability budget of a service.
    BudgetBroken {
        /// The service.
        service: ServiceId,
        /// Number of instances that would remain active.
        left: u32,
        /// Number of instances that must remain active.
        min_available: u32,
    },
    /// The move would leave the pool with fewer instances than its floor.
    FloorBroken {
        /// The pool.
        pool: PoolId,
        /// Number of instances that would remain in the pool.
        left: u32,
        /// Number of instances that must remain in the pool.
        floor: u32,
    },
    /// An operator paused maintenance in the pool or in all pools.
    Paused,
    /// The pool already has a wave, started at this offset.
    WaveRunning(Offset),
    /// The pool has no such wave, or the wave doesn't cover the instance.
    NotInWave,
    /// The wave would affect more racks or availability zones at once than its limits allow.
    TooWide,
    /// The wave still covers instances that have not been maintained.
    WaveUnfinished,
    /// Another decision about jobs, unknown to the proposer, was accepted at this offset.
    DecisionOvertaken(Offset),
    /// The set of members changed at this offset, after the proposer's view.
    StaleEpoch(Offset),
    /// The split of the team's limit was last changed at this offset (`None` for never), which is
    /// not the version that the proposal is based on.
    BorderMoved(Option<Offset>),
    /// The jobs' part would be smaller than the number of active jobs, or larger than the limit.
    LimitBroken {
        /// Number of active jobs of the team.
        active: u32,
        /// Limit of the team.
        limit: u32,
    },
    /// No fleet file declares the team.
    UnknownTeam,
}

/// Result type of this module; the error says why a record is rejected.
pub type Result<T, E = Rejection> = std::result::Result<T, E>;

/// State of the system after all records below [`next`](State::next).
///
/// The parts are behind `Arc`: cloning the state for a reader copies a few pointers, and applying a
/// record copies only the parts that it changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    pub next: Offset,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// Hashes of the keys that are withdrawn permanently, even if a fleet file lists them.
    pub withdrawn: Arc<BTreeSet<KeyHash>>,
    /// Entry instances and the planner's term.
    pub members: Arc<Members>,
    /// Instances of all pools.
    pub fleet: Arc<Fleet>,
    /// Maintenance waves and pauses.
    pub waves: Arc<Waves>,
    /// Batch jobs.
    pub jobs: Arc<Jobs>,
    /// Split of each team's limit between requests and jobs.
    pub limits: Arc<Limits>,
    /// Ids of the records in the last [`REPEAT_WINDOW`] offsets.
    seen: Seen,
}

impl State {
    /// Applies the record at `offset` and returns whether it took effect.
    ///
    /// Deterministic: the same records at the same offsets produce the same state and verdicts in
    /// every process.
    ///
    /// # Panics
    /// If `offset` is below [`next`](State::next): records would be applied twice.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        assert!(
            offset >= self.next,
            "records must be applied in order: got offset {offset}, expected {} or later",
            self.next
        );
        self.next = offset + 1;
        if let Some(first) = self.seen.offset_of(&record.id) {
            return Verdict::Repeat(first);
        }
        if record.after > offset {
            return Verdict::Rejected(Rejection::AheadOfLog);
        }
        if offset.saturating_sub(record.after) > REPEAT_WINDOW {
            return Verdict::Rejected(Rejection::TooLate);
        }
        self.seen.insert(offset, record.id);
        match self.apply_body(offset, record) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        }
    }

    /// Advances past the record at `offset`, which this version can't decode; nothing else changes.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    fn apply_body(&mut self, offset: Offset, record: &Record) -> Result<()> {
        match &record.body {
            Body::Publish(publish) => self.publish(offset, publish),
            Body::WithdrawKey(withdraw) => {
                Arc::make_mut(&mut self.withdrawn).insert(withdraw.key.clone());
                Ok(())
            }
            Body::Join(join) => {
                Arc::make_mut(&mut self.members).join(offset, join);
                Ok(())
            }
            Body::Leave(leave) => Arc::make_mut(&mut self.members).leave(offset, leave),
            Body::TakeTerm(take) => Arc::make_mut(&mut self.members).take_term(take),
            Body::Fleet(decision) => {
                self.members.check_term(decision.term)?;
                self.apply_fleet_step(offset, record, &decision.step)
            }
            Body::Maintain(order) => self.apply_maintain_order(offset, record.at, order),
            Body::Job(job) => self.apply_job_record(offset, job),
            Body::DivideLimit(divide) => self.divide_limit(offset, divide),
        }
    }

    /// Offset of the record with this id, if it is within the last [`REPEAT_WINDOW`] offsets.
    #[must_use]
    pub fn offset_of(&self, id: &RecordId) -> Option<Offset> {
        self.seen.offset_of(id)
    }

    /// Team that owns the key with this hash; `None` if the key is unknown or withdrawn.
    #[must_use]
    pub fn team_of_key(&self, key: &str) -> Option<&crate::config::Team> {
        if self.withdrawn.contains(key) {
            return None;
        }
        let team = self.config.keys.get(key)?;
        self.config.teams.get(team)
    }
}
