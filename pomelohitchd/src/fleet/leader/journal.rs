//! Makes records durable.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use pomelohitch_adapter::store::{Appended, Store, Topic};
use pomelohitch_sched::Epoch;
use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::progress::Record;
use tracing::{info, warn};

use super::core::{Event, confirm};
use super::epoch_guard;
use super::patience::Patience;
use crate::fleet::clock;
use crate::fleet::shared::{Shared, spawn};

/// Pause after a refusal; refused calls are priced too.
const AGAIN_AFTER: Duration = Duration::from_millis(120);
/// Without records to write, the leadership is confirmed this often.
const CONFIRM_EVERY: Duration = Duration::from_millis(700);
/// Key of the record that only confirms.
const CONFIRM_KEY: &str = "lease";
/// Most bytes of values in one append; the platform allows 2 MB.
const APPEND_BYTES: usize = 1_000_000;

/// Where batches go.
#[derive(Debug)]
pub struct Journal {
    batches: Sender<Batch>,
}

impl Journal {
    /// Starts the thread that appends; it ends when this is dropped.
    ///
    /// # Errors
    /// If the system has no room for another thread.
    pub fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        events: Sender<Event>,
        confirmed: Arc<AtomicU64>,
    ) -> std::io::Result<Journal> {
        let (batches, rx) = mpsc::channel();
        let mut writer = Writer {
            shared: shared.clone(),
            store: shared.store(),
            epoch,
            sequence: 0,
            patience: Patience::default(),
            is_well: true,
            events,
            confirmed,
        };
        spawn("journal", move || writer.run(&rx))?;
        Ok(Journal { batches })
    }

    /// Makes a batch durable; that it is comes as [`Event::Committed`].
    pub fn commit(&self, batch: Batch) {
        // The thread ends early only when the leadership does.
        let _ = self.batches.send(batch);
    }
}

struct Writer {
    shared: Arc<Shared>,
    store: Store,
    epoch: Epoch,
    sequence: u64,
    patience: Patience,
    is_well: bool,
    events: Sender<Event>,
    confirmed: Arc<AtomicU64>,
}

/// The leadership is over.
struct Over;

impl Writer {
    fn run(&mut self, rx: &Receiver<Batch>) {
        loop {
            let written = match rx.recv_timeout(CONFIRM_EVERY) {
                Ok(batch) => self.write(batch),
                Err(RecvTimeoutError::Timeout) => self.append(&[self.confirmation()]),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn confirmation(&self) -> Record {
        Record {
            key: CONFIRM_KEY.into(),
            value: Some(self.epoch.to_be_bytes().into()),
        }
    }

    fn write(&mut self, batch: Batch) -> Result<(), Over> {
        let mut rest = &batch.records[..];
        while !rest.is_empty() {
            let mut bytes = 0;
            let fitting = rest
                .iter()
                .take_while(|r| {
                    bytes += r.value.as_ref().map_or(0, |v| v.len());
                    bytes <= APPEND_BYTES
                })
                .count()
                .max(1);
            let (now, later) = rest.split_at(fitting);
            self.append(now)?;
            rest = later;
        }
        self.events.send(Event::Committed(batch)).map_err(|_| Over)
    }

    /// Appends until the store has taken it.
    fn append(&mut self, records: &[Record]) -> Result<(), Over> {
        self.sequence += 1;
        let guard = epoch_guard(self.epoch, self.sequence);
        let mut tries = 0;
        loop {
            let began = clock::steady();
            let within = self.patience.of_try(tries);
            match self.store.append(Topic::Jobs, records, guard, within) {
                Ok(Appended::Done { .. }) => {
                    let took = clock::steady().saturating_sub(began);
                    self.patience.took(took);
                    metrics::histogram!("journal_append_seconds").record(took.as_secs_f64());
                    confirm(&self.confirmed);
                    self.tell(true)?;
                    return Ok(());
                }
                Ok(other) => {
                    warn!(?other, epoch = self.epoch, "append refused for good");
                    let _ = self.events.send(Event::Deposed("fenced by the store"));
                    return Err(Over);
                }
                Err(error) => {
                    let is_timeout = error.status().is_none();
                    if self.is_well {
                        info!(%error, ?within, "append tried again");
                    }
                    self.tell(false)?;
                    tries += 1;
                    if !is_timeout || began + AGAIN_AFTER > clock::steady() {
                        std::thread::sleep(AGAIN_AFTER);
                    }
                }
            }
            let is_leader = self.shared.leading().is_some_and(|l| l.epoch == self.epoch);
            if !is_leader {
                return Err(Over);
            }
        }
    }

    fn tell(&mut self, is_well: bool) -> Result<(), Over> {
        if self.is_well == is_well {
            return Ok(());
        }
        self.is_well = is_well;
        self.events.send(Event::Appends(is_well)).map_err(|_| Over)
    }
}
