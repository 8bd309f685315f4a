//! How many starts may be on their way.
//!
//! The load that this answers: a new leader finds some thousand tasks that wait, or a turn begins
//! that asks for more starts than this process can send. Decided all at once, most would wait until
//! they are too old to be sent, and what was decided for each would be decided again. So many are
//! under way at a time as were answered of late within a fraction of a second; the others are
//! decided when their turn to be sent has come, by what is known then.

use std::time::Duration;

use crate::Steady;

/// Starts under way are answered within about this time.
const WITHIN: Duration = Duration::from_millis(250);
/// So many may always be under way: what a leader can surely send within that time.
const FEWEST: usize = 160;
/// Answers are counted over spans of this length.
const SPAN: Duration = Duration::from_millis(250);
/// How much of the rate of answers stays from one span to the next.
const FADE: f64 = 0.5;

/// Starts on their way, and how fast they are answered.
#[derive(Debug, Clone, Default)]
pub struct Flow {
    under_way: usize,
    answered: u32,
    span_began: Steady,
    /// Answers in a span.
    rate: f64,
}

impl Flow {
    /// Takes in that a start was decided.
    pub fn decided(&mut self) {
        self.under_way += 1;
    }

    /// Takes in that a start was answered, or given up.
    pub fn answered(&mut self, now: Steady) {
        self.under_way = self.under_way.saturating_sub(1);
        if now >= self.span_began + SPAN {
            self.rate = self
                .rate
                .mul_add(FADE, f64::from(self.answered) * (1.0 - FADE));
            self.answered = 0;
            self.span_began = now;
        }
        self.answered += 1;
    }

    /// Whether one more start may go out.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let spans = WITHIN.as_secs_f64() / SPAN.as_secs_f64();
        let sent = self.rate.max(f64::from(self.answered)) * spans;
        let most = FEWEST.max(whole(2.0 * sent));
        self.under_way < most
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of some thousand at most"
)]
fn whole(number: f64) -> usize {
    number as usize
}
