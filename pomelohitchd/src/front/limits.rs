//! What one caller, and all of them together, may take up.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitch_route::head;

/// Sizes and times of the callers' port.
///
/// An entry instance is small: at these defaults its callers together hold no more than about
/// 64 MiB of bodies, 8 MiB of heads and the stacks of 512 threads.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Sizes of one request.
    pub request: head::Limits,
    /// Most connections at once.
    pub connections: usize,
    /// Most bytes of bodies held at once, over all connections.
    pub body_bytes_together: usize,
    /// How long a head may take from its first byte.
    pub head_within: Duration,
    /// How long a body may take.
    pub body_within: Duration,
    /// How long writing an answer may take.
    pub write_within: Duration,
    /// How long a connection may be idle between requests.
    pub idle: Duration,
    /// How often an idle connection looks whether the process shuts down.
    pub idle_tick: Duration,
    /// How often the accepting side looks whether the process shuts down.
    pub leaving_tick: Duration,
    /// How long new connections are served after a graceful shutdown began.
    pub leaving_grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            request: head::Limits::default(),
            connections: 512,
            body_bytes_together: 64 * 1024 * 1024,
            head_within: Duration::from_secs(5),
            body_within: Duration::from_secs(20),
            write_within: Duration::from_secs(20),
            idle: Duration::from_secs(30),
            idle_tick: Duration::from_millis(250),
            leaving_tick: Duration::from_millis(10),
            leaving_grace: Duration::from_secs(1),
        }
    }
}

/// Counts something of which only so much may be in use.
#[derive(Debug)]
pub struct Gauge {
    used: Arc<AtomicUsize>,
    most: usize,
}

/// Gives its part back when dropped, also by a panic.
#[derive(Debug)]
pub struct Guard {
    used: Arc<AtomicUsize>,
    amount: usize,
}

impl Gauge {
    /// A gauge of which `most` may be in use.
    #[must_use]
    pub fn new(most: usize) -> Gauge {
        Gauge {
            used: Arc::default(),
            most,
        }
    }

    /// How much is in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Takes `amount`, if so much is left.
    #[must_use]
    pub fn take(&self, amount: usize) -> Option<Guard> {
        let add = |used: usize| used.checked_add(amount).filter(|&sum| sum <= self.most);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(Guard {
            used: self.used.clone(),
            amount,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.used.fetch_sub(self.amount, Ordering::AcqRel);
    }
}
