//! When a run that is missing from an endpoint's answer certainly doesn't exist.
//!
//! An answer isn't a snapshot: its clock and its two lists are read at different moments between the
//! sending of the poll and the answer, and a run is listed only some time after its start was
//! accepted, as its end is after it has ended. What rules a run out therefore has to lie
//! [`MAX_LISTING_DELAY`] before the sending of a poll whose answer lacks the run.

use std::time::Duration;

use crate::Steady;
use crate::progress::{Phase, RunView};
use crate::unanswered::MAX_ORDER_DELAY;

/// Longest time from the acceptance of a start until its run is listed, and from the end of a run
/// until that is listed.
pub const MAX_LISTING_DELAY: Duration = Duration::from_millis(300);

/// Polls that are sent later than this are decisive: a run that is missing from the answer doesn't
/// exist. `None` if nothing rules the run out.
///
/// The endpoint has answered this leader since `known_since`, and rejects the starts of former
/// leaders since then.
#[must_use]
pub fn decisive_from(view: &RunView, known_since: Option<Steady>) -> Option<Steady> {
    let ruled_out_at = match view.phase {
        _ if view.seen_at.is_some() => view.missing_since,
        Phase::Recorded => known_since,
        Phase::Ordered => None,
        Phase::Unanswered => view
            .stop_acked_at
            .or(view.sent_at.map(|at| at + MAX_ORDER_DELAY)),
        Phase::Taken { at } => Some(at),
    };
    ruled_out_at.map(|at| at + MAX_LISTING_DELAY)
}

/// Whether an unanswered start can't take effect any more, nor have an effect that isn't listed yet.
/// `clock` is a lower bound of the endpoint's clock when the poll was sent.
#[must_use]
pub fn is_void(view: &RunView, clock: Option<Duration>) -> bool {
    let until = view.void_after.filter(|_| view.phase == Phase::Unanswered);
    until
        .zip(clock)
        .is_some_and(|(until, clock)| clock > until + MAX_LISTING_DELAY)
}
