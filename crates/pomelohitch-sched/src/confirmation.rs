//! Confirmations of a leadership by the members.
//!
//! A member confirms a leadership with its acknowledgement of a heartbeat, if it knows no later one
//! and has read the leader's record since its process started. Once a majority has, as of some
//! heartbeats, no other leadership was confirmed by a majority later: two majorities share a member,
//! which acknowledges the later leadership from then on.

use std::collections::BTreeMap;

use crate::Steady;

/// Number of members that confirm a leadership together, of `members` registered ones.
#[must_use]
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// What the other members have answered to one leader's heartbeats.
#[derive(Debug, Clone)]
pub struct Confirmations<M> {
    members: BTreeMap<M, Answer>,
    /// Number of other members whose addresses aren't known.
    unreadable: usize,
    /// Largest number of members so far, this one included.
    most_members: usize,
}

/// What one member has answered.
#[derive(Debug, Clone, Copy, Default)]
struct Answer {
    /// Whether it knows the leadership.
    has_acknowledged: bool,
    /// When the newest heartbeat was sent with whose acknowledgement it confirmed the leadership.
    confirmed: Option<Steady>,
}

impl<M> Default for Confirmations<M> {
    fn default() -> Self {
        Confirmations {
            members: BTreeMap::new(),
            unreadable: 0,
            most_members: 1,
        }
    }
}

impl<M: Ord> Confirmations<M> {
    /// Sets the other registered members, and the number of those whose records can't be read: these
    /// can't be asked, but may confirm another leader.
    pub fn set_members(&mut self, members: impl Iterator<Item = M>, unreadable: usize) {
        self.unreadable = unreadable;
        let mut former = std::mem::take(&mut self.members);
        self.members = members
            .map(|member| {
                let answer = former.remove(&member).unwrap_or_default();
                (member, answer)
            })
            .collect();
        self.most_members = self.most_members.max(self.members.len() + unreadable + 1);
    }

    /// Records that a member knows the leadership, by its answer to a heartbeat that was sent at
    /// `sent_at`, and whether it confirms it.
    pub fn acknowledged(&mut self, member: &M, sent_at: Steady, confirms: bool) {
        if let Some(answer) = self.members.get_mut(member) {
            answer.has_acknowledged = true;
            if confirms {
                answer.confirmed = answer.confirmed.max(Some(sent_at));
            }
        }
    }

    /// Number of members that confirm the leadership together, this one included. It never falls, so
    /// that a record of it stays a lower bound.
    #[must_use]
    pub fn quorum(&self) -> usize {
        majority(self.most_members)
    }

    /// As of when a quorum has confirmed the leadership: when the oldest of the newest heartbeats was
    /// sent that make up a quorum. `None` if too few have confirmed it.
    #[must_use]
    pub fn confirmed_at(&self, now: Steady) -> Option<Steady> {
        let mut confirmed: Vec<_> = self.members.values().filter_map(|a| a.confirmed).collect();
        confirmed.sort_unstable_by(|a, b| b.cmp(a));
        match self.quorum() - 1 {
            0 => Some(now),
            others => confirmed.get(others - 1).copied(),
        }
    }

    /// Number of members that haven't acknowledged the leadership and may still confirm an earlier
    /// one.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        let answers = self.members.values();
        answers.filter(|a| !a.has_acknowledged).count() + self.unreadable
    }
}
