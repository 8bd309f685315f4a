//! Limited resources, and the member that is the home of each.

use std::hash::{Hash, Hasher};

use pomelohitch_core::id::{InstanceId, MemberId, TeamId};
use rendezvous_hash::{IdNode, Node, NodeHasher, RendezvousNodes};
use serde::{Deserialize, Serialize};

/// A resource with an upper limit of use over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Running requests of a team.
    Team(TeamId),
    /// Requests that a runner runs at once.
    Slots(InstanceId),
}

impl Resource {
    /// A number that usually differs between resources.
    pub(crate) fn byte_sum(&self) -> usize {
        let (Resource::Team(id) | Resource::Slots(id)) = self;
        id.bytes().map(usize::from).sum()
    }
}

/// Returns the member that hands out the permits of `resource`; `None` if there are no members.
///
/// Uses rendezvous hashing: a change of members moves only the resources of members that joined or
/// left.
#[must_use]
pub fn home_of<'a, T: Hash>(
    resource: &T,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    let mut nodes = RendezvousNodes::new(StableHasher);
    for member in members {
        nodes.insert(IdNode::new(member));
    }
    nodes
        .calc_candidates(resource)
        .next()
        .map(|node| *node.node_id())
}

/// Hasher that gives the same values in all builds. Members may run different builds for a while;
/// the standard library's hasher may differ between them, so members would disagree on homes and no
/// permits would be granted.
#[derive(Debug, Clone, Copy)]
struct StableHasher;

impl<N: Hash> NodeHasher<N> for StableHasher {
    fn hash<T: Hash>(&self, node: &N, item: &T) -> u64 {
        let mut hasher = Blake3(blake3::Hasher::new());
        item.hash(&mut hasher);
        node.hash(&mut hasher);
        hasher.finish()
    }
}

struct Blake3(blake3::Hasher);

impl Hasher for Blake3 {
    fn write(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    fn finish(&self) -> u64 {
        let digest = self.0.finalize();
        let first = digest.as_bytes().first_chunk::<8>();
        first.map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }
}
