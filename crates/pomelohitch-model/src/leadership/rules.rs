//! When leaders renew leases, and when they count as expired.

use super::set::Set;
use super::world::{LEASE, MARGIN};

/// When leaders renew leases, and when they count as expired.
///
/// The default is the whole rule. Tests disable one part at a time, to verify that the check finds
/// the resulting fault.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a part of the rule that can be disabled"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// The share of the registered members that is a quorum.
    pub quorum: Quorum,
    /// Whose acknowledgements confirm a leadership.
    pub confirmed_by: ConfirmedBy,
    /// The time as of which an answer confirms a leadership.
    pub confirmed_as_of: AsOf,
    /// The end of a lease.
    pub lease_end: LeaseEnd,
    /// Whether a member confirms no leadership until it has read the store since it started.
    pub reads_before_confirming: bool,
    /// Whether a member refuses heartbeats of a lower epoch than one it knows.
    pub members_fence: bool,
    /// Whether a leader that acknowledges a later epoch stops leading at once.
    pub ends_when_acknowledging: bool,
    /// When the wait for the expiry of unknown leases begins.
    pub expiry_after: ExpiryAfter,
    /// Ticks after which unknown leases count as expired.
    pub expiry_wait: u8,
    /// Whether a leader that still waits for acknowledgements records the former leadership's
    /// quorum if that is smaller than its own.
    pub carries_former_quorum: bool,
    /// Whether liveness records contain the quorum; otherwise only claims do.
    pub records_quorum_growth: bool,
    /// Whether an endpoint refuses orders of a lower epoch than one it has seen.
    pub endpoint_fences: bool,
    /// Whether a leader that has read an endpoint waits for the expiry of a former leader's lease.
    pub waits_after_reading: bool,
    /// Whether a leader waits for the expiry of a lease that it has requested without an answer.
    pub waits_for_unanswered: bool,
}

/// The share of the registered members that is a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quorum {
    /// More than half.
    Majority,
    /// At least half.
    Half,
}

/// Whose acknowledgements confirm a leadership. An accepted append confirms it as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// A quorum of the largest number of registered members that the leader has known.
    Quorum,
    /// Any other member.
    AnyMember,
}

/// The time as of which an answer confirms a leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AsOf {
    /// When the answered message was sent.
    Sending,
    /// When the answer was received.
    Receipt,
}

/// The end of a lease that a leader requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEnd {
    /// [`LEASE`] after the leadership was confirmed.
    AfterConfirmation,
    /// [`LEASE`] after the order has arrived.
    AfterArrival,
}

/// When the wait for the expiry of unknown leases begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryAfter {
    /// At the takeover.
    Takeover,
    /// When a majority of the registered members has acknowledged the new epoch.
    OwnMajority,
    /// When the members that have not acknowledged the new epoch are fewer than the quorum that the
    /// former leadership recorded.
    FormerQuorum,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            quorum: Quorum::Majority,
            confirmed_by: ConfirmedBy::Quorum,
            confirmed_as_of: AsOf::Sending,
            lease_end: LeaseEnd::AfterConfirmation,
            reads_before_confirming: true,
            members_fence: true,
            ends_when_acknowledging: true,
            expiry_after: ExpiryAfter::FormerQuorum,
            expiry_wait: LEASE + MARGIN,
            carries_former_quorum: true,
            records_quorum_growth: true,
            endpoint_fences: true,
            waits_after_reading: true,
            waits_for_unanswered: true,
        }
    }
}

impl Rules {
    /// Number of members of a quorum of the registered members.
    #[must_use]
    pub fn quorum_of(&self, registered: Set) -> usize {
        match self.quorum {
            Quorum::Majority => registered.majority(),
            Quorum::Half => registered.half(),
        }
    }

    /// Rules without quorums: a leader renews leases while any member answers, and a later leader
    /// waits for a fixed time after its takeover.
    #[must_use]
    pub fn without_quorum() -> Rules {
        Rules {
            confirmed_by: ConfirmedBy::AnyMember,
            confirmed_as_of: AsOf::Receipt,
            lease_end: LeaseEnd::AfterArrival,
            reads_before_confirming: false,
            expiry_after: ExpiryAfter::Takeover,
            // The last answer, its validity, and the lease requested then.
            expiry_wait: 2 * LEASE + MARGIN,
            ..Rules::default()
        }
    }
}
