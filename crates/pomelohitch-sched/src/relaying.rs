//! Assignment of endpoints to the members that relay the leader's calls to them.
//!
//! Polls and starts of hundreds of endpoints exceed the link or the processor of one member.
//! Endpoints are divided into shards. A shard belongs to one service, so that a job's specification
//! is sent to few members. Each shard is assigned to a member by rendezvous hashing: when a member
//! joins or leaves, only its own shards move.

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id::{EndpointId, ServiceName};

/// Target number of endpoints per shard, few enough for a small member on a slow link.
const SHARD_ENDPOINTS: usize = 5;
/// With fewer endpoints than this, the leader calls them directly: a hop costs a few milliseconds.
const MIN_RELAYED_ENDPOINTS: usize = 600;
/// Traffic of the calls to a busy endpoint, bytes per second in both directions together.
const ENDPOINT_BYTES_PER_S: f64 = 3_000.0;
/// The number of shards is kept until it is this many times the wanted number.
const SHRINK_RATIO: u64 = 4;
/// Share of the leader's link that calls to endpoints may use.
const LINK_SHARE: f64 = 0.25;

/// Division of the endpoints into shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Layout {
    /// Shards per service; 0 if the leader calls all endpoints directly.
    pub shards: u64,
}

impl Layout {
    /// Computes the layout for a number of endpoints and services, and the rate of the leader's
    /// link.
    #[must_use]
    pub fn of(endpoints: usize, services: usize, link_bytes_per_s: Option<f64>) -> Layout {
        let count = u32::try_from(endpoints).unwrap_or(u32::MAX);
        let wanted = f64::from(count) * ENDPOINT_BYTES_PER_S;
        let is_link_slow = link_bytes_per_s.is_some_and(|rate| wanted > rate * LINK_SHARE);
        if services == 0 || (endpoints < MIN_RELAYED_ENDPOINTS && !is_link_slow) {
            return Layout::default();
        }
        let shards = (endpoints / services).div_ceil(SHARD_ENDPOINTS).max(1);
        Layout {
            shards: nearest_power(shards as u64),
        }
    }

    /// The layout to use after this one if `wanted` is the best fit now.
    ///
    /// Endpoints come and go all the time, and each change of the number of shards moves many of
    /// them to other members, which need new connections. The number therefore grows at once,
    /// shrinks only by a large factor, and does not go back to 0.
    #[must_use]
    pub fn successor(self, wanted: Layout) -> Layout {
        let grows = wanted.shards > self.shards;
        let shrinks = wanted.shards > 0 && wanted.shards * SHRINK_RATIO <= self.shards;
        if grows || shrinks { wanted } else { self }
    }
}

/// Assignment of the shards to members.
///
/// Thousands of calls a second look up their member, and there may be hundreds of members,
/// so the choice for a shard is kept until a change of the layout or of the members affects it.
#[derive(Debug)]
pub struct Assignment<M> {
    layout: Layout,
    members: BTreeSet<M>,
    /// The choice for each shard of a service, if it was made.
    choices: HashMap<ServiceName, Vec<Option<Choice<M>>>>,
}

/// The member of a shard, and its rank, which is higher than that of all other members.
#[derive(Debug, Clone, Copy)]
struct Choice<M> {
    member: M,
    rank: u64,
}

impl<M> Default for Assignment<M> {
    fn default() -> Self {
        Assignment {
            layout: Layout::default(),
            members: BTreeSet::new(),
            choices: HashMap::new(),
        }
    }
}

impl<M: Copy + Ord + Hash> Assignment<M> {
    /// The layout in use.
    #[must_use]
    pub fn layout(&self) -> Layout {
        self.layout
    }

    /// Changes the layout, and with it the members of many endpoints.
    pub fn set_layout(&mut self, layout: Layout) {
        if self.layout != layout {
            self.layout = layout;
            self.choices.clear();
        }
    }

    /// Sets the members that relay calls.
    pub fn set_members(&mut self, members: BTreeSet<M>) {
        let removed: BTreeSet<M> = self.members.difference(&members).copied().collect();
        if !removed.is_empty() {
            self.drop_choices(|member| removed.contains(member));
        }
        let added: Vec<M> = members.difference(&self.members).copied().collect();
        for member in added {
            self.prefer(member);
        }
        self.members = members;
    }

    /// Removes a member that no longer relays calls.
    pub fn remove(&mut self, member: &M) {
        if self.members.remove(member) {
            self.drop_choices(|chosen| chosen == member);
        }
    }

    /// The member that relays calls to an endpoint; `None` if the leader calls it directly.
    pub fn member(&mut self, service: &ServiceName, endpoint: &EndpointId) -> Option<M> {
        let shards = self.layout.shards;
        if shards == 0 {
            return None;
        }
        let shard = hash(endpoint) % shards;
        if !self.choices.contains_key(service) {
            let unmade = (0..shards).map(|_| None).collect();
            self.choices.insert(service.clone(), unmade);
        }
        let index = usize::try_from(shard).ok()?;
        let choice = self.choices.get_mut(service)?.get_mut(index)?;
        if choice.is_none() {
            let ranked = self.members.iter().map(|&member| Choice {
                member,
                rank: rank(&member, service, shard),
            });
            *choice = ranked.max_by_key(|choice| choice.rank);
        }
        choice.map(|choice| choice.member)
    }

    /// Assigns to a new member the shards for which it has the highest rank.
    fn prefer(&mut self, member: M) {
        for (service, choices) in &mut self.choices {
            for (shard, choice) in (0..).zip(choices) {
                let rank = rank(&member, service, shard);
                if let Some(choice) = choice.as_mut().filter(|choice| choice.rank < rank) {
                    *choice = Choice { member, rank };
                }
            }
        }
    }

    fn drop_choices(&mut self, is_dropped: impl Fn(&M) -> bool) {
        for choice in self.choices.values_mut().flatten() {
            if choice.as_ref().is_some_and(|c| is_dropped(&c.member)) {
                *choice = None;
            }
        }
    }
}

/// Members that have relayed calls to each endpoint and keep state of it.
#[derive(Debug)]
pub struct Relays<M> {
    by_endpoint: HashMap<EndpointId, Vec<M>>,
}

impl<M> Default for Relays<M> {
    fn default() -> Self {
        Relays {
            by_endpoint: HashMap::new(),
        }
    }
}

impl<M: Copy + PartialEq> Relays<M> {
    /// Records that a member relays a call to an endpoint.
    pub fn record(&mut self, endpoint: &EndpointId, member: M) {
        match self.by_endpoint.get_mut(endpoint) {
            Some(members) if members.contains(&member) => {}
            Some(members) => members.push(member),
            None => {
                self.by_endpoint.insert(endpoint.clone(), vec![member]);
            }
        }
    }

    /// Forgets an endpoint that no longer exists; returns the members that keep state of it.
    pub fn forget(&mut self, endpoint: &EndpointId) -> Vec<M> {
        self.by_endpoint.remove(endpoint).unwrap_or_default()
    }
}

/// Rank of a member for a shard in rendezvous hashing.
fn rank<M: Hash>(member: &M, service: &ServiceName, shard: u64) -> u64 {
    hash(&(member, service, shard))
}

/// The nearest power of two by ratio. Doubling the number of shards leaves half of the endpoints at
/// their members.
fn nearest_power(number: u64) -> u64 {
    let above = number.next_power_of_two();
    let below = (above / 2).max(1);
    if number * number <= above * below {
        below
    } else {
        above
    }
}

/// Hash that is stable within one process, which suffices because no other process uses the layout.
fn hash(key: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
