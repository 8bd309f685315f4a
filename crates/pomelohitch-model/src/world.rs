//! One state of the whole system.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use pomelohitch_core::id::Offset;
use pomelohitch_core::record::{Body, FleetDecision, FleetStep, Join, Record, TakeTerm};
use pomelohitch_core::{State, Verdict};

use crate::promise::Promise;
use crate::proposal::{FILE, Proposal, WEB, file, instance, member, pools};
use crate::scenario::Scenario;
use crate::step::Step;

/// How many entry instances there are.
pub const NODES: usize = 2;
/// How many chunks a snapshot has.
pub const CHUNKS: usize = 2;

/// One state of the whole system.
#[derive(Debug, Clone)]
pub struct World {
    /// The state below the first record that the model appends.
    pub base: Arc<State>,
    /// The records that the model appended, with what the fold made of them.
    pub log: Arc<Vec<Entry>>,
    /// How many of them are no longer kept.
    pub trimmed: usize,
    /// Whether the log answers.
    pub log_is_up: bool,
    /// What was sent and may still land.
    pub in_flight: BTreeSet<Proposal>,
    /// Snapshots, by how many records they hold, and how many of their chunks were written.
    pub snapshots: BTreeSet<Snapshot>,
    /// The entry instances.
    pub nodes: [Node; NODES],
    /// The instances, as the platform has them.
    pub platform: Vec<PlatformInstance>,
    /// The publishes of operators.
    pub operators: Vec<Operator>,
    /// So many records have been in the log for longer than the bound.
    pub settled: usize,
    /// The key's withdrawal has been known for longer than the bound.
    pub is_withdrawal_settled: bool,
    /// What has happened so far of what the scenario bounds.
    pub event_counts: EventCounts,
    /// The promise that the last step broke.
    pub broken: Option<Promise>,
    /// The last step; no part of the state.
    pub last: Option<Step>,
}

/// A record in the log.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What was proposed.
    pub proposal: Proposal,
    /// What the fold made of it.
    pub verdict: Verdict,
    /// The state after it.
    pub state: Arc<State>,
}

/// A snapshot in its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Snapshot {
    /// How many of the model's records it holds.
    pub records_included: usize,
    /// How many of its chunks were written.
    pub chunks: usize,
}

/// An entry instance.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own in the model"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Node {
    /// How many of the model's records it has applied; `None` before it has read anything.
    pub applied: Option<usize>,
    /// It has reached the head, or, the log being down, what its peer has.
    pub is_caught_up: bool,
    /// It has heard its peer since it started or woke.
    pub has_heard_peer: bool,
    /// It doesn't run for a while.
    pub is_paused: bool,
    /// It knows by bad news that the key is withdrawn.
    pub knows_withdrawal: bool,
    /// The effect that it decided on and hasn't asked for yet.
    pub intent: Option<Intent>,
}

/// An effect that a planner is about to ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Intent {
    /// The instance.
    pub instance: usize,
    /// The offset of the decision.
    pub op: Offset,
    /// What the platform is to do.
    pub action: Action,
}

/// What the platform does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Lets it finish its work.
    Drain,
    /// Takes the drain back.
    Undrain,
    /// Puts it into the pool with the spares.
    Move,
}

/// An instance as the platform has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PlatformInstance {
    /// It is in the pool with the spares.
    pub is_moved: bool,
    /// It gets no work.
    pub is_drained: bool,
    /// It failed.
    pub is_down: bool,
    /// The effects that it has seen.
    pub ops: BTreeSet<Offset>,
}

/// A publish as its operator sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Operator {
    /// What was sent.
    pub proposal: Proposal,
    /// What the operator was told.
    pub received: Option<Answer>,
}

/// What an operator is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The publish is in force.
    InForce,
    /// It is not, and won't be.
    NotInForce,
}

/// What has happened so far of what the scenario bounds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct EventCounts {
    /// Answers lost.
    pub lost_answers: usize,
    /// Instances failed.
    pub failures: usize,
    /// Entry instances replaced.
    pub restarts: usize,
    /// Entry instances paused.
    pub pauses: usize,
    /// Outages of the log.
    pub outages: usize,
    /// The withdrawal, 1 once it was asked for.
    pub withdrawals: usize,
}

