//! What a caller may be told after several attempts at its request.
//!
//! A member forwards a request again if an attempt isn't answered. A refusal then speaks of the
//! last attempt only: an earlier one may have been executed. It can be returned only if the leader
//! that refuses has read all that earlier leaders have written, and finds no effect of the request
//! in it. A later epoch alone doesn't prove that, since a leader may refuse a request for its key,
//! its queue or a missing configuration although it holds the effect.

use crate::Epoch;

/// Statuses if the leader can't serve the request now; a retry may succeed.
const UNAVAILABLE: [u16; 2] = [503, 504];
/// Status if the leader has no such job; also the answer to a repeated cancel.
pub const GONE: u16 = 410;

/// A leader's reply to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have taken effect; see
    /// [`Action::Reply`](crate::order::Action::Reply). `None` if the leader doesn't say.
    pub is_effect_possible: Option<bool>,
}

impl Reply {
    /// The verdict if no earlier attempt is known. A 503 says that the request never takes effect,
    /// which an attempt at another member may have.
    fn verdict_on_first(&self) -> Verdict {
        if self.status == 503 && self.is_effect_possible == Some(true) {
            Verdict::Retry
        } else {
            Verdict::Return
        }
    }

    fn is_refusal(&self) -> bool {
        !(200..300).contains(&self.status) && self.status != GONE
    }
}

/// What to do with a leader's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Return it to the caller.
    Return,
    /// Make another attempt.
    Retry,
    /// Tell the caller that the outcome is unknown.
    GiveUp,
}

/// The attempts at one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Attempts {
    maybe_executed_by: Option<Epoch>,
}

impl Attempts {
    /// Records that the leader with `epoch` may have executed an attempt.
    pub fn record_unknown(&mut self, epoch: Epoch) {
        self.maybe_executed_by = self.maybe_executed_by.max(Some(epoch));
    }

    /// The latest leadership that may have executed an attempt.
    #[must_use]
    pub fn maybe_executed_by(&self) -> Option<Epoch> {
        self.maybe_executed_by
    }

    /// Decides about a reply.
    #[must_use]
    pub fn verdict(&self, reply: &Reply) -> Verdict {
        let Some(earlier) = self.maybe_executed_by else {
            return reply.verdict_on_first();
        };
        let is_proof = reply.epoch > earlier && reply.is_effect_possible == Some(false);
        if !reply.is_refusal() || is_proof {
            Verdict::Return
        } else if UNAVAILABLE.contains(&reply.status) {
            Verdict::Retry
        } else {
            Verdict::GiveUp
        }
    }
}
