//! When a run that is missing from an endpoint's answer certainly doesn't exist.
//!
//! An answer isn't a snapshot: its clock and its two lists are read at different moments between the
//! sending of the poll and the answer, and a run is listed only some time after its start was
//! accepted, as its end is after it has ended. What rules a run out therefore has to lie some time
//! before the sending of a poll whose answer lacks the run: [`MAX_LISTING_DELAY`], or
//! [`STOP_MARGIN`] where the endpoint has promised to reject the start.

use std::time::Duration;

use crate::Steady;
use crate::progress::{Phase, RunView};
use crate::unanswered::MAX_ORDER_DELAY;

/// Longest time from the acceptance of a start until its run is listed, and from the end of a run
/// until that is listed.
pub const MAX_LISTING_DELAY: Duration = Duration::from_secs(1);
/// Time after the acknowledgement of a stop by which what was under way when it arrived is listed.
pub const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Polls that are sent later than this are decisive: a run that is missing from the answer doesn't
/// exist. `None` if nothing rules the run out.
///
/// The endpoint has answered this leader since `known_since`, and rejects the starts of former
/// leaders since then.
#[must_use]
pub fn decisive_from(view: &RunView, known_since: Option<Steady>) -> Option<Steady> {
    let after = |at: Option<Steady>, margin| at.map(|at| at + margin);
    match view.phase {
        _ if view.seen_at.is_some() => after(view.missing_since, MAX_LISTING_DELAY),
        Phase::Recorded => after(known_since, MAX_LISTING_DELAY),
        Phase::Ordered => None,
        Phase::Unanswered => after(view.stop_acked_at, STOP_MARGIN)
            .or(after(view.sent_at, MAX_ORDER_DELAY + MAX_LISTING_DELAY)),
        Phase::Taken { at } => Some(at + MAX_LISTING_DELAY),
    }
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
