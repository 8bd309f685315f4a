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
    AnswerLost,
    /// The append has no effect; the error is that of a lost response.
    Lost,
}

/// The records of the log, and the faults to inject.
#[derive(Debug, Default)]
pub struct Store {
    pub records: Vec<Box<str>>,
    /// Faults of the next appends, in order.
    pub on_append: VecDeque<Fault>,
    pub appends_down: bool,
    pub reads_down: bool,
    /// Records of another writer that are appended just before those of the next append.
    pub race: Vec<Box<str>>,
}

/// Why locking the store cannot fail.
pub const WHOLE: &str = "no test panics while it holds the store";

pub type Shared = Arc<Mutex<Store>>;

pub fn shared() -> (Shared, Arc<Log>) {
    let store = Shared::default();
    let (appending, reading) = (store.clone(), store.clone());
    let log = Log {
        append: Box::new(move |_, records| append(&mut appending.lock().expect(WHOLE), records)),
        read: Box::new(move |read| {
            let store = reading.lock().expect(WHOLE);
            if store.reads_down {
                return Err(error("read", Effect::None));
            }
            let next = store.records.len() as u64;
            let wanted = (read.from..next).take(read.max);
            let records = wanted.map(|offset| Stored {
                offset,
                data: store.records[usize::try_from(offset).expect("tests are small")].clone(),
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
    let race = std::mem::take(&mut store.race);
    store.records.extend(race);
    let first = store.records.len() as u64;
    match store.on_append.pop_front() {
        Some(Fault::Lost) => return Err(error("append", Effect::Unknown)),
        Some(Fault::AnswerLost) => {
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
    let passed = Rc::new(Cell::new(Duration::ZERO));
    let sleeping = passed.clone();
    Options {
        limit: Duration::from_secs(5),
        clock: Clock {
            now: Box::new(move || start + passed.get()),
            sleep: Box::new(move |time| sleeping.set(sleeping.get() + time)),
        },
        ..Options::default()
    }
}
