//! Limits retries to a fraction of first attempts.

/// Token bucket of retries, filled by first attempts, so that retries cannot multiply the load when
/// many requests fail at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

/// Retries allowed per first attempt.
pub const RETRIES_PER_ATTEMPT: f64 = 0.05;
/// Capacity of the bucket; limits the number of retries after a period without failures.
pub const MAX_TOKENS: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_ATTEMPT).min(MAX_TOKENS);
    }

    /// Whether the budget allows a retry.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry out of the budget; `false` if none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.allows_retry();
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
