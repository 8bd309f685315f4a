//! The records of a home on the permits of its resources, and its grants.

use std::collections::{BTreeMap, BTreeSet};

use pomelohitch_core::id::{Incarnation, MemberId, Offset};

use crate::Monotonic;
use crate::message::{Ask, Reply, Sequence};
use crate::resource::Resource;
use crate::split;

/// A set of members, according to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Epoch {
    /// Offset of the record that last changed the set.
    pub offset: Offset,
    /// All members with their incarnations.
    pub members: BTreeMap<MemberId, Incarnation>,
    /// Whether any incarnation has ended so far.
    pub has_ended: bool,
}

/// Record of one member's permits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Note {
    sequence: Sequence,
    /// Upper bound of the permits that the member holds.
    held: u32,
    want: u32,
    leaving: bool,
}

/// Records on one resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Book {
    notes: BTreeMap<MemberId, Note>,
    /// Total held by the members when the last of them had reported; `None` until then.
    gathered: Option<u32>,
    /// Index of the member that gets the remainder of a division first. It differs between
    /// resources, since otherwise one member would get the remainders of all of them.
    first: usize,
}

/// All resources for which this process is the home, in one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Homes {
    epoch: Epoch,
    heard: BTreeSet<MemberId>,
    /// Time at which every member had sent an ask in this epoch.
    all_heard: Option<Monotonic>,
    books: BTreeMap<Resource, Book>,
    recalls: BTreeSet<(MemberId, Resource)>,
}

/// Permits of a resource held and wanted by all members together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Upper bound of the permits held.
    pub held: u32,
    /// Number of permits wanted.
    pub wanted: u32,
}

/// Bounds that apply to the grants of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The limit of the resource, according to this process's configuration.
    pub limit: u32,
    /// Time after which a member that every other member knows to have ended has certainly nothing
    /// running: its lease, a margin for clock differences and the longest run.
    pub wait: Monotonic,
}

impl Homes {
    /// Enters `epoch` with empty records. Earlier records may be wrong, since another member may
    /// have been the home in between.
    pub fn enter(&mut self, epoch: Epoch) {
        // Compares the members as well as the offset: the first set of members may have the same
        // offset as the empty set.
        if epoch == self.epoch {
            return;
        }
        *self = Homes {
            epoch,
            ..Homes::default()
        };
    }

    /// The current epoch.
    #[must_use]
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Records what the member holds, and grants it more if that is certainly free.
    ///
    /// `None` if the sender isn't a member in this epoch, or the ask is older than the last one
    /// recorded.
    pub fn on_ask(&mut self, ask: &Ask, bounds: &Bounds, now: Monotonic) -> Option<Reply> {
        let is_member = self.epoch.members.get(&ask.member) == Some(&ask.incarnation);
        if ask.epoch != self.epoch.offset || !is_member {
            return None;
        }
        self.hear(&ask.member, now);
        let may_open = self.may_open(bounds, now);
        let members = self.epoch.members.len();
        let book = self.books.entry(ask.resource.clone());
        let book = book.or_insert_with(|| Book {
            first: ask.resource.number(),
            ..Book::default()
        });
        // An ask may arrive late or twice; what it states is then no longer true.
        let is_old = book
            .notes
            .get(&ask.member)
            .is_some_and(|note| note.sequence >= ask.sequence);
        if is_old {
            return None;
        }
        book.note(ask);
        book.gather(members);
        let (granted, keep) = book.grant(&ask.member, bounds.limit, may_open);
        let total = book.total(bounds.limit, may_open);
        let to_ask = book.members_to_ask(total).into_iter();
        self.recalls
            .extend(to_ask.map(|member| (member, ask.resource.clone())));
        Some(Reply {
            resource: ask.resource.clone(),
            epoch: ask.epoch,
            sequence: ask.sequence,
            granted,
            keep,
        })
    }

    /// Returns, and clears, the members that should send an ask: those that hold more than their
    /// part while another has less than its part, and those that hold less than their part while
    /// permits are free.
    ///
    /// They are notified with a hint. A lost hint only delays the move of permits.
    pub fn take_recalls(&mut self) -> BTreeSet<(MemberId, Resource)> {
        std::mem::take(&mut self.recalls)
    }

    /// Recalls permits of members that hold more than their part, for resources of which more is
    /// held than the limit allows.
    ///
    /// This detects lowered limits: an idle member sends no asks and would otherwise keep what it
    /// was granted.
    pub fn review(&mut self, bounds_of: impl Fn(&Resource) -> Bounds, now: Monotonic) {
        for (resource, book) in &self.books {
            let bounds = bounds_of(resource);
            let total = book.total(bounds.limit, self.may_open(&bounds, now));
            if book.held() > total {
                let above = book.above_part(total).into_iter();
                self.recalls
                    .extend(above.map(|member| (member, resource.clone())));
            }
        }
    }

