//! Counts answers for the burn rate of service-level objectives, and appends each minute's counts
//! to the log.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pomelohitch_burn::counts::MINUTES_KEPT;
use pomelohitch_burn::record::{BURN_STREAM, Record};
use pomelohitch_burn::{Counts, Minute, minute_of};
use pomelohitch_core::Service;
use pomelohitch_core::id::Incarnation;
use pomelohitch_route::Problem;
use pomelohitch_route::send::Answer;

use crate::node::{Node, wall_clock};

/// Interval at which the end of a minute is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The lowest status that counts as a failure of the service.
const MIN_FAILURE_STATUS: u16 = 500;

/// The counts of this process.
#[derive(Debug, Default)]
pub struct Burn {
    counts: Mutex<Counts>,
    queue: Mutex<RecordQueue>,
}

/// Tracks which minutes still have to be closed.
#[derive(Debug, Default)]
pub struct Minutes {
    next: Option<Minute>,
}

impl Minutes {
    /// The minutes that are over at `now` and weren't returned before; none at the first call,
    /// which starts the count.
    ///
    /// After the clock was set far ahead, at most a day's minutes are returned; after it was set
    /// back, none until it has caught up.
    pub fn past(&mut self, now: Minute) -> Range<Minute> {
        let next = self.next.unwrap_or(now);
        let from = next.max(now.saturating_sub(MINUTES_KEPT as Minute));
        self.next = Some(from.max(now));
        from..now.max(from)
    }
}

/// Numbers this process's records and queues those that aren't appended yet.
#[derive(Debug, Default)]
struct RecordQueue {
    minutes: Minutes,
    incarnation: Option<Incarnation>,
    seq: u64,
    pending: VecDeque<Box<str>>,
}

/// Whether an answer meets the service's objective; `None` if it isn't counted, because the
/// service has no objective or the caller's request was at fault.
#[must_use]
pub fn is_good(
    service: &Service,
    answered: &Result<Answer, Problem>,
    took: Duration,
) -> Option<bool> {
    let objective = service.objective.as_ref()?;
    match answered {
        Ok(answer) => Some(answer.status < MIN_FAILURE_STATUS && took <= objective.within),
        Err(problem) if problem.kind.status() < MIN_FAILURE_STATUS => None,
        Err(_) => Some(false),
    }
}

impl Burn {
    /// Counts the answer to a request of `team` that arrived at `arrived`.
    pub fn record_answer(
        &self,
        service: &Service,
        team: &str,
        answered: &Result<Answer, Problem>,
        arrived: Instant,
    ) {
        if let Some(good) = is_good(service, answered, arrived.elapsed()) {
            let minute = minute_of(wall_clock());
            lock(&self.counts).record(&service.id, team, good, minute);
        }
    }

    /// Queues the record of `minute`, which is over.
    fn close(&self, node: &Node, minute: Minute, last: bool) {
        let rows = lock(&self.counts).take(minute);
        let mut queue = lock(&self.queue);
        let joined = node.joined_incarnation();
        // A process that joins again keeps its first incarnation, because its sequence numbers
        // continue.
        let incarnation = *queue.incarnation.get_or_insert(joined);
        let record = Record {
            member: node.settings.member.clone(),
            incarnation,
            seq: queue.seq,
            minute,
            last,
            rows,
        };
        queue.seq += 1;
        queue.pending.push_back(record.encode());
        // The dropped record shows as a gap in the sequence numbers.
        if queue.pending.len() > MINUTES_KEPT {
            queue.pending.pop_front();
        }
    }

    /// Appends the queued records. A record whose append may have taken effect is appended again;
    /// its sequence number makes it count once.
    fn append(&self, node: &Node) {
        let mut queue = lock(&self.queue);
        if queue.pending.is_empty() {
            return;
        }
        match (node.log.append)(BURN_STREAM, queue.pending.make_contiguous()) {
            Ok(_) => queue.pending.clear(),
            Err(_) => metrics::counter!("burn_append_errors").increment(1),
        }
    }
}

/// Appends each minute's counts until a graceful shutdown begins. While the log is down, up to a
/// day of records is queued.
pub fn run(node: &Arc<Node>) {
    while !node.is_leaving() {
        if node.is_ready() {
            close_past(node, minute_of(wall_clock()));
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}

fn close_past(node: &Node, now: Minute) {
    let past = lock(&node.burn.queue).minutes.past(now);
    let has_closed = !past.is_empty();
    for minute in past {
        node.burn.close(node, minute, false);
    }
    if has_closed {
        node.burn.append(node);
    }
}

/// Appends the counts up to the last answer in a record marked as the last one. Without it, a
/// report would show that the process ended abruptly.
///
/// The previous minute may have ended since the last check and is closed as well. Otherwise an
/// entry instance that is replaced around a full minute would lose its counts.
pub fn finish(node: &Node) {
    let now = minute_of(wall_clock());
    close_past(node, now);
    node.burn.close(node, now, true);
    node.burn.append(node);
}

/// Ignores poisoning: both values are consistent after every step, even if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
