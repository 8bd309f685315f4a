//! Limits retries to a fraction of first attempts.

/// Token bucket of retries, filled by first attempts, so that retries cannot multiply the load when
/// many requests fail at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

/// Retries allowed per first attempt.
pub const RATIO: f64 = 0.05;
/// Capacity of the bucket; limits the number of retries after a period without failures.
pub const MOST: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MOST }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn first_try(&mut self) {
        self.tokens = (self.tokens + RATIO).min(MOST);
    }

    /// Whether the budget allows a retry.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry out of the budget; `false` if none is left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let may = self.has_one();
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}