    /// Returns the permits of a resource that are held and wanted; `None` until every member has
    /// reported and members that ended have certainly stopped.
    #[must_use]
    pub fn settled(&self, resource: &Resource, bounds: &Bounds, now: Monotonic) -> Option<Demand> {
        let book = self.books.get(resource)?;
        let is_settled = book.gathered.is_some() && self.may_open(bounds, now);
        is_settled.then(|| Demand {
            held: book.held(),
            wanted: book.notes.values().map(|note| note.want).sum(),
        })
    }

    fn hear(&mut self, member: &MemberId, now: Monotonic) {
        if self.all_heard.is_some() {
            return;
        }
        self.heard.insert(member.clone());
        if self.heard.len() == self.epoch.members.len() {
            self.all_heard = Some(now);
        }
    }

    /// Whether incarnations that ended have certainly stopped.
    ///
    /// An incarnation that does not know that it was ended goes on while members that do not know
    /// it either renew its lease. Once every member knows, its lease runs out, and after that its
    /// last requests end.
    fn may_open(&self, bounds: &Bounds, now: Monotonic) -> bool {
        if !self.epoch.has_ended {
            return true;
        }
        self.all_heard.is_some_and(|at| now >= at + bounds.wait)
    }
}

impl Book {
    fn note(&mut self, ask: &Ask) {
        let note = Note {
            sequence: ask.sequence,
            held: ask.held,
            want: ask.want,
            leaving: ask.leaving,
        };
        self.notes.insert(ask.member.clone(), note);
    }

    fn gather(&mut self, members: usize) {
        if self.gathered.is_none() && self.notes.len() == members {
            self.gathered = Some(self.held());
        }
    }

    fn held(&self) -> u32 {
        self.notes.values().map(|note| note.held).sum()
    }

    /// Grants what `member` lacks of its part, and records the grant before the reply is sent.
    /// Returns the number granted and the part.
    fn grant(&mut self, member: &MemberId, limit: u32, may_open: bool) -> (u32, u32) {
        if self.gathered.is_none() {
            // The other members have not all reported, so no member has to return permits.
            return (0, self.notes[member].held);
        }
        let total = self.total(limit, may_open);
        let free = total.saturating_sub(self.held());
        let keep = self.part_of(member, total);
        let Some(note) = self.notes.get_mut(member) else {
            return (0, 0);
        };
        let granted = keep.saturating_sub(note.held).min(free);
        note.held += granted;
        (granted, keep)
    }

    /// Permits that the members may hold together. Until members that ended have certainly stopped,
    /// those may use everything that the current members did not hold when they first reported.
    fn total(&self, limit: u32, may_open: bool) -> u32 {
        match self.gathered {
            None => 0,
            Some(_) if may_open => limit,
            Some(gathered) => limit.min(gathered),
        }
    }

    /// Members that hold more than their part, if another holds less or the total is too high, and
    /// members that hold less than their part, if permits are free.
    fn members_to_ask(&self, total: u32) -> Vec<MemberId> {
        let mut to_ask = self.below_part(total);
        let lacking = self.members_where(total, |held, part| held < part);
        if !lacking.is_empty() || self.held() > total {
            to_ask.extend(self.above_part(total));
        }
        to_ask
    }

    fn above_part(&self, total: u32) -> Vec<MemberId> {
        self.members_where(total, |held, part| held > part)
    }

    /// Members that could be granted more.
    fn below_part(&self, total: u32) -> Vec<MemberId> {
        if self.gathered.is_none() || self.held() >= total {
            return Vec::new();
        }
        self.members_where(total, |held, part| held < part)
    }

    fn members_where(&self, total: u32, is_wanted: impl Fn(u32, u32) -> bool) -> Vec<MemberId> {
        let notes = self.notes.iter().zip(self.parts(total));
        let wanted = notes.filter(|((_, note), part)| is_wanted(note.held, *part));
        wanted.map(|((member, _), _)| member.clone()).collect()
    }

    fn part_of(&self, member: &MemberId, total: u32) -> u32 {
        let parts = self.parts(total);
        let place = self.notes.keys().position(|known| known == member);
        place.map_or(0, |place| parts[place])
    }

    /// The part of each member: divided by what each wants, and the rest evenly.
    ///
    /// All permits are handed out, so that few are unaccounted for when a home ends.
    fn parts(&self, total: u32) -> Vec<u32> {
        let mut claims: Vec<_> = self
            .notes
            .values()
            .map(|note| split::Claim {
                want: note.want,
                takes_more: !note.leaving,
            })
            .collect();
        let first = self.first % claims.len().max(1);
        claims.rotate_left(first);
        let mut parts = split::all(total, &claims);
        parts.rotate_right(first);
        parts
    }
}
