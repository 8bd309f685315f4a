//! Makes records durable.
//!
//! Appends are numbered, and the store takes each only after the one before. Several may be on
//! their way, each on a connection of its own: while the store answers slowly, one behind the other
//! would make each record wait for up to two answers. That an append is durable says the same of all
//! before it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::store::{Appended, Store, Topic};
use pomelohitch_sched::Epoch;
use pomelohitch_sched::progress::Record;
use tracing::{info, warn};

use super::core::{Event, confirm};
use super::epoch_guard;
use super::patience::Patience;
use crate::fleet::clock;
use crate::fleet::shared::{Shared, spawn};

/// Most appends on their way. The store answers a repeat of one of the last five as it did at first.
pub const AT_ONCE: usize = 4;
/// Pause after a refusal; refused calls are priced too.
const AGAIN_AFTER: Duration = Duration::from_millis(120);
/// Pause after the store has missed the append before, which is on its way.
const OUT_OF_TURN: Duration = Duration::from_millis(30);
/// Without records to write, the leadership is confirmed this often.
pub const CONFIRM_EVERY: Duration = Duration::from_millis(700);
/// Key of the record that only confirms.
const CONFIRM_KEY: &str = "lease";
/// Most bytes of values in one append; the platform allows 2 MB.
const APPEND_BYTES: usize = 1_000_000;

/// Numbers the appends of one leadership, from [`FIRST`].
pub type Sequence = u64;

/// The first append of a leadership.
const FIRST: Sequence = 1;

/// Some records, and their place among the appends.
#[derive(Debug)]
struct Numbered {
    sequence: Sequence,
    records: Vec<Record>,
}

/// Where records go.
#[derive(Debug)]
pub struct Journal {
    appends: Sender<Numbered>,
    last: Sequence,
}

impl Journal {
    /// Starts the threads that append; they end when this is dropped.
    ///
    /// # Errors
    /// If the system has no room for another thread.
    pub fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        events: &Sender<Event>,
        confirmed: &Arc<AtomicU64>,
    ) -> std::io::Result<Journal> {
        let (appends, rx) = mpsc::channel();
        let common = Arc::new(Common {
            shared: shared.clone(),
            epoch,
            patience: Mutex::default(),
            waiting: Mutex::new(rx),
            durable: AtomicU64::new(0),
            is_well: AtomicBool::new(true),
            confirmed: confirmed.clone(),
        });
        for _ in 0..AT_ONCE {
            let writer = Writer {
                common: common.clone(),
                store: shared.store(),
                events: events.clone(),
            };
            spawn("journal", move || writer.run())?;
        }
        Ok(Journal { appends, last: 0 })
    }

    /// Makes records durable; that those up to the returned number are comes as
    /// [`Event::Committed`].
    pub fn commit(&mut self, records: Vec<Record>) -> Sequence {
        for part in parts(records) {
            self.last += 1;
            let numbered = Numbered {
                sequence: self.last,
                records: part,
            };
            // The threads end early only when the leadership does.
            let _ = self.appends.send(numbered);
        }
        self.last
    }

    /// Writes a record that only confirms the leadership; returns its number.
    pub fn confirm(&mut self, epoch: Epoch) -> Sequence {
        self.commit(vec![Record {
            key: CONFIRM_KEY.into(),
            value: Some(epoch.to_be_bytes().into()),
        }])
    }
}

/// Records in parts that one append can hold.
fn parts(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut parts = Vec::new();
    let (mut part, mut bytes) = (Vec::new(), 0);
    for record in records {
        let size = record.value.as_ref().map_or(0, |v| v.len());
        if bytes + size > APPEND_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(record);
    }
    parts.push(part);
    parts
}

/// What the writing threads share.
struct Common {
    shared: Arc<Shared>,
    epoch: Epoch,
    patience: Mutex<Patience>,
    waiting: Mutex<Receiver<Numbered>>,
    /// The last append that is known to be durable.
    durable: AtomicU64,
    /// Whether the store takes appends.
    is_well: AtomicBool,
    confirmed: Arc<AtomicU64>,
}

struct Writer {
    common: Arc<Common>,
    store: Store,
    events: Sender<Event>,
}

/// The leadership is over.
struct Over;

impl Common {
    /// Waits for the next append; `None` when there won't be any.
    fn next(&self) -> Option<Numbered> {
        lock(&self.waiting).recv().ok()
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
        while let Some(numbered) = self.common.next() {
            if self.append(&numbered).is_err() {
                return;
            }
        }
    }

    /// Appends until the store has taken it, or a later one.
    fn append(&self, numbered: &Numbered) -> Result<(), Over> {
        let Numbered { sequence, records } = numbered;
        let guard = epoch_guard(self.common.epoch, *sequence);
        let mut tries = 0;
        while !self.common.is_durable(*sequence) {
            if !self.is_leader() {
                return Err(Over);
            }
            // The store takes any number as the first of an epoch. Nothing is sent beside it, since
            // the first records would be lost if others were taken before them.
            if *sequence > FIRST && !self.common.is_durable(FIRST) {
                std::thread::sleep(OUT_OF_TURN);
                continue;
            }
            let follows = self.common.is_durable(sequence - 1);
            let began = clock::steady();
            let within = lock(&self.common.patience).of_try(tries);
            match self.store.append(Topic::Jobs, records, guard, within) {
                Ok(Appended::Done { .. }) => return self.done(*sequence, began),
                Ok(Appended::OutOfSequence) if !follows || self.common.is_durable(*sequence) => {
                    std::thread::sleep(OUT_OF_TURN);
                }
                Ok(other) => {
                    warn!(?other, epoch = self.common.epoch, "append refused for good");
                    let _ = self.events.send(Event::Deposed("fenced by the store"));
                    return Err(Over);
                }
                // The answer is lost, but a later append was taken.
                Err(_) if self.common.is_durable(*sequence) => {}
                Err(error) => {
                    let is_timeout = error.status().is_none();
                    if self.common.is_well.load(Ordering::Acquire) {
                        info!(%error, ?within, sequence, "append tried again");
                    }
                    self.tell(false)?;
                    tries += 1;
                    if !is_timeout || began + AGAIN_AFTER > clock::steady() {
                        std::thread::sleep(AGAIN_AFTER);
                    }
                }
            }
        }
        Ok(())
    }

    fn is_leader(&self) -> bool {
        let leading = self.common.shared.leadership();
        leading.is_some_and(|l| l.epoch == self.common.epoch)
    }

    fn done(&self, sequence: Sequence, began: Duration) -> Result<(), Over> {
        let took = clock::steady().saturating_sub(began);
        lock(&self.common.patience).took(took);
        metrics::histogram!("journal_append_seconds").record(took.as_secs_f64());
        confirm(&self.common.confirmed);
        self.common.durable.fetch_max(sequence, Ordering::AcqRel);
        self.tell(true)?;
        self.events
            .send(Event::Committed(sequence))
            .map_err(|_| Over)
    }

    /// Tells whether the store takes appends, if that has changed.
    fn tell(&self, is_well: bool) -> Result<(), Over> {
        if self.common.is_well.swap(is_well, Ordering::AcqRel) == is_well {
            return Ok(());
        }
        self.events.send(Event::Appends(is_well)).map_err(|_| Over)
    }
}
