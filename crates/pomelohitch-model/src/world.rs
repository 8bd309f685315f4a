//! State of the whole system.

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

/// Number of entry instances.
pub const NODES: usize = 2;
/// Number of chunks of a complete snapshot.
pub const CHUNKS: usize = 2;

/// State of the whole system.
#[derive(Debug, Clone)]
pub struct World {
    /// The folded state before the first record that the model appends.
    pub base: Arc<State>,
    /// Records appended by the model, with verdicts and resulting states.
    pub log: Arc<Vec<Entry>>,
    /// Number of records trimmed from the start of `log`.
    pub trimmed: usize,
    /// Whether the log is available.
    pub log_is_up: bool,
    /// Proposals sent whose append may still succeed.
    pub in_flight: BTreeSet<Proposal>,
    /// Snapshots written, complete or not.
    pub snapshots: BTreeSet<Snapshot>,
    /// The entry instances.
    pub nodes: [Node; NODES],
    /// Instances at the platform.
    pub platform: Vec<PlatformInstance>,
    /// Publishes by operators.
    pub operators: Vec<Operator>,
    /// Number of records that have been in the log for longer than the propagation bound.
    pub settled: usize,
    /// The key's withdrawal has been known for longer than the propagation bound.
    pub is_withdrawal_settled: bool,
    /// Counts of the events that the scenario bounds.
    pub event_counts: EventCounts,
    /// The promise that the last step broke, if any.
    pub broken: Option<Promise>,
    /// The step that led to this state; ignored in comparisons and hashes.
    pub last: Option<Step>,
}

/// A record in the log.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The proposal that was appended.
    pub proposal: Proposal,
    /// The fold's verdict.
    pub verdict: Verdict,
    /// The state after the record.
    pub state: Arc<State>,
}

/// A snapshot in the snapshot stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Snapshot {
    /// Number of the model's records that it covers.
    pub records_included: usize,
    /// Number of chunks written.
    pub chunks: usize,
}

/// An entry instance.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own in the model"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Node {
    /// Number of the model's records it has applied; `None` before it has any state.
    pub applied: Option<usize>,
    /// It has read to the head, or, with the log down, as far as its peer.
    pub is_caught_up: bool,
    /// It has received a heartbeat of its peer since it started or resumed.
    pub has_heard_peer: bool,
    /// It is paused.
    pub is_paused: bool,
    /// It knows from an operator or from heartbeats that the key is withdrawn.
    pub knows_withdrawal: bool,
    /// The effect that it has decided on and not yet requested.
    pub intent: Option<Intent>,
}

/// An effect that a planner is about to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Intent {
    /// Index of the instance.
    pub instance: usize,
    /// The offset of the decision.
    pub op: Offset,
    /// The requested action.
    pub action: Action,
}

/// An action of the platform on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Stops new work and lets running work finish.
    Drain,
    /// Cancels a drain.
    Undrain,
    /// Moves it to the spare pool.
    Move,
}

/// An instance at the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PlatformInstance {
    /// It is in the spare pool.
    pub is_moved: bool,
    /// It is drained.
    pub is_drained: bool,
    /// It has failed.
    pub is_down: bool,
    /// Offsets of the effects already performed.
    pub ops: BTreeSet<Offset>,
}

/// A publish, and the answer that its operator received.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Operator {
    /// The proposal that the operator's node sent.
    pub proposal: Proposal,
    /// The answer received, if any.
    pub received: Option<Answer>,
}

/// The answer to a publish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The publish is in force.
    InForce,
    /// The publish is not in force and never will be.
    NotInForce,
}

/// Counts of the events that the scenario bounds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct EventCounts {
    /// Lost acknowledgements of appends.
    pub lost_answers: usize,
    /// Instance failures.
    pub failures: usize,
    /// Entry instance replacements.
    pub restarts: usize,
    /// Entry instance pauses.
    pub pauses: usize,
    /// Log outages.
    pub outages: usize,
    /// Key withdrawals, at most 1.
    pub withdrawals: usize,
}

impl World {
    /// Creates the initial state: both entry instances accept requests, and node 0 plans.
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

    /// Returns the state after this number of the model's records.
    #[must_use]
    pub fn state_after(&self, records: usize) -> &Arc<State> {
        match records {
            0 => &self.base,
            n => &self.log[n - 1].state,
        }
    }

    /// Returns the state after all records.
    #[must_use]
    pub fn head(&self) -> &Arc<State> {
        self.state_after(self.log.len())
    }

    /// Returns the state at a node; `None` if it is paused or has none.
    #[must_use]
    pub fn view(&self, node: usize) -> Option<&Arc<State>> {
        let node = &self.nodes[node];
        let applied = node.applied.filter(|_| !node.is_paused)?;
        Some(self.state_after(applied))
    }

    /// Whether a node accepts requests.
    #[must_use]
    pub fn is_accepting(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.applied.is_some() && !node.is_paused && node.is_caught_up && node.has_heard_peer
    }

    /// Returns the index in `log` of the accepted record of this proposal.
    #[must_use]
    pub fn accepted(&self, proposal: &Proposal) -> Option<usize> {
        let is_accepted_copy =
            |entry: &Entry| entry.proposal == *proposal && entry.verdict == Verdict::Accepted;
        self.log.iter().position(is_accepted_copy)
    }
}

/// Hashes only fields that often differ, for speed; equality compares the remaining ones too.
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

/// Compares only the proposals of log entries, because the deterministic fold derives verdicts and
/// states from them.
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
