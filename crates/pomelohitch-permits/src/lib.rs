//! Escrow of team limits and runner slots.
//!
//! An upper limit that must hold for every request cannot be checked with a remote call on every
//! request. So it is split over the entry instances as permits: a member that holds a permit may
//! run one request without a remote call. For each [`Resource`] one member, its home, hands the
//! permits out.
//!
//! Invariant: the permits held by all members, plus those of requests that members which ended may
//! still have running, never exceed the limit. A lost message can make permits unusable until the
//! next message, but cannot create permits:
//!
//! * A member gives up permits locally before it reports a lower count.
//! * A home records a grant before it sends it.
//! * Every [`Ask`] states the total that the member holds and invalidates all earlier asks: replies
//!   to those are ignored. So the home's record of a member is exact after each ask.
//! * Whenever the set of members changes, homes start with empty records, and grant nothing until
//!   every member has reported what it holds. Permits that are unaccounted for may belong to
//!   members that ended, and are not granted until those have certainly stopped.
//!
//! * [`resource`]: limited resources and their homes.
//! * [`message`]: messages between members and homes.
//! * [`holder`]: a member's permits of one resource.
//! * [`home`]: the records of a home on all its resources.
//! * [`split`]: division of a limit by what members want.

pub mod holder;
pub mod home;
pub mod message;
pub mod resource;
pub mod split;

pub use holder::Holder;
pub use home::Homes;
pub use message::{Ask, Load, Reply};
pub use resource::Resource;

/// Time on the process's monotonic clock, since an arbitrary fixed start.
pub type Monotonic = std::time::Duration;
