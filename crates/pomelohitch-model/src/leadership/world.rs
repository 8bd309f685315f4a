//! State of members, store and endpoint.

use super::rules::Rules;
use super::scenario::Scenario;
use super::set::Set;

/// Maximum number of members.
pub const MAX_MEMBERS: usize = 4;
/// Length of a lease in ticks.
pub const LEASE: u8 = 2;
/// Maximum number of ticks by which the endpoint ends a task late.
pub const MARGIN: u8 = 1;

/// An invariant that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Promise {
    /// The task is started elsewhere only once it has ended at the endpoint.
    OneRun,
    /// The lease doesn't expire while the first leader is connected as the scenario says.
    LeaseKept,
}

/// Every promise.
pub const ALL: [Promise; 2] = [Promise::OneRun, Promise::LeaseKept];

/// State of the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct World {
    /// The members.
    pub members: [Member; MAX_MEMBERS],
    /// The store.
    pub store: Store,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Number of restarts.
    pub restarts: u8,
    /// Number of removed members.
    pub removals: u8,
    /// Members with which the first leader has exchanged heartbeats since the last tick; kept only
    /// if the scenario requires some.
    pub contacted: Set,
    /// The promise that the last step broke, if any.
    pub broken: Option<Promise>,
}

/// The store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Store {
    /// The last epoch claimed. Appends of lower ones are refused.
    pub epoch: u8,
    /// The quorum in the newest record of a leadership.
    pub quorum: usize,
    /// The registered members.
    pub registered: Set,
}

/// The endpoint at which the task runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// The highest epoch seen.
    pub epoch: u8,
    /// Ticks until the task has certainly ended.
    pub runs_for: u8,
}

/// A member of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Member {
    /// The highest epoch known.
    pub epoch: u8,
    /// It has read the store since it started.
    pub has_read: bool,
    /// Its leadership, if it believes that it leads.
    pub leading: Option<Leadership>,
    /// A delayed order, which arrives even if the leadership or the process has ended.
    pub late_order: Option<Order>,
}

/// An order that renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Order {
    /// The leader's epoch.
    pub epoch: u8,
    /// Length of the lease, counted from now.
    pub length: u8,
}

/// A leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Leadership {
    /// Its epoch.
    pub epoch: u8,
    /// The registered members that it knows.
    pub registered: Set,
    /// Quorum of the largest number of registered members that it has known.
    pub quorum: usize,
    /// What it knows of former leaderships.
    pub former: Former,
    /// Age of the newest confirmation by each other member.
    pub confirmed: [Option<u8>; MAX_MEMBERS],
    /// Age of the newest accepted append.
    pub appended: Option<u8>,
    /// Delayed acknowledgements, by member.
    pub late_acks: [Option<Ack>; MAX_MEMBERS],
    /// Age of an accepted append whose answer is delayed.
    pub late_append: Option<u8>,
    /// Ticks until leases of former leaders have expired at the endpoint; `None` before the endpoint
    /// has answered.
    pub former_lease: Option<u8>,
    /// Ticks until the leases that it has requested itself have expired.
    pub own_lease: u8,
}

/// An acknowledgement of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ack {
    /// Age of the heartbeat.
    pub age: u8,
    /// Whether the member confirms the leadership; it acknowledges its epoch in any case.
    pub confirms: bool,
}

/// What a leadership knows of former ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Former {
    /// A former leadership may still be confirmed.
    Unknown {
        /// The quorum that the former leadership recorded.
        quorum: usize,
        /// The members that have acknowledged the new epoch.
        acknowledged: Set,
    },
    /// For this number of ticks, no former leadership has been confirmed.
    Over(u8),
}

impl World {
    /// Creates the initial state: member 0 leads, and the task runs at the endpoint.
    #[must_use]
    pub fn new(scenario: &Scenario, rules: &Rules) -> World {
        let registered = Set::first(scenario.members);
        let mut members = [Member::default(); MAX_MEMBERS];
        for member in &mut members[..scenario.members] {
            member.epoch = 1;
            member.has_read = true;
        }
        members[0].leading = Some(Leadership {
            former: Former::Over(rules.expiry_wait),
            former_lease: Some(0),
            own_lease: LEASE + MARGIN,
            ..Leadership::new(1, registered, rules)
        });
        World {
            members,
            store: Store {
                epoch: 1,
                quorum: rules.quorum_of(registered),
                registered,
            },
            endpoint: Endpoint {
                epoch: 1,
                runs_for: LEASE + MARGIN,
            },
            restarts: 0,
            removals: 0,
            contacted: Set::default(),
            broken: None,
        }
    }

    /// Number of delayed messages.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let of_member = |member: &Member| {
            let answers = member.leading.as_ref().map_or(0, Leadership::in_flight);
            answers + usize::from(member.late_order.is_some())
        };
        self.members.iter().map(of_member).sum()
    }

    /// Whether a later leader has concluded that no former leadership is confirmed any more.
    #[must_use]
    pub fn is_taken_over(&self) -> bool {
        let mut leaderships = self.members.iter().filter_map(|m| m.leading.as_ref());
        leaderships.any(|l| l.epoch > 1 && matches!(l.former, Former::Over(_)))
    }
}

impl Leadership {
    /// Creates a leadership without a former one, that was just confirmed by the append of its
    /// claim.
    #[must_use]
    pub fn new(epoch: u8, registered: Set, rules: &Rules) -> Leadership {
        Leadership {
            epoch,
            registered,
            quorum: rules.quorum_of(registered),
            former: Former::Over(0),
            confirmed: [None; MAX_MEMBERS],
            appended: Some(0),
            late_acks: [None; MAX_MEMBERS],
            late_append: None,
            former_lease: None,
            own_lease: 0,
        }
    }

    fn in_flight(&self) -> usize {
        self.late_acks.iter().flatten().count() + usize::from(self.late_append.is_some())
    }
}