impl World {
    /// The system as the scenario begins: both entry instances serve, node 0 plans.
    #[must_use]
    pub fn new(scenario: &Scenario) -> World {
        let node = Node {
            applied: Some(0),
            is_caught_up: true,
            has_heard_peer: true,
            ..Node::default()
        };
        World {
            base: Arc::new(base(scenario)),
            log: Arc::default(),
            trimmed: 0,
            log_is_up: true,
            in_flight: BTreeSet::new(),
            snapshots: BTreeSet::new(),
            nodes: [node.clone(), node],
            platform: vec![PlatformInstance::default(); scenario.instances],
            operators: Vec::new(),
            settled: 0,
            is_withdrawal_settled: false,
            event_counts: EventCounts::default(),
            broken: None,
            last: None,
        }
    }

    /// The state after so many of the model's records.
    #[must_use]
    pub fn state_after(&self, records: usize) -> &Arc<State> {
        match records {
            0 => &self.base,
            n => &self.log[n - 1].state,
        }
    }

    /// The state that the whole log gives.
    #[must_use]
    pub fn head(&self) -> &Arc<State> {
        self.state_after(self.log.len())
    }

    /// The state in force at a node that runs and has read something.
    #[must_use]
    pub fn view(&self, node: usize) -> Option<&Arc<State>> {
        let node = &self.nodes[node];
        let applied = node.applied.filter(|_| !node.is_paused)?;
        Some(self.state_after(applied))
    }

    /// Whether a node takes requests.
    #[must_use]
    pub fn is_accepting(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.applied.is_some() && !node.is_paused && node.is_caught_up && node.has_heard_peer
    }

    /// The record of this proposal that was accepted, by its place in the model's log.
    #[must_use]
    pub fn accepted(&self, proposal: &Proposal) -> Option<usize> {
        let is_accepted_copy =
            |entry: &Entry| entry.proposal == *proposal && entry.verdict == Verdict::Accepted;
        self.log.iter().position(is_accepted_copy)
    }
}

/// Hashing only what differs often keeps it cheap; equality compares the rest.
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for entry in self.log.iter() {
            entry.proposal.hash(state);
        }
        self.in_flight.hash(state);
        self.nodes.hash(state);
        self.platform.hash(state);
        self.event_counts.hash(state);
        self.settled.hash(state);
        self.trimmed.hash(state);
        self.snapshots.hash(state);
        self.operators.hash(state);
    }
}

/// The verdicts and states follow from the proposals, because the fold is deterministic.
impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        let logs_agree = self.log.len() == other.log.len()
            && std::iter::zip(self.log.iter(), other.log.iter())
                .all(|(a, b)| a.proposal == b.proposal);
        logs_agree
            && self.trimmed == other.trimmed
            && self.log_is_up == other.log_is_up
            && self.in_flight == other.in_flight
            && self.snapshots == other.snapshots
            && self.nodes == other.nodes
            && self.platform == other.platform
            && self.operators == other.operators
            && self.settled == other.settled
            && self.is_withdrawal_settled == other.is_withdrawal_settled
            && self.event_counts == other.event_counts
            && self.broken == other.broken
    }
}

impl Eq for World {}

fn base(scenario: &Scenario) -> State {
    let mut state = State::default();
    let mut append = |body: Body| {
        let offset = state.next;
        let record = Record {
            id: pomelohitch_core::id::RecordId::from_u128(u128::from(offset) + 1),
            after: offset,
            at: std::time::Duration::ZERO,
            by: "setup".into(),
            body,
        };
        let verdict = state.apply(offset, &record);
        assert_eq!(verdict, Verdict::Accepted, "the setup is allowed");
    };
    for node in 0..NODES {
        append(Body::Join(Join {
            member: member(node),
            zone: "z".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        }));
    }
    append(Body::TakeTerm(TakeTerm {
        member: member(0),
        incarnation: 0,
        term: 1,
    }));
    let changes = [
        (FILE.into(), initial_change(file(1))),
        (
            "pools".into(),
            initial_change(pools(scenario.min_available)),
        ),
    ];
    append(Body::Publish(pomelohitch_core::record::Publish {
        changes: changes.into(),
    }));
    for i in 0..scenario.instances {
        append(Body::Fleet(FleetDecision {
            term: 1,
            step: FleetStep::Adopt {
                instance: instance(i),
                pool: WEB.into(),
                zone: "z".into(),
                rack: "r".into(),
                addr: ([127, 0, 0, 1], 1).into(),
            },
        }));
    }
    state
}

fn initial_change(file: pomelohitch_core::FleetFile) -> pomelohitch_core::record::FileChange {
    pomelohitch_core::record::FileChange {
        base: None,
        file: Some(file),
    }
}
