//! Limits of the callers' port, per request, per connection and over all connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitch_route::{Head, head};
use rouille::Response;

use super::connection;

/// Limits on sizes and times at the callers' port.
///
/// With the defaults, all callers together use at most about 64 MiB for bodies, 8 MiB for heads
/// and the stacks of 512 threads, so that a small instance suffices.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Limits on the head and body of one request, in bytes.
    pub request: head::Limits,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of body bytes in memory, over all connections.
    pub total_body_bytes: usize,
    /// Timeout for reading a head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout for reading a body.
    pub body_timeout: Duration,
    /// Timeout for a blocking write of an answer.
    pub write_timeout: Duration,
    /// A connection is closed after this time without a request.
    pub idle_timeout: Duration,
    /// Interval at which an idle connection checks for a shutdown.
    pub idle_check_interval: Duration,
    /// Interval at which the serving thread checks for a shutdown.
    pub shutdown_check_interval: Duration,
    /// New connections are still served for this long after a graceful shutdown begins.
    pub shutdown_grace: Duration,
    /// The answer, with the given detail, if there is no room for a connection, or for the body of
    /// the request with this head.
    pub no_room: fn(&str, Option<&Head>) -> Response,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            request: head::Limits::default(),
            connections: 512,
            total_body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            write_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(30),
            idle_check_interval: Duration::from_millis(250),
            shutdown_check_interval: Duration::from_millis(10),
            shutdown_grace: Duration::from_secs(1),
            no_room: connection::no_room,
        }
    }
}

/// A limited amount (of connections or bytes) and how much of it is in use.
#[derive(Debug)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    max: usize,
}

/// Returns its amount when dropped, also during a panic.
#[derive(Debug)]
pub struct BudgetGuard {
    used: Arc<AtomicUsize>,
    amount: usize,
}

impl Budget {
    /// A budget of which at most `max` may be in use.
    #[must_use]
    pub fn new(max: usize) -> Budget {
        Budget {
            used: Arc::default(),
            max,
        }
    }

    /// The amount in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Takes `amount`; `None` if less than that is left.
    #[must_use]
    pub fn take(&self, amount: usize) -> Option<BudgetGuard> {
        let add = |used: usize| used.checked_add(amount).filter(|&sum| sum <= self.max);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(BudgetGuard {
            used: self.used.clone(),
            amount,
        })
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        self.used.fetch_sub(self.amount, Ordering::AcqRel);
    }
}
