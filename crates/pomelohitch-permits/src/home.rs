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
struct MemberRecord {
    sequence: Sequence,
    /// Upper bound of the permits that the member holds.
    held: u32,
    want: u32,
    leaving: bool,
}

/// Records on one resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Account {
    by_member: BTreeMap<MemberId, MemberRecord>,
    /// Total held by the members when the last of them had reported; `None` until then.
    initially_held: Option<u32>,
    /// Index of the member that gets the remainder of a division first. It differs between
    /// resources, since otherwise one member would get the remainders of all of them.
    first_index: usize,
}

/// All resources for which this process is the home, in one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Homes {
    epoch: Epoch,
    reported: BTreeSet<MemberId>,
    /// Time at which every member had sent an ask in this epoch.
    all_reported_at: Option<Monotonic>,
    accounts: BTreeMap<Resource, Account>,
    recalls: BTreeSet<(MemberId, Resource)>,
    ended: Ended,
    /// The first incarnation of each member's process, from the members' asks in this epoch.
    first_incarnations: BTreeMap<MemberId, Incarnation>,
}

/// Incarnations that have ended and may still have something running.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Ended {
    known: BTreeSet<(MemberId, Incarnation)>,
    /// Whether others may have ended before this process knew the members.
    has_unknown: bool,
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
        let ended = self.ended_before(&epoch);
        *self = Homes {
            epoch,
            ended,
            ..Homes::default()
        };
    }

    /// The incarnations that have ended by `next`. One that joined and ended in between isn't
    /// known, but has started nothing: no home granted it permits, since this process didn't
    /// report.
    fn ended_before(&mut self, next: &Epoch) -> Ended {
        let mut ended = std::mem::take(&mut self.ended);
        if self.epoch == Epoch::default() {
            ended.has_unknown = next.has_ended;
        }
        let members = self.epoch.members.iter();
        let gone = members.filter(|(id, incarnation)| next.members.get(*id) != Some(*incarnation));
        let gone = gone.map(|(id, incarnation)| (id.clone(), *incarnation));
        ended.known.extend(gone);
        ended
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
        self.record_report(ask, now);
        let ended_have_stopped = self.ended_have_stopped(bounds, now);
        if ended_have_stopped {
            self.ended = Ended::default();
        }
        let members = self.epoch.members.len();
        let account = self.accounts.entry(ask.resource.clone());
        let account = account.or_insert_with(|| Account {
            first_index: ask.resource.byte_sum(),
            ..Account::default()
        });
        // An ask may arrive late or twice; what it states is then no longer true.
        let is_old = account
            .by_member
            .get(&ask.member)
            .is_some_and(|record| record.sequence >= ask.sequence);
        if is_old {
            return None;
        }
        account.record_ask(ask);
        account.record_initially_held(members);
        let (granted, keep) = account.grant(&ask.member, bounds.limit, ended_have_stopped);
        let total = account.total(bounds.limit, ended_have_stopped);
        let to_recall = account.members_to_recall(total).into_iter();
        self.recalls
            .extend(to_recall.map(|member| (member, ask.resource.clone())));
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
    pub fn recall_excess(&mut self, bounds_of: impl Fn(&Resource) -> Bounds, now: Monotonic) {
        for (resource, account) in &self.accounts {
            let bounds = bounds_of(resource);
            let total = account.total(bounds.limit, self.ended_have_stopped(&bounds, now));
            if account.held() > total {
                let above = account.above_part(total).into_iter();
                self.recalls
                    .extend(above.map(|member| (member, resource.clone())));
            }
        }
    }

    /// Returns the permits of a resource that are held and wanted; `None` until every member has
    /// reported and members that ended have certainly stopped.
    #[must_use]
    pub fn settled_demand(
        &self,
        resource: &Resource,
        bounds: &Bounds,
        now: Monotonic,
    ) -> Option<Demand> {
        let account = self.accounts.get(resource)?;
        let is_certain = account.initially_held.is_some() && self.ended_have_stopped(bounds, now);
        is_certain.then(|| Demand {
            held: account.held(),
            wanted: account.by_member.values().map(|record| record.want).sum(),
        })
    }

    fn record_report(&mut self, ask: &Ask, now: Monotonic) {
        if self.all_reported_at.is_some() {
            return;
        }
        let member = &ask.member;
        self.first_incarnations.insert(member.clone(), ask.since);
        self.reported.insert(member.clone());
        if self.reported.len() == self.epoch.members.len() {
            self.all_reported_at = Some(now);
        }
    }

    /// Whether incarnations that ended have certainly stopped, or are accounted for by a later one
    /// of their process.
    ///
    /// An incarnation that does not know that it was ended goes on while members that do not know
    /// it either renew its lease. Once every member knows, its lease runs out, and after that its
    /// last requests end.
    fn ended_have_stopped(&self, bounds: &Bounds, now: Monotonic) -> bool {
        let is_accounted_for = |(member, incarnation): &(MemberId, Incarnation)| {
            let since = self.first_incarnations.get(member);
            since.is_some_and(|since| since <= incarnation)
        };
        if !self.ended.has_unknown && self.ended.known.iter().all(is_accounted_for) {
            return true;
        }
        self.all_reported_at
            .is_some_and(|at| now >= at + bounds.wait)
    }
}

