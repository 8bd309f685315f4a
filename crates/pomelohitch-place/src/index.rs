//! Finds slots with room without looking at all of them.

use pomelohitch_core::record::job::Resources;

/// A tree over slots in a fixed order; each node holds the most of each resource below it.
///
/// A change costs the height of the tree. So does a search, unless one worker has the processors
/// and another the memory: then both halves may have to be entered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Index {
    /// The number of leaves, a power of two.
    leaves: usize,
    /// The root stands at 1, the children of `i` at `2 * i` and `2 * i + 1`.
    nodes: Vec<Resources>,
}

impl Index {
    /// An index over `len` slots without room.
    #[must_use]
    pub fn new(len: usize) -> Index {
        let leaves = len.next_power_of_two();
        Index {
            leaves,
            nodes: vec![Resources::default(); 2 * leaves],
        }
    }

    /// Sets the room of a slot.
    pub fn set(&mut self, slot: usize, free: Resources) {
        let mut at = self.leaves + slot;
        self.nodes[at] = free;
        while at > 1 {
            at /= 2;
            let max = self.nodes[2 * at].larger(&self.nodes[2 * at + 1]);
            if self.nodes[at] == max {
                break;
            }
            self.nodes[at] = max;
        }
    }

    /// The most of each resource that any slot has.
    #[must_use]
    pub fn max(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// The first slot from `from` on, and before `end`, with room for `need`.
    #[must_use]
    pub fn first(&self, from: usize, end: usize, need: &Resources) -> Option<usize> {
        self.search(1, 0, self.leaves, &(from..end), need, false)
    }

    /// The last slot with room for `need` before `end`.
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
