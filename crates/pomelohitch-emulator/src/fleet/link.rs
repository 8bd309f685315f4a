//! The leader's network link: a first-in first-out queue of bytes in each direction.

use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::order::{Order, Outcome, Target};
use pomelohitch_sched::rto::{Limits, Rto};

use super::{Fleet, LOOK_MARGIN, ORDER_WITHIN, STEP};

/// Bytes of an order with its headers, without the text of a job.
const ORDER_BYTES: f64 = 300.0;
/// Bytes of a poll with its headers.
const LOOK_BYTES: f64 = 300.0;
/// Bytes of an answer with its headers, without the listed runs and completions.
const ANSWER_BYTES: f64 = 200.0;
/// Bytes of each run or completion that an answer lists.
const LISTED_BYTES: f64 = 50.0;
/// Largest timeout of an order.
const ORDER_LONGEST: Duration = Duration::from_millis(600);

/// A byte position in one direction of the link, counted from the first byte.
pub(super) type Place = f64;

/// One direction of a link.
#[derive(Debug, Clone, Copy, Default)]
struct Direction {
    sent: Place,
    carried: Place,
}

impl Direction {
    /// Queues bytes; returns the position of the last one.
    fn send(&mut self, bytes: f64) -> Place {
        self.sent += bytes;
        self.sent
    }

    fn pass(&mut self, bytes: f64) {
        self.carried = (self.carried + bytes).min(self.sent);
    }

    /// Whether all bytes up to a position have arrived.
    fn has_carried(&self, place: Place) -> bool {
        place <= self.carried
    }
}

/// A link with the same bandwidth in each direction.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_s: f64,
    out: Direction,
    back: Direction,
    rto: Rto,
    orders: Vec<OnLink>,
}

/// An order that is in flight, executing or waiting for its answer.
#[derive(Debug, Clone)]
struct OnLink {
    target: Target,
    order: Order,
    epoch: u64,
    sent_at: Steady,
    end: Place,
    gives_up_at: Steady,
    is_carried_out: bool,
    is_told: bool,
    answer: Option<(Place, Outcome)>,
}

impl Link {
    /// An empty link with this bandwidth in each direction, in bytes per second.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Link {
        let limits = Limits {
            shortest: ORDER_WITHIN,
            longest: ORDER_LONGEST,
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
    fn pass(&mut self, time: Duration) {
        let bytes = self.bytes_per_s * time.as_secs_f64();
        self.out.pass(bytes);
        self.back.pass(bytes);
    }

    /// Whether requests up to a position have arrived.
    pub(super) fn has_arrived(&self, place: Place) -> bool {
        self.out.has_carried(place)
    }

    /// Whether answers up to a position have arrived at the leader.
    pub(super) fn has_come_back(&self, place: Place) -> bool {
        self.back.has_carried(place)
    }

    /// Queues a poll; returns the position of its last byte and its timeout beyond its wait.
    pub(super) fn look(&mut self) -> (Place, Duration) {
        let margin = LOOK_MARGIN + self.rto.timeout().saturating_sub(ORDER_WITHIN);
        (self.out.send(LOOK_BYTES), margin)
    }

    /// Queues an answer that lists this many runs and completions; returns the position of its last
    /// byte.
    pub(super) fn answer(&mut self, listed: usize) -> Place {
        let listed = f64::from(u32::try_from(listed).unwrap_or(u32::MAX));
        self.back.send(ANSWER_BYTES + LISTED_BYTES * listed)
    }

    pub(super) fn order(&mut self, now: Steady, target: &Target, order: &Order, epoch: u64) {
        let text = match order {
            Order::Start { spec, .. } => u32::try_from(spec.text.len()).unwrap_or(u32::MAX),
            _ => 0,
        };
        let bytes = ORDER_BYTES + f64::from(text);
        self.orders.push(OnLink {
            target: target.clone(),
            order: order.clone(),
            epoch,
            sent_at: now,
            end: self.out.send(bytes),
            gives_up_at: now + self.rto.timeout(),
            is_carried_out: false,
            is_told: false,
            answer: None,
        });
    }
}

impl Fleet {
    /// Advances the link by a time step and processes orders and answers that have arrived.
    pub(super) fn carry_link(&mut self) {
        let Some(link) = &mut self.link else {
            return;
        };
        link.pass(STEP);
        for mut on_link in std::mem::take(&mut link.orders) {
            let is_over = self.carry_order(&mut on_link);
            if !is_over && let Some(link) = &mut self.link {
                link.orders.push(on_link);
            }
        }
    }

    /// Processes an order on the link; returns whether it is finished.
    fn carry_order(&mut self, on_link: &mut OnLink) -> bool {
        let Some(link) = &self.link else {
            return true;
        };
        let now = self.now.steady;
        let has_arrived = link.has_arrived(on_link.end);
        if has_arrived && !std::mem::replace(&mut on_link.is_carried_out, true) {
            let outcome = self.order(&on_link.target, &on_link.order, on_link.epoch);
            let link = self
                .link
                .as_mut()
                .filter(|_| outcome != Outcome::Unanswered);
            on_link.answer = link.map(|link| (link.answer(0), outcome));
        }
        let link = self.link.as_ref();
        let answered = on_link.answer.as_ref();
        let answered = answered.filter(|(end, _)| link.is_some_and(|l| l.has_come_back(*end)));
        let outcome = match answered {
            Some((_, outcome)) => Some(outcome.clone()),
            None => (on_link.gives_up_at <= now).then_some(Outcome::Unanswered),
        };
        if let Some(outcome) = outcome.filter(|_| !on_link.is_told) {
            on_link.is_told = true;
            self.tell(on_link, &outcome);
        }
        on_link.is_told && on_link.is_carried_out
    }

    fn tell(&mut self, on_link: &OnLink, outcome: &Outcome) {
        if let Some(link) = &mut self.link {
            let took = self.now.steady.saturating_sub(on_link.sent_at);
            link.rto.add_sample(took);
        }
        let OnLink { target, order, .. } = on_link;
        let is_start = matches!(order, Order::Start { .. });
        self.starts_lost += usize::from(is_start && *outcome == Outcome::Unanswered);
        self.decide(|cell, _| cell.ordered(target, order, outcome));
    }
}
