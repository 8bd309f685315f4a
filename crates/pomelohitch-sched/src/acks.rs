//! Acknowledgements of the leader's heartbeats.
//!
//! Heartbeats are datagrams. A congested link drops them, so members that acknowledge none for a
//! while get their heartbeats over connections. A connection costs far more than a datagram, and
//! many members fall silent together when an availability zone is cut off, so only some of them are
//! called in each round: first those that were in contact last, which may still answer.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::Steady;

/// A member is overdue if it has acknowledged no heartbeat for this long, twice the interval of the
/// heartbeats.
const OVERDUE_AFTER: Duration = Duration::from_millis(500);

/// Contacts with the members.
#[derive(Debug, Clone)]
pub struct Acks<M> {
    contacts: HashMap<M, Contact>,
}

#[derive(Debug, Clone, Copy)]
struct Contact {
    /// Last acknowledgement of a datagram, or the first heartbeat if there was none yet.
    acknowledged: Steady,
    /// Last answer by any way.
    answered: Option<Steady>,
    /// Last time that a connection was used.
    called: Option<Steady>,
}

impl<M> Default for Acks<M> {
    fn default() -> Self {
        Acks {
            contacts: HashMap::new(),
        }
    }
}

impl<M: Copy + Eq + Hash + Ord> Acks<M> {
    /// Sets the members that get heartbeats from `now` on.
    pub fn set_members(&mut self, members: impl Iterator<Item = M>, now: Steady) {
        let mut former = std::mem::take(&mut self.contacts);
        let contacts = members.map(|member| {
            let contact = former.remove(&member).unwrap_or(Contact {
                acknowledged: now,
                answered: None,
                called: None,
            });
            (member, contact)
        });
        self.contacts = contacts.collect();
    }

    /// Records that a member has acknowledged a datagram.
    pub fn acknowledged(&mut self, member: &M, now: Steady) {
        if let Some(contact) = self.contacts.get_mut(member) {
            contact.acknowledged = now;
            contact.answered = Some(now);
        }
    }

    /// Records that a member has answered over a connection.
    pub fn answered(&mut self, member: &M, now: Steady) {
        if let Some(contact) = self.contacts.get_mut(member) {
            contact.answered = Some(now);
        }
    }

    /// Takes the members to call over a connection now, at most `max_calls`.
    pub fn take_overdue(&mut self, now: Steady, max_calls: usize) -> Vec<M> {
        let overdue = self
            .contacts
            .iter()
            .filter(|(_, contact)| now >= contact.acknowledged + OVERDUE_AFTER);
        let mut overdue: Vec<_> = overdue
            .map(|(member, c)| (is_responsive(c), c.called, *member))
            .collect();
        overdue.sort_by_key(|&(is_responsive, called_at, member)| {
            (Reverse(is_responsive), called_at, member)
        });
        overdue.truncate(max_calls);
        let members: Vec<M> = overdue.into_iter().map(|(.., member)| member).collect();
        for member in &members {
            if let Some(contact) = self.contacts.get_mut(member) {
                contact.called = Some(now);
            }
        }
        members
    }
}

/// Whether the member has answered its last call, or hasn't been called yet.
fn is_responsive(contact: &Contact) -> bool {
    contact
        .called
        .is_none_or(|called_at| contact.answered >= Some(called_at))
}
