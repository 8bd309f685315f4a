//! A member's permits of one resource.

use pomelohitch_core::id::{Incarnation, MemberId, Offset};

use crate::Monotonic;
use crate::message::{Ask, Reply, Sequence};
use crate::resource::Resource;

/// The member that asks, and the set of members it knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Asker {
    /// The member.
    pub member: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The first incarnation of its process.
    pub since: Incarnation,
    /// The epoch of the set of members from which the home was determined.
    pub epoch: Offset,
    /// Whether the member is shutting down.
    pub leaving: bool,
}

/// The permits of one resource that this incarnation holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    held: u32,
    used: u32,
    /// Times at which permits of runs with an unknown end become free; they count in `used` until
    /// then.
    release_times: Vec<Monotonic>,
    /// This member's part according to the last reply.
    keep: u32,
    /// Number of permits that the last ask stated as wanted.
    want: u32,
    sequence: Sequence,
    awaited_reply: Option<(Offset, Sequence)>,
    /// The last epoch in which a home replied.
    answered_epoch: Option<Offset>,
    is_recalled: bool,
    must_confirm: bool,
}

impl Holder {
    /// Starts a new incarnation of the same process: keeps the permits in use and gives up the
    /// others, which may have been granted to other members.
    pub fn resume(&mut self) {
        let ended = std::mem::take(self);
        *self = Holder {
            held: ended.used,
            used: ended.used,
            release_times: ended.release_times,
            ..Holder::default()
        };
    }

    /// Number of permits held, whether in use or not.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Number of permits in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Number of permits that can be taken.
    ///
    /// Permits beyond this member's part are not taken again. Under full load nearly all permits
    /// are in use all the time, and a permit that is reused immediately would never be returned to
    /// the home.
    #[must_use]
    pub fn spare(&self) -> u32 {
        if self.must_confirm {
            return 0;
        }
        self.held.min(self.keep).saturating_sub(self.used)
    }

    /// Whether an ask would report a change to the home, or repeat an ask that is still unanswered.
    #[must_use]
    pub fn needs_ask(&self, epoch: Offset, want: u32) -> bool {
        let awaits_reply = self.awaited_reply.is_some() || self.answered_epoch != Some(epoch);
        let can_give = self.held > self.keep.max(self.used);
        let differs = want != self.want && want != self.held;
        awaits_reply || can_give || differs || self.is_recalled || self.must_confirm
    }

    /// Whether this member holds less than the part that its home assigned in its last reply.
    ///
    /// The missing permits were held by other members then. Asking only when they are needed would
    /// be too late: if the member that holds them dies, they stay unusable until its requests have
    /// certainly ended.
    #[must_use]
    pub fn is_below_part(&self) -> bool {
        self.held < self.keep
    }

    /// Takes a permit for one run, if one is free.
    ///
    /// `is_fresh` says whether the incarnation's lease covers the current time. A process that was
    /// paused may have been declared dead meanwhile, and its permits granted to others; if it
    /// continued, more requests would run than the limit allows.
    #[must_use]
    pub fn take(&mut self, is_fresh: bool) -> bool {
        let may_run = is_fresh && self.spare() > 0;
        if may_run {
            self.used += 1;
        }
        may_run
    }

    /// Returns a permit whose run has certainly ended.
    pub fn release(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Returns a permit at `until`, when its run has certainly ended; before that, it may still
    /// run.
    ///
    /// A caller that disconnects, or a late answer, does not stop the runner. If the permit were
    /// returned immediately, the team could exceed its limit.
    pub fn release_at(&mut self, until: Monotonic) {
        self.release_times.push(until);
    }

    /// Frees the permits whose runs have certainly ended by `now`.
    pub fn expire(&mut self, now: Monotonic) {
        let before = self.release_times.len();
        self.release_times.retain(|until| *until > now);
        let freed = u32::try_from(before - self.release_times.len()).unwrap_or(u32::MAX);
        self.used = self.used.saturating_sub(freed);
    }

    /// Gives up surplus permits, then returns an ask that states what is held.
    ///
    /// Replies to earlier asks are ignored from now on, so that the stated number stays true.
    pub fn ask(&mut self, resource: &Resource, asker: &Asker, want: u32) -> Ask {
        if self.answered_epoch == Some(asker.epoch) {
            self.give_up_surplus();
        }
        self.want = want;
        self.is_recalled = false;
        self.sequence += 1;
        self.awaited_reply = Some((asker.epoch, self.sequence));
        Ask {
            resource: resource.clone(),
            epoch: asker.epoch,
            member: asker.member.clone(),
            incarnation: asker.incarnation,
            since: asker.since,
            sequence: self.sequence,
            held: self.held,
            want,
            leaving: asker.leaving,
        }
    }

    fn give_up_surplus(&mut self) {
        self.held = self.held.min(self.keep).max(self.used);
    }

    /// Adds the permits granted, unless a later ask has been sent meanwhile.
    pub fn on_reply(&mut self, reply: &Reply) {
        if self.awaited_reply != Some((reply.epoch, reply.sequence)) {
            return;
        }
        self.awaited_reply = None;
        self.answered_epoch = Some(reply.epoch);
        self.held += reply.granted;
        self.keep = reply.keep;
        if std::mem::take(&mut self.must_confirm) {
            self.give_up_surplus();
            // The home does not know yet that these permits were given up.
            self.is_recalled = true;
        }
    }

    /// Handles a lowered limit: what is held was granted under the higher one.
    ///
    /// No permit is taken until the home has replied with the new part. Otherwise members that
    /// cannot reach the home would together go on using the higher limit, for an unlimited time.
    pub fn require_confirmation(&mut self) {
        self.must_confirm = true;
    }

    /// Handles a home's hint that this member should ask. The hint may be lost or arrive twice.
    pub fn recall(&mut self) {
        self.is_recalled = true;
    }
}