impl Account {
    fn record_ask(&mut self, ask: &Ask) {
        let record = MemberRecord {
            sequence: ask.sequence,
            held: ask.held,
            want: ask.want,
            leaving: ask.leaving,
        };
        self.by_member.insert(ask.member.clone(), record);
    }

    fn record_initially_held(&mut self, members: usize) {
        if self.initially_held.is_none() && self.by_member.len() == members {
            self.initially_held = Some(self.held());
        }
    }

    fn held(&self) -> u32 {
        self.by_member.values().map(|record| record.held).sum()
    }

    /// Grants what `member` lacks of its part, and records the grant before the reply is sent.
    /// Returns the number granted and the part.
    fn grant(&mut self, member: &MemberId, limit: u32, ended_have_stopped: bool) -> (u32, u32) {
        if self.initially_held.is_none() {
            // The other members have not all reported, so no member has to return permits.
            return (0, self.by_member[member].held);
        }
        let total = self.total(limit, ended_have_stopped);
        let free = total.saturating_sub(self.held());
        let keep = self.part_of(member, total);
        let Some(record) = self.by_member.get_mut(member) else {
            return (0, 0);
        };
        let granted = keep.saturating_sub(record.held).min(free);
        record.held += granted;
        (granted, keep)
    }

    /// Permits that the members may hold together. Until members that ended have certainly stopped,
    /// those may use everything that the current members did not hold when they first reported.
    fn total(&self, limit: u32, ended_have_stopped: bool) -> u32 {
        match self.initially_held {
            None => 0,
            Some(_) if ended_have_stopped => limit,
            Some(initially_held) => limit.min(initially_held),
        }
    }

    /// Members that hold more than their part, if another holds less or the total is too high, and
    /// members that hold less than their part, if permits are free.
    fn members_to_recall(&self, total: u32) -> Vec<MemberId> {
        let mut to_recall = self.below_part(total);
        let lacking = self.members_where(total, |held, part| held < part);
        if !lacking.is_empty() || self.held() > total {
            to_recall.extend(self.above_part(total));
        }
        to_recall
    }

    fn above_part(&self, total: u32) -> Vec<MemberId> {
        self.members_where(total, |held, part| held > part)
    }

    /// Members that could be granted more.
    fn below_part(&self, total: u32) -> Vec<MemberId> {
        if self.initially_held.is_none() || self.held() >= total {
            return Vec::new();
        }
        self.members_where(total, |held, part| held < part)
    }

    fn members_where(&self, total: u32, is_selected: impl Fn(u32, u32) -> bool) -> Vec<MemberId> {
        let by_member = self.by_member.iter().zip(self.parts(total));
        let selected = by_member.filter(|((_, record), part)| is_selected(record.held, *part));
        selected.map(|((member, _), _)| member.clone()).collect()
    }

    fn part_of(&self, member: &MemberId, total: u32) -> u32 {
        let parts = self.parts(total);
        let index = self.by_member.keys().position(|known| known == member);
        index.map_or(0, |index| parts[index])
    }

    /// The part of each member: divided by what each wants, and the rest evenly.
    ///
    /// All permits are handed out, so that few are unaccounted for when a home ends.
    fn parts(&self, total: u32) -> Vec<u32> {
        let mut claims: Vec<_> = self
            .by_member
            .values()
            .map(|record| split::Claim {
                want: record.want,
                takes_rest: !record.leaving,
            })
            .collect();
        let first = self.first_index % claims.len().max(1);
        claims.rotate_left(first);
        let mut parts = split::divide(total, &claims);
        parts.rotate_right(first);
        parts
    }
}
