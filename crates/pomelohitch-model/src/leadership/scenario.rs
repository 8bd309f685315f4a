//! Bounds of the exploration.

/// Bounds of the exploration. Member 0 leads at the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scenario {
    /// Name in reports.
    pub name: &'static str,
    /// Number of members that are registered at the start.
    pub members: usize,
    /// Number of members that may register later.
    pub joiners: usize,
    /// Number of members, counted from the first leader, whose processes have ended for good.
    pub ended: usize,
    /// Highest epoch that may be claimed; the first leader's is 1.
    pub epochs: u8,
    /// Maximum number of restarts of members.
    pub restarts: u8,
    /// Maximum number of members that are removed from the registered ones while they run.
    pub removals: u8,
    /// Maximum number of messages that are delayed at the same time.
    pub in_flight: usize,
    /// How many members the first leader exchanges heartbeats with in each tick, in which it also
    /// renews the lease; `None` if it may do either or not. If set, states after another claim
    /// aren't explored.
    pub connected: Option<Connected>,
}

/// How many members the first leader exchanges heartbeats with in each tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connected {
    /// A majority of the registered members, itself included.
    Majority,
    /// At least half of the registered members, itself included.
    Half,
}

/// Returns all scenarios.
#[must_use]
pub fn all() -> Vec<Scenario> {
    vec![
        successors(),
        even_number(),
        delays(),
        restarts(),
        restarts_and_successors(),
        first_members(),
        joining(),
        store_outage(),
    ]
}

/// Three leaderships follow each other in a fleet of three members.
#[must_use]
pub fn successors() -> Scenario {
    Scenario {
        name: "successors",
        members: 3,
        epochs: 3,
        ..Scenario::default()
    }
}

/// The leader changes in a fleet of four members.
#[must_use]
pub fn even_number() -> Scenario {
    Scenario {
        name: "even number of members",
        members: 4,
        epochs: 2,
        ..Scenario::default()
    }
}

/// Messages are delayed during a change of leader.
#[must_use]
pub fn delays() -> Scenario {
    Scenario {
        name: "delays",
        members: 3,
        epochs: 2,
        in_flight: 2,
        ..Scenario::default()
    }
}

/// Members restart during a change of leader.
#[must_use]
pub fn restarts() -> Scenario {
    Scenario {
        name: "restarts",
        members: 3,
        epochs: 2,
        restarts: 2,
        ..Scenario::default()
    }
}

/// A member restarts while three leaderships follow each other.
#[must_use]
pub fn restarts_and_successors() -> Scenario {
    Scenario {
        name: "restarts and successors",
        members: 3,
        epochs: 3,
        restarts: 1,
        ..Scenario::default()
    }
}

/// Two members join a single one, and three leaderships follow each other.
#[must_use]
pub fn first_members() -> Scenario {
    Scenario {
        name: "first members",
        members: 1,
        joiners: 2,
        epochs: 3,
        ..Scenario::default()
    }
}

/// A fourth member joins during a change of leader.
#[must_use]
pub fn joining() -> Scenario {
    Scenario {
        name: "joining a fleet",
        members: 3,
        joiners: 1,
        epochs: 2,
        ..Scenario::default()
    }
}

/// The leader stays connected to a majority and to the endpoint, with or without the store.
#[must_use]
pub fn store_outage() -> Scenario {
    Scenario {
        name: "store outage",
        members: 3,
        joiners: 1,
        epochs: 2,
        connected: Some(Connected::Majority),
        ..Scenario::default()
    }
}
