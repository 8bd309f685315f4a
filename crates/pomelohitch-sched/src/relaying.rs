//! Which member carries calls to which endpoints for the leader.
//!
//! The load that this answers: polls and starts of hundreds of endpoints fill the link or the
//! processor of one member. Endpoints are divided into shards, each of one service so that a job is
//! described to few members, and each shard has a member by rendezvous hashing: when a member comes
//! or goes, only its own shards move.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id::{EndpointId, ServiceName};

/// Target number of endpoints in a shard: few enough for a small member on a slow link.
const SHARD: usize = 5;
/// Fewer endpoints than this the leader calls by itself: a hop costs a few milliseconds.
const RELAYED_FROM: usize = 600;
/// Bytes a second of the calls to an endpoint at work, both ways.
const ENDPOINT_BYTES_PER_S: f64 = 3_000.0;
/// Shards are kept until there are this many times as many as wanted.
const MOST_OVER: u64 = 4;
/// The share of the link that calls to endpoints may take.
const LINK_SHARE: f64 = 0.25;

/// How the endpoints are divided.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Layout {
    /// Shards of each service; none if the leader calls all endpoints by itself.
    pub shards: u64,
}

impl Layout {
    /// The division of `endpoints` of `services`, for a leader with this link.
    #[must_use]
    pub fn of(endpoints: usize, services: usize, link_bytes_per_s: Option<f64>) -> Layout {
        let count = u32::try_from(endpoints).unwrap_or(u32::MAX);
        let wanted = f64::from(count) * ENDPOINT_BYTES_PER_S;
        let is_link_slow = link_bytes_per_s.is_some_and(|rate| wanted > rate * LINK_SHARE);
        if services == 0 || (endpoints < RELAYED_FROM && !is_link_slow) {
            return Layout::default();
        }
        let shards = (endpoints / services).div_ceil(SHARD).max(1);
        Layout {
            shards: nearest_power(shards as u64),
        }
    }

    /// The layout that follows this one where `wanted` would fit best.
    ///
    /// Endpoints come and go all the time, and each changed number of shards moves many of them to
    /// other members, with new connections. It grows at once, shrinks by much only, and calls that
    /// members carry don't go back to the leader.
    #[must_use]
    pub fn followed_by(self, wanted: Layout) -> Layout {
        let grows = wanted.shards > self.shards;
        let shrinks = wanted.shards > 0 && wanted.shards * MOST_OVER <= self.shards;
        if grows || shrinks { wanted } else { self }
    }

    /// The one of `members` that carries an endpoint's calls; `None` if the leader makes them.
    pub fn member<'a, M: Hash + Copy + 'a>(
        &self,
        service: &ServiceName,
        endpoint: &EndpointId,
        members: impl Iterator<Item = M>,
    ) -> Option<M> {
        if self.shards == 0 {
            return None;
        }
        let shard = hash(&endpoint) % self.shards;
        members.max_by_key(|member| hash(&(member, service, shard)))
    }
}

/// The power of two that is the smallest factor away: doubled, half of the endpoints stay where they are.
fn nearest_power(number: u64) -> u64 {
    let above = number.next_power_of_two();
    let below = (above / 2).max(1);
    if number * number <= above * below {
        below
    } else {
        above
    }
}

/// Stable within one process, which is as long as a layout is used.
fn hash(key: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
