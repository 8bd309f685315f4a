//! Sets of members.

/// A set of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Set(u8);

impl Set {
    /// The first `count` members.
    #[must_use]
    pub fn first(count: usize) -> Set {
        (0..count).fold(Set::default(), Set::with)
    }

    /// The set with `member`.
    #[must_use]
    pub fn with(self, member: usize) -> Set {
        Set(self.0 | 1 << member)
    }

    /// The members that aren't in `other`.
    #[must_use]
    pub fn without(self, other: Set) -> Set {
        Set(self.0 & !other.0)
    }

    /// Whether `member` is in the set.
    #[must_use]
    pub fn contains(self, member: usize) -> bool {
        self.0 & 1 << member != 0
    }

    /// Number of members.
    #[must_use]
    pub fn count(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Number of members of at least half of the set.
    #[must_use]
    pub fn half(self) -> usize {
        self.count().div_ceil(2)
    }

    /// Number of members of a majority.
    #[must_use]
    pub fn majority(self) -> usize {
        self.count() / 2 + 1
    }
}
