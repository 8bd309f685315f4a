//! Appends records to the store.
//!
//! Appends are numbered, and the store accepts each only after its predecessor. Several are in
//! flight at a time, each on its own connection: sent one after another, a record would wait for up
//! to two answers of a slow store. An append that is durable implies that all before it are.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::store::{Appended, Store, Topic};
use pomelohitch_sched::Epoch;
use pomelohitch_sched::progress::Record;
use tracing::{info, warn};

use super::append_timeout::AppendTimeout;
use super::confirmation::Confirmation;
use super::core::Event;
use super::epoch_condition;
use crate::fleet::clock;
use crate::fleet::shared::{Shared, spawn};

/// Maximum number of appends in flight. The store gives the original answer to a repeated append
/// only for the last five.
pub const MAX_IN_FLIGHT: usize = 4;
/// Delay before a refused append is retried; the platform charges for refused calls too.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Delay before an append is retried whose predecessor is in flight and hasn't reached the store.
const PREDECESSOR_DELAY: Duration = Duration::from_millis(30);
/// Interval at which the leadership is confirmed while there are no records to write.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);
/// Key of the record that only confirms the leadership.
const CONFIRM_KEY: &str = "lease";
/// Maximum bytes of values in one append; the platform's limit is 2 MB.
const MAX_APPEND_BYTES: usize = 1_000_000;

/// Sequence number of an append of one leadership, counted from [`FIRST`].
pub type Sequence = u64;

/// The first append of a leadership.
const FIRST: Sequence = 1;

/// Records of one append.
#[derive(Debug)]
struct Append {
    sequence: Sequence,
    records: Vec<Record>,
}

/// Queue to the threads that append records.
#[derive(Debug)]
pub struct Journal {
    appends: Sender<Append>,
    last: Sequence,
}

impl Journal {
    /// Starts the threads that append; they end when the journal is dropped.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        events: &Sender<Event>,
        confirmation: &Arc<Confirmation>,
    ) -> std::io::Result<Journal> {
        let (appends, rx) = mpsc::channel();
        let common = Arc::new(Common {
            shared: shared.clone(),
            epoch,
            timeout: Mutex::default(),
            queue: Mutex::new(rx),
            durable: AtomicU64::new(0),
            is_available: AtomicBool::new(true),
            confirmation: confirmation.clone(),
        });
        for _ in 0..MAX_IN_FLIGHT {
            let writer = Writer {
                common: common.clone(),
                store: shared.store(),
                events: events.clone(),
            };
            spawn("journal", move || writer.run())?;
        }
        Ok(Journal { appends, last: 0 })
    }

    /// Queues records and returns the sequence number of their last append. [`Event::Committed`]
    /// reports when the appends up to a number are durable.
    pub fn commit(&mut self, records: Vec<Record>) -> Sequence {
        for part in split(records) {
            self.last += 1;
            let append = Append {
                sequence: self.last,
                records: part,
            };
            // Fails only if the threads have ended, which they do early only with the leadership.
            let _ = self.appends.send(append);
        }
        self.last
    }

    /// Queues a record that only confirms the leadership; returns the sequence number of its
    /// append.
    pub fn append_confirmation(&mut self, epoch: Epoch) -> Sequence {
        self.commit(vec![Record {
            key: CONFIRM_KEY.into(),
            value: Some(epoch.to_be_bytes().into()),
        }])
    }
}

/// Splits records into parts that fit into one append each.
fn split(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut parts = Vec::new();
    let (mut part, mut bytes) = (Vec::new(), 0);
    for record in records {
        let size = record.value.as_ref().map_or(0, |v| v.len());
        if bytes + size > MAX_APPEND_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(record);
    }
    parts.push(part);
    parts
}

/// State shared by the writer threads.
struct Common {
    shared: Arc<Shared>,
    epoch: Epoch,
    timeout: Mutex<AppendTimeout>,
    queue: Mutex<Receiver<Append>>,
    /// Last append that is known to be durable.
    durable: AtomicU64,
    /// Whether the store accepts appends, as last reported.
    is_available: AtomicBool,
    confirmation: Arc<Confirmation>,
}

struct Writer {
    common: Arc<Common>,
    store: Store,
    events: Sender<Event>,
}

