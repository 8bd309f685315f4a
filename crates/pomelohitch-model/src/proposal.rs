//! Records in short, and the real ones they stand for.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::{InstanceId, Offset, RecordId};
use pomelohitch_core::record::{
    Body, DrainPurpose, FileChange, FleetDecision, FleetStep, Publish, Record, TakeTerm,
    WithdrawKey,
};

/// The one key whose withdrawal is modelled.
pub const KEY: &str = "key";
/// The one file over which operators race.
pub const FILE: &str = "file";
/// The pool whose service has a budget.
pub const WEB: &str = "web";
/// The pool to which instances move.
pub const SPARE: &str = "spare";

/// A record that somebody sent to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal {
    /// Which node sent it.
    pub by: usize,
    /// The proposer's next offset to read.
    pub after: Offset,
    /// What it proposes.
    pub what: Payload,
}

/// What is proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Payload {
    /// An operator replaces [`FILE`].
    Publish {
        /// Which operator.
        operator: usize,
        /// The version it started from.
        base: Offset,
    },
    /// [`KEY`] is withdrawn.
    Withdraw,
    /// The proposing node wants to plan.
    TakeTerm {
        /// The term.
        term: u64,
    },
    /// The planner decides about an instance.
    Fleet {
        /// The term.
        term: u64,
        /// Which instance.
        instance: usize,
        /// The phase that was judged.
        since: Offset,
        /// What is decided.
        change: Change,
    },
}

/// What a planner decides about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// Drain it, to move it to [`SPARE`].
    Drain,
    /// Nothing runs on it.
    Drained,
    /// It takes work again.
    Return,
    /// It is lost.
    Fail,
}

/// The id of a node as a member.
#[must_use]
pub fn member(node: usize) -> Box<str> {
    format!("n{node}").into()
}

/// The id of an instance.
#[must_use]
pub fn instance(i: usize) -> InstanceId {
    format!("i{i}").into()
}

/// The content of [`FILE`] as operator `n` wants it; each has a limit of its own.
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

/// The pools, and a service of which `min_available` instances have to stay.
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
    /// Sending the same proposal again gives the same id.
    #[must_use]
    pub fn id(&self) -> RecordId {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        RecordId::from_u128(u128::from(hasher.finish()))
    }

    /// The record that it stands for; node `n` has incarnation `n`.
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
