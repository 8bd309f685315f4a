//! A log in memory that injects faults, and a virtual clock.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pomelohitch::clock::Clock;
use pomelohitch::propose::Options;
use pomelohitch_platform::log::{Appended, Batch, Stored};
use pomelohitch_platform::{Effect, Error, Log};

/// Fault of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The append takes effect and its response is lost.
    ResponseLost,
    /// The append has no effect; the error is that of a lost response.
    RequestLost,
}

/// The records of the log, and the faults to inject.
#[derive(Debug, Default)]
pub struct Store {
    pub records: Vec<Box<str>>,
    /// Faults of the next appends, in order.
    pub append_faults: VecDeque<Fault>,
    pub appends_down: bool,
    pub reads_down: bool,
    /// Records of another writer that are appended just before those of the next append.
    pub concurrent_records: Vec<Box<str>>,
}

/// Why locking the store cannot fail.
pub const NOT_POISONED: &str = "no test panics while it holds the store";

pub type SharedStore = Arc<Mutex<Store>>;

pub fn memory_log() -> (SharedStore, Arc<Log>) {
    let store = SharedStore::default();
    let (appending, reading) = (store.clone(), store.clone());
    let log = Log {
        append: Box::new(move |_, records| {
            append(&mut appending.lock().expect(NOT_POISONED), records)
        }),
        read: Box::new(move |read| {
            let store = reading.lock().expect(NOT_POISONED);
            if store.reads_down {
                return Err(error("read", Effect::None));
            }
            let next = store.records.len() as u64;
            let offsets = (read.from..next).take(read.max);
            let records = offsets.map(|offset| Stored {
                offset,
                data: store.records[usize::try_from(offset).expect("offsets in tests fit usize")]
                    .clone(),
            });
            Ok(Batch {
                first: 0,
                next,
                records: records.collect(),
            })
        }),
    };
    (store, Arc::new(log))
}

fn append(store: &mut Store, records: &[Box<str>]) -> Result<Appended, Error> {
    if store.appends_down {
        return Err(error("append", Effect::None));
    }
    let concurrent_records = std::mem::take(&mut store.concurrent_records);
    store.records.extend(concurrent_records);
    let first = store.records.len() as u64;
    match store.append_faults.pop_front() {
        Some(Fault::RequestLost) => return Err(error("append", Effect::Unknown)),
        Some(Fault::ResponseLost) => {
            store.records.extend(records.iter().cloned());
            return Err(error("append", Effect::Unknown));
        }
        None => store.records.extend(records.iter().cloned()),
    }
    Ok(Appended {
        first,
        next: store.records.len() as u64,
    })
}

fn error(step: &'static str, effect: Effect) -> Error {
    Error::Status {
        step,
        peer: "log".into(),
        effect,
        status: if effect == Effect::None { 503 } else { 504 },
        body: "".into(),
    }
}

/// Options with a virtual clock, on which sleeping only advances the time.
pub fn virtual_time() -> Options {
    let start = Instant::now();
    let elapsed = Rc::new(Cell::new(Duration::ZERO));
    let elapsed_by_sleep = elapsed.clone();
    Options {
        limit: Duration::from_secs(5),
        clock: Clock {
            now: Box::new(move || start + elapsed.get()),
            sleep: Box::new(move |time| elapsed_by_sleep.set(elapsed_by_sleep.get() + time)),
        },
        ..Options::default()
    }
}