/// The leadership has ended.
struct LeadershipEnded;

impl Common {
    /// Waits for the next append; `None` once the [`Journal`] is dropped.
    fn next(&self) -> Option<Append> {
        lock(&self.queue).recv().ok()
    }

    fn is_durable(&self, sequence: Sequence) -> bool {
        self.durable.load(Ordering::Acquire) >= sequence
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Writer {
    fn run(self) {
        while let Some(append) = self.common.next() {
            if self.append(&append).is_err() {
                return;
            }
        }
    }

    /// Retries an append until the store has accepted it or a later one.
    fn append(&self, append: &Append) -> Result<(), LeadershipEnded> {
        let Append { sequence, records } = append;
        let condition = epoch_condition(self.common.epoch, *sequence);
        let mut failed_attempts = 0;
        let mut unanswered_since = None;
        while !self.common.is_durable(*sequence) {
            if !self.is_leader() {
                return Err(LeadershipEnded);
            }
            // The store accepts any number as the first of an epoch. No other append is sent until
            // the first one is durable: if another were accepted before it, the first records would
            // be lost.
            if *sequence > FIRST && !self.common.is_durable(FIRST) {
                std::thread::sleep(PREDECESSOR_DELAY);
                continue;
            }
            let is_predecessor_durable = self.common.is_durable(sequence - 1);
            let started_at = clock::steady();
            let timeout = lock(&self.common.timeout).for_attempt(failed_attempts);
            match self.store.append(Topic::Jobs, records, condition, timeout) {
                Ok(Appended::Done { .. }) => {
                    // A repeat may receive the answer to an attempt that was carried out before a later
                    // leader took over.
                    let confirmed_at = unanswered_since.unwrap_or(started_at);
                    self.common.confirmation.confirmed_by_store(confirmed_at);
                    return self.mark_durable(*sequence, started_at);
                }
                Ok(Appended::OutOfSequence)
                    if !is_predecessor_durable || self.common.is_durable(*sequence) =>
                {
                    std::thread::sleep(PREDECESSOR_DELAY);
                }
                Ok(other) => {
                    warn!(
                        ?other,
                        epoch = self.common.epoch,
                        "append permanently refused"
                    );
                    let _ = self.events.send(Event::Deposed("fenced by the store"));
                    return Err(LeadershipEnded);
                }
                // The answer was lost, but a later append was accepted, which implies this one.
                Err(_) if self.common.is_durable(*sequence) => {}
                Err(error) => {
                    let is_timeout = error.status().is_none();
                    if is_timeout {
                        unanswered_since.get_or_insert(started_at);
                    }
                    if self.common.is_available.load(Ordering::Acquire) {
                        info!(%error, within = ?timeout, sequence, "append failed; retrying");
                    }
                    self.report_availability(false)?;
                    failed_attempts += 1;
                    if !is_timeout || started_at + RETRY_DELAY > clock::steady() {
                        std::thread::sleep(RETRY_DELAY);
                    }
                }
            }
        }
        Ok(())
    }

    fn is_leader(&self) -> bool {
        let leadership = self.common.shared.leadership();
        leadership.is_some_and(|l| l.epoch == self.common.epoch)
    }

    fn mark_durable(
        &self,
        sequence: Sequence,
        started_at: Duration,
    ) -> Result<(), LeadershipEnded> {
        let took = clock::steady().saturating_sub(started_at);
        lock(&self.common.timeout).add_sample(took);
        metrics::histogram!("journal_append_seconds").record(took.as_secs_f64());
        self.common.durable.fetch_max(sequence, Ordering::AcqRel);
        self.report_availability(true)?;
        self.events
            .send(Event::Committed(sequence))
            .map_err(|_| LeadershipEnded)
    }

    /// Reports whether the store accepts appends, if that has changed.
    fn report_availability(&self, is_available: bool) -> Result<(), LeadershipEnded> {
        if self
            .common
            .is_available
            .swap(is_available, Ordering::AcqRel)
            == is_available
        {
            return Ok(());
        }
        self.events
            .send(Event::AppendsAvailable(is_available))
            .map_err(|_| LeadershipEnded)
    }
}
