//! The leader's network link: a first-in first-out queue of bytes in each direction.

use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::order::{Order, Outcome, Target};
use pomelohitch_sched::rto::{Limits, Rto};

use super::{Fleet, ORDER_TIMEOUT, POLL_MARGIN, STEP};

/// Bytes of an order with its headers, without the text of a job.
const ORDER_BYTES: f64 = 300.0;
/// Bytes of a poll with its headers.
const POLL_BYTES: f64 = 300.0;
/// Bytes of an answer with its headers, without the listed runs and completions.
const ANSWER_BYTES: f64 = 200.0;
/// Bytes of each run or completion that an answer lists.
const LISTED_BYTES: f64 = 50.0;
/// Largest timeout of an order.
const ORDER_TIMEOUT_MAX: Duration = Duration::from_millis(600);

/// A byte position in one direction of the link, counted from the first byte.
pub(super) type Position = f64;

/// One direction of a link.
#[derive(Debug, Clone, Copy, Default)]
struct Direction {
    sent: Position,
    transmitted: Position,
}

impl Direction {
    /// Queues bytes; returns the position of the last one.
    fn send(&mut self, bytes: f64) -> Position {
        self.sent += bytes;
        self.sent
    }

    fn advance(&mut self, bytes: f64) {
        self.transmitted = (self.transmitted + bytes).min(self.sent);
    }

    /// Whether all bytes up to a position have arrived.
    fn has_transmitted(&self, position: Position) -> bool {
        position <= self.transmitted
    }
}

/// A link with the same bandwidth in each direction.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_s: f64,
    out: Direction,
    back: Direction,
    rto: Rto,
    orders: Vec<LinkOrder>,
}

/// An order that is in flight, executing or waiting for its answer.
#[derive(Debug, Clone)]
struct LinkOrder {
    target: Target,
    order: Order,
    epoch: u64,
    sent_at: Steady,
    /// Position of the last byte of the order.
    end: Position,
    times_out_at: Steady,
    is_executed: bool,
    is_reported: bool,
    /// The position of the answer's last byte, and the outcome.
    answer: Option<(Position, Outcome)>,
}

impl Link {
    /// An empty link with this bandwidth in each direction, in bytes per second.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Link {
        let limits = Limits {
            shortest: ORDER_TIMEOUT,
            longest: ORDER_TIMEOUT_MAX,
        };
        Link {
            bytes_per_s,
            out: Direction::default(),
            back: Direction::default(),
            rto: Rto::new(limits),
            orders: Vec::new(),
        }
    }

    /// Changes the bandwidth, in bytes per second.
    pub fn set_rate(&mut self, bytes_per_s: f64) {
        self.bytes_per_s = bytes_per_s;
    }

    /// Transmits the bytes that the bandwidth allows in this time.
    fn advance(&mut self, time: Duration) {
        let bytes = self.bytes_per_s * time.as_secs_f64();
        self.out.advance(bytes);
        self.back.advance(bytes);
    }

    /// Whether requests up to a position have arrived.
    pub(super) fn has_arrived(&self, position: Position) -> bool {
        self.out.has_transmitted(position)
    }

    /// Whether answers up to a position have arrived at the leader.
    pub(super) fn has_returned(&self, position: Position) -> bool {
        self.back.has_transmitted(position)
    }

    /// Queues a poll; returns the position of its last byte and its timeout beyond its wait.
    pub(super) fn send_poll(&mut self) -> (Position, Duration) {
        let margin = POLL_MARGIN + self.rto.timeout().saturating_sub(ORDER_TIMEOUT);
        (self.out.send(POLL_BYTES), margin)
    }

    /// Queues an answer that lists this many runs and completions; returns the position of its last
    /// byte.
    pub(super) fn send_answer(&mut self, listed: usize) -> Position {
        let listed = f64::from(u32::try_from(listed).unwrap_or(u32::MAX));
        self.back.send(ANSWER_BYTES + LISTED_BYTES * listed)
    }

    pub(super) fn send_order(&mut self, now: Steady, target: &Target, order: &Order, epoch: u64) {
        let text = match order {
            Order::Start { spec, .. } => u32::try_from(spec.text.len()).unwrap_or(u32::MAX),
            _ => 0,
        };
        let bytes = ORDER_BYTES + f64::from(text);
        self.orders.push(LinkOrder {
            target: target.clone(),
            order: order.clone(),
            epoch,
            sent_at: now,
            end: self.out.send(bytes),
            times_out_at: now + self.rto.timeout(),
            is_executed: false,
            is_reported: false,
            answer: None,
        });
    }
}

impl Fleet {
    /// Advances the link by a time step and processes orders and answers that have arrived.
    pub(super) fn advance_link(&mut self) {
        let Some(link) = &mut self.link else {
            return;
        };
        link.advance(STEP);
        for mut link_order in std::mem::take(&mut link.orders) {
            let is_over = self.process_order(&mut link_order);
            if !is_over && let Some(link) = &mut self.link {
                link.orders.push(link_order);
            }
        }
    }

    /// Processes an order on the link; returns whether it is finished.
    fn process_order(&mut self, link_order: &mut LinkOrder) -> bool {
        let Some(link) = &self.link else {
            return true;
        };
        let now = self.now.steady;
        let has_arrived = link.has_arrived(link_order.end);
        if has_arrived && !std::mem::replace(&mut link_order.is_executed, true) {
            let outcome =
                self.execute_order(&link_order.target, &link_order.order, link_order.epoch);
            let link = self
                .link
                .as_mut()
                .filter(|_| outcome != Outcome::Unanswered);
            link_order.answer = link.map(|link| (link.send_answer(0), outcome));
        }
        let link = self.link.as_ref();
        let answered = link_order.answer.as_ref();
        let answered = answered.filter(|(end, _)| link.is_some_and(|l| l.has_returned(*end)));
        let outcome = match answered {
            Some((_, outcome)) => Some(outcome.clone()),
            None => (link_order.times_out_at <= now).then_some(Outcome::Unanswered),
        };
        if let Some(outcome) = outcome.filter(|_| !link_order.is_reported) {
            link_order.is_reported = true;
            self.report_outcome(link_order, &outcome);
        }
        link_order.is_reported && link_order.is_executed
    }

    fn report_outcome(&mut self, link_order: &LinkOrder, outcome: &Outcome) {
        if let Some(link) = &mut self.link {
            let took = self.now.steady.saturating_sub(link_order.sent_at);
            link.rto.add_sample(took);
        }
        let LinkOrder { target, order, .. } = link_order;
        let is_start = matches!(order, Order::Start { .. });
        self.starts_lost += usize::from(is_start && *outcome == Outcome::Unanswered);
        self.decide(|cell, _| cell.ordered(target, order, outcome));
    }
}
