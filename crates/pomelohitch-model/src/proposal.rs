//! Compact representation of records, and their conversion to real ones.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::{InstanceId, Offset, RecordId};
use pomelohitch_core::record::{
    Body, DrainPurpose, FileChange, FleetDecision, FleetStep, Publish, Record, TakeTerm,
    WithdrawKey,
};

/// The key whose withdrawal is modelled.
pub const KEY: &str = "key";
/// The file that operators publish concurrently.
pub const FILE: &str = "file";
/// The pool whose service has an availability budget.
pub const WEB: &str = "web";
/// The pool to which instances move.
pub const SPARE: &str = "spare";

/// A record that a node has sent to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal {
    /// The node that sent it.
    pub by: usize,
    /// The offset that the proposer would read next.
    pub after: Offset,
    /// The proposed change.
    pub what: Payload,
}

/// The change that a proposal makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// An operator replaces [`FILE`].
    Publish {
        /// Index of the operator.
        operator: usize,
        /// The file version that the change is based on.
        base: Offset,
    },
    /// [`KEY`] is withdrawn.
    Withdraw,
    /// The proposing node takes over planning.
    TakeTerm {
        /// The new term.
        term: u64,
    },
    /// A planner's decision about an instance.
    Fleet {
        /// The term.
        term: u64,
        /// Index of the instance.
        instance: usize,
        /// Start offset of the phase that the decision is based on.
        since: Offset,
        /// The decided change.
        change: Change,
    },
}

/// A planner's decision about one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Drain it for a move to [`SPARE`].
    Drain,
    /// The drain is complete.
    Drained,
    /// It returns to service.
    Return,
    /// It has failed.
    Fail,
}

/// Returns the member id of a node.
#[must_use]
pub fn member(node: usize) -> Box<str> {
    format!("n{node}").into()
}

/// Returns the id of an instance.
#[must_use]
pub fn instance(i: usize) -> InstanceId {
    format!("i{i}").into()
}

/// Returns content of [`FILE`] with `n` as the team's limit, so that versions differ.
#[must_use]
pub fn file(n: u32) -> FleetFile {
    FleetFile {
        teams: vec![Team {
            id: "team".into(),
            share: 1,
            limit: n,
            keys: vec![KEY.into()],
        }],
        ..FleetFile::default()
    }
}

/// Returns a configuration of both pools and a service with the availability budget
/// `min_available`.
#[must_use]
pub fn pools(min_available: u32) -> FleetFile {
    let pool = |id: &str| Pool {
        id: id.into(),
        spare: false,
        floor: 0,
    };
    let service = Service {
        id: "shop".into(),
        pool: WEB.into(),
        min_available,
        slots: 1,
        connections: 1,
        timeout: Duration::ZERO,
        longest_run: Duration::ZERO,
        queue: 1,
        objective: None,
    };
    FleetFile {
        pools: vec![pool(WEB), pool(SPARE)],
        services: vec![service],
        ..FleetFile::default()
    }
}

impl Proposal {
    /// Returns the record id, which is the same when a proposal is sent again.
    #[must_use]
    pub fn id(&self) -> RecordId {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        RecordId::from_u128(u128::from(hasher.finish()))
    }

    /// Converts the proposal to a real record; node `n` has incarnation `n`.
    #[must_use]
    pub fn record(&self) -> Record {
        Record {
            id: self.id(),
            after: self.after,
            at: Duration::ZERO,
            by: member(self.by),
            body: self.body(),
        }
    }

    fn body(&self) -> Body {
        match self.what {
            Payload::Publish { operator, base } => {
                let change = FileChange {
                    base: Some(base),
                    file: Some(file(u32::try_from(operator).unwrap_or(0) + 2)),
                };
                Body::Publish(Publish {
                    changes: [(FILE.into(), change)].into(),
                })
            }
            Payload::Withdraw => Body::WithdrawKey(WithdrawKey { key: KEY.into() }),
            Payload::TakeTerm { term } => Body::TakeTerm(TakeTerm {
                member: member(self.by),
                incarnation: self.by as u64,
                term,
            }),
            Payload::Fleet {
                term,
                instance: i,
                since,
                change,
            } => Body::Fleet(FleetDecision {
                term,
                step: step(instance(i), since, change),
            }),
        }
    }
}

fn step(instance: InstanceId, since: Offset, change: Change) -> FleetStep {
    match change {
        Change::Drain => FleetStep::Drain {
            instance,
            since,
            purpose: DrainPurpose::MoveTo(SPARE.into()),
        },
        Change::Drained => FleetStep::Drained { instance, since },
        Change::Return => FleetStep::Return { instance, since },
        Change::Fail => FleetStep::Fail { instance, since },
    }
}
