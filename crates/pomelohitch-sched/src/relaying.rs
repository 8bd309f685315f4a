//! Assignment of endpoints to the members that relay the leader's calls to them.
//!
//! Polls and starts of hundreds of endpoints exceed the link or the processor of one member.
//! Endpoints are divided into shards. A shard belongs to one service, so that a job's specification
//! is sent to few members. Each shard is assigned to a member by rendezvous hashing: when a member
//! joins or leaves, only its own shards move.

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

    /// The one of `members` that relays calls to an endpoint; `None` if the leader calls it
    /// directly.
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
