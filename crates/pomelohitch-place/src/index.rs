//! Search for slots with enough capacity without a scan of all slots.

use pomelohitch_core::record::job::Resources;

/// Segment tree over slots in a fixed order; each node holds the maximum of each resource in its
/// subtree.
///
/// An update takes time proportional to the height of the tree. So does a search, unless a node
/// covers the need only with the processors of one slot and the memory of another; then both of
/// its subtrees may have to be searched.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Index {
    /// The number of leaves, a power of two.
    leaves: usize,
    /// The root is at 1, the children of `i` are at `2 * i` and `2 * i + 1`.
    nodes: Vec<Resources>,
}

impl Index {
    /// Creates an index over `len` slots without resources.
    #[must_use]
    pub fn new(len: usize) -> Index {
        let leaves = len.next_power_of_two();
        Index {
            leaves,
            nodes: vec![Resources::default(); 2 * leaves],
        }
    }

    /// Sets the resources of a slot.
    pub fn set(&mut self, slot: usize, resources: Resources) {
        let mut at = self.leaves + slot;
        self.nodes[at] = resources;
        while at > 1 {
            at /= 2;
            let max = self.nodes[2 * at].larger(&self.nodes[2 * at + 1]);
            if self.nodes[at] == max {
                break;
            }
            self.nodes[at] = max;
        }
    }

    /// Maximum of each resource over all slots.
    #[must_use]
    pub fn max(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// The first slot in `from..end` that covers `need`.
    #[must_use]
    pub fn first(&self, from: usize, end: usize, need: &Resources) -> Option<usize> {
        self.search(1, 0, self.leaves, &(from..end), need, false)
    }

    /// The last slot before `end` that covers `need`.
    #[must_use]
    pub fn last(&self, end: usize, need: &Resources) -> Option<usize> {
        self.search(1, 0, self.leaves, &(0..end), need, true)
    }

    fn search(
        &self,
        node: usize,
        low: usize,
        high: usize,
        range: &std::ops::Range<usize>,
        need: &Resources,
        is_reverse: bool,
    ) -> Option<usize> {
        let is_outside = high <= range.start || low >= range.end;
        if is_outside || !self.nodes.get(node)?.covers(need) {
            return None;
        }
        if high - low == 1 {
            return Some(low);
        }
        let middle = usize::midpoint(low, high);
        let left = |index: &Index| index.search(2 * node, low, middle, range, need, is_reverse);
        let right =
            |index: &Index| index.search(2 * node + 1, middle, high, range, need, is_reverse);
        if is_reverse {
            right(self).or_else(|| left(self))
        } else {
            left(self).or_else(|| right(self))
        }
    }
}
