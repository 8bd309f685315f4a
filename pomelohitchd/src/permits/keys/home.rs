//! The keys that this process grants as a home, and the recent sets of members.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pomelohitch_core::id::{Incarnation, MemberId};
use pomelohitch_peer::permits::{Claim, ClaimStep, Verdict};
use pomelohitch_permits::Monotonic;
use pomelohitch_permits::home::Epoch;
use pomelohitch_permits::resource::home_of;
use pomelohitch_route::once::{Answer, Keys, WINDOW};

use crate::freshness;

/// A member that ended may join again within this time, for example after a pause. Its process
/// still has its records then.
const REJOIN_TIME: Duration = Duration::from_secs(3);

/// The keys granted by this process as a home, and the recent sets of members.
#[derive(Debug, Default)]
pub struct KeyHome {
    keys: Keys,
    /// Sets of members, each with the time when it became current; the newest last.
    epochs: VecDeque<(Monotonic, Epoch)>,
    /// Whether `epochs` has all sets since the window began.
    pub(super) has_all: bool,
    started: Monotonic,
    /// The first incarnation of this process. Later ones have the same records, since only the
    /// membership ended.
    first_incarnation: Option<Incarnation>,
}

/// The members to ask about a key, each with its earliest incarnation that was the home.
pub type HomesOfKey = BTreeMap<MemberId, Incarnation>;

/// A home of a key isn't a member any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gone {
    /// The member.
    pub home: MemberId,
    /// Whether it ended so recently that it may join again soon.
    pub may_rejoin: bool,
}

impl KeyHome {
    /// Enters a set of members, in which this process is `own` with `incarnation`.
    pub fn enter(
        &mut self,
        own: &MemberId,
        incarnation: Incarnation,
        epoch: &Epoch,
        now: Monotonic,
    ) {
        if epoch.members.get(own) == Some(&incarnation) {
            self.first_incarnation.get_or_insert(incarnation);
        }
        if self.epochs.back().is_some_and(|(_, last)| last == epoch) {
            return;
        }
        if self.epochs.is_empty() {
            self.started = now;
            self.has_all = !epoch.has_ended;
            if self.has_all {
                self.add_join_epochs(epoch, now);
            }
        }
        self.epochs.push_back((now, epoch.clone()));
    }

    /// The first incarnation of this process; `None` before it has joined.
    #[must_use]
    pub fn first_incarnation(&self) -> Option<Incarnation> {
        self.first_incarnation
    }

    /// Adds the earlier sets of members. While no member has ever ended, these follow from the
    /// order of the joins.
    fn add_join_epochs(&mut self, epoch: &Epoch, now: Monotonic) {
        let mut joins: Vec<_> = epoch.members.iter().collect();
        joins.sort_by_key(|(_, incarnation)| **incarnation);
        let mut members = BTreeMap::new();
        for (id, incarnation) in joins {
            members.insert(id.clone(), *incarnation);
            let epoch = Epoch {
                offset: *incarnation,
                members: members.clone(),
                has_ended: false,
            };
            self.epochs.push_back((now, epoch));
        }
    }

    /// Drops sets of members that no member can have used within the window.
    fn evict_old_epochs(&mut self, now: Monotonic) {
        let window = WINDOW + freshness::BOUND;
        while let Some((replaced_at, _)) = self.epochs.get(1) {
            if *replaced_at + window > now {
                break;
            }
            self.epochs.pop_front();
        }
        self.has_all |= now >= self.started + window;
    }

    /// All members that were the home of `key` within the window.
    ///
    /// # Errors
    /// If one of them isn't a member now, or if there is no member (`None`).
    pub fn homes(&mut self, key: &str, now: Monotonic) -> Result<HomesOfKey, Option<Gone>> {
        self.evict_old_epochs(now);
        let (_, current) = self.epochs.back().ok_or(None)?;
        home_of(&key, current.members.keys()).ok_or(None)?;
        let mut homes = HomesOfKey::new();
        for (_, epoch) in &self.epochs {
            // Nothing was granted while there was no member.
            let Some(home) = home_of(&key, epoch.members.keys()) else {
                continue;
            };
            if !current.members.contains_key(home) {
                let may_rejoin = self.may_rejoin(home, now);
                let home = home.clone();
                return Err(Some(Gone { home, may_rejoin }));
            }
            let incarnation = epoch.members[home];
            let since = homes.entry(home.clone()).or_insert(incarnation);
            *since = incarnation.min(*since);
        }
        Ok(homes)
    }

    /// Whether `member` is a member now, or ended so recently that it may join again soon.
    fn may_rejoin(&self, member: &MemberId, now: Monotonic) -> bool {
        let mut ended_at = None;
        for (at, epoch) in self.epochs.iter().rev() {
            if epoch.members.contains_key(member) {
                return ended_at.is_none_or(|ended_at| now < ended_at + REJOIN_TIME);
            }
            ended_at = Some(*at);
        }
        false
    }

    /// Whether this process was the only home of `key` during the whole window.
    fn knows_all(&mut self, own: &MemberId, key: &str, now: Monotonic) -> bool {
        self.evict_old_epochs(now);
        let is_home = |(_, epoch): &(Monotonic, Epoch)| {
            home_of(&key, epoch.members.keys()).is_none_or(|home| home == own)
        };
        self.has_all && self.epochs.iter().all(is_home)
    }

    /// Answers a claim for a key of which `own`, this process, is the home.
    pub fn on_claim(&mut self, own: &MemberId, claim: &Claim, now: Monotonic) -> Verdict {
        let Claim { key, attempt, .. } = claim;
        let answer = match claim.step {
            ClaimStep::Release => {
                self.keys.release(key, attempt, now);
                return Verdict::Granted;
            }
            ClaimStep::Use => {
                self.keys.record_use(key, attempt);
                return Verdict::Granted;
            }
            ClaimStep::Begin | ClaimStep::Check if !self.can_decide(own, claim, now) => {
                return Verdict::Unknown;
            }
            ClaimStep::Begin => self.keys.grant(key, attempt, &claim.member, now),
            ClaimStep::Check => self.keys.check(key, attempt, now),
        };
        match answer {
            Answer::Granted => Verdict::Granted,
            Answer::Taken => Verdict::Taken,
            Answer::Pending(holder) if self.may_rejoin(&holder, now) => Verdict::Pending,
            // The holder has ended, and may have sent its request before that.
            Answer::Pending(_) | Answer::Released | Answer::Full => Verdict::Unknown,
        }
    }

    /// Whether this process, together with the other homes that the sender asks, knows all requests
    /// with the key in the window.
    fn can_decide(&mut self, own: &MemberId, claim: &Claim, now: Monotonic) -> bool {
        let first = self.first_incarnation;
        first.is_some_and(|first| first <= claim.since)
            && (claim.asks_all || self.knows_all(own, &claim.key, now))
    }
}
