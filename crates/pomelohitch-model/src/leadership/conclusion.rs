//! What a leader concludes from answers, and when.

use super::rules::{AsOf, ConfirmedBy, ExpiryAfter, LeaseEnd, Rules};
use super::set::Set;
use super::world::{Ack, Former, LEASE, Leadership, MARGIN, Order};

impl Leadership {
    /// Age of the newest confirmation; `None` if it is as old as a lease.
    #[must_use]
    pub fn confirmation(&self, rules: &Rules) -> Option<u8> {
        let others = match rules.confirmed_by {
            ConfirmedBy::Quorum => self.quorum - 1,
            ConfirmedBy::AnyMember => 1,
        };
        let by_members = (0..LEASE).find(|age| {
            let confirming = self.confirmed.iter().flatten().filter(|a| *a <= age);
            confirming.count() >= others
        });
        [by_members, self.appended].into_iter().flatten().min()
    }

    /// Length of a lease that it may request now.
    #[must_use]
    pub fn lease_length(&self, rules: &Rules) -> Option<u8> {
        let age = self.confirmation(rules)?;
        Some(match rules.lease_end {
            LeaseEnd::AfterConfirmation => LEASE - age,
            LeaseEnd::AfterArrival => LEASE,
        })
    }

    /// Processes an acknowledgement by `member`.
    pub fn acknowledged(&mut self, member: usize, ack: Ack, rules: &Rules) {
        if ack.confirms {
            confirm(&mut self.confirmed[member], ack.age, rules);
        }
        if let Former::Unknown { acknowledged, .. } = &mut self.former {
            *acknowledged = acknowledged.with(member);
        }
        self.check_former(rules);
    }

    /// Processes the answer to an append that was sent `age` ago and accepted.
    pub fn append_accepted(&mut self, age: u8, rules: &Rules) {
        confirm(&mut self.appended, age, rules);
    }

    /// Processes the list of registered members.
    pub fn update_registered(&mut self, registered: Set, rules: &Rules) {
        self.registered = registered;
        self.quorum = self.quorum.max(rules.quorum_of(registered));
        self.check_former(rules);
    }

    /// Begins the wait for the expiry of unknown leases if it is time.
    pub fn check_former(&mut self, rules: &Rules) {
        let Former::Unknown {
            quorum,
            acknowledged,
        } = self.former
        else {
            return;
        };
        let is_over = match rules.expiry_after {
            ExpiryAfter::Takeover => true,
            ExpiryAfter::OwnMajority => acknowledged.count() >= self.registered.majority(),
            ExpiryAfter::FormerQuorum => self.registered.without(acknowledged).count() < quorum,
        };
        if is_over {
            self.former = Former::Over(0);
        }
    }

    /// The quorum that it records.
    #[must_use]
    pub fn recorded_quorum(&self, rules: &Rules) -> usize {
        match self.former {
            Former::Unknown { quorum, .. } if rules.carries_former_quorum => {
                quorum.min(self.quorum)
            }
            _ => self.quorum,
        }
    }

    /// Processes that it has requested a lease of this length.
    pub fn lease_requested(&mut self, length: u8, rules: &Rules) {
        if rules.waits_for_unanswered || self.former_lease.is_some() {
            self.own_lease = self.own_lease.max(length + MARGIN);
        }
    }

    /// Processes an answer of the endpoint.
    pub fn endpoint_answered(&mut self, rules: &Rules) {
        let longest = if rules.waits_after_reading {
            LEASE + MARGIN
        } else {
            0
        };
        self.former_lease.get_or_insert(longest);
    }

    /// Whether it concludes that every lease at the endpoint has expired.
    #[must_use]
    pub fn concludes_expiry(&self, rules: &Rules) -> bool {
        let former_expired = match (self.former_lease, self.former) {
            (Some(lease), _) => lease == 0,
            (None, Former::Over(age)) => age >= rules.expiry_wait,
            (None, Former::Unknown { .. }) => false,
        };
        former_expired && self.own_lease == 0
    }

    /// Advances time by one tick.
    pub fn tick(&mut self, rules: &Rules) {
        for age in self.confirmed.iter_mut().chain([&mut self.appended]) {
            *age = age.map(|a| a + 1).filter(|a| *a < LEASE);
        }
        for ack in &mut self.late_acks {
            *ack = ack.and_then(|ack| {
                let age = late_age(ack.age, rules)?;
                Some(Ack { age, ..ack })
            });
        }
        self.late_append = self.late_append.and_then(|age| late_age(age, rules));
        if let Former::Over(age) = &mut self.former {
            *age = (*age + 1).min(rules.expiry_wait);
        }
        self.former_lease = self.former_lease.map(|l| l.saturating_sub(1));
        self.own_lease = self.own_lease.saturating_sub(1);
    }
}

impl Order {
    /// The order a tick later; `None` if its lease has ended.
    #[must_use]
    pub fn after_tick(self, rules: &Rules) -> Option<Order> {
        let passed = match rules.lease_end {
            LeaseEnd::AfterConfirmation => 1,
            LeaseEnd::AfterArrival => 0,
        };
        let length = self.length - passed;
        (length > 0).then_some(Order { length, ..self })
    }
}

fn confirm(newest: &mut Option<u8>, age: u8, rules: &Rules) {
    let age = match rules.confirmed_as_of {
        AsOf::Sending => age,
        AsOf::Receipt => 0,
    };
    *newest = Some(newest.map_or(age, |a| a.min(age)));
}

/// Age of a delayed answer a tick later; `None` if it can't confirm anything any more.
///
/// The new epoch's acknowledgements are dropped then as well: a later one only delays a conclusion.
fn late_age(age: u8, rules: &Rules) -> Option<u8> {
    let age = (age + 1).min(LEASE);
    (age < LEASE || rules.confirmed_as_of == AsOf::Receipt).then_some(age)
}
