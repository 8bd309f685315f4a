//! Messages between members and homes.

use pomelohitch_core::id::{Incarnation, MemberId, Offset, ServiceId, TeamId};

use crate::resource::Resource;

/// Sequence number of a holder's asks.
pub type Sequence = u64;

/// A member reports all permits of a resource that it holds, and how many it could use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The resource.
    pub resource: Resource,
    /// The epoch of the set of members from which the home was determined.
    pub epoch: Offset,
    /// The member that asks.
    pub member: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The first incarnation of its process. What the earlier ones of the process run is included
    /// in what it holds.
    pub since: Incarnation,
    /// Greater than the number of every earlier ask of this holder.
    pub sequence: Sequence,
    /// Number of permits that it holds, whether in use or not.
    pub held: u32,
    /// Number of permits that it could use.
    pub want: u32,
    /// Whether it is shutting down; if so, it gets no more than it wants.
    pub leaving: bool,
}

/// A home's answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    /// The resource.
    pub resource: Resource,
    /// The epoch of the ask.
    pub epoch: Offset,
    /// Sequence number of the ask.
    pub sequence: Sequence,
    /// Number of permits granted in addition to those that the ask states as held.
    pub granted: u32,
    /// Number of permits that the member should hold, whether in use or not. With its next ask it
    /// returns free permits beyond this.
    pub keep: u32,
}

/// A member's load of one team's requests to one service. Members compute their parts from the
/// loads of all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// Number of requests sent to runners.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Capacity needed to serve the requests at the rate at which they arrive, and the queued ones
    /// within a second, in thousandths of a slot.
    pub need: u32,
}
