//! The append-only log, with offsets, retention by count, and long-polling reads.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pomelohitch_core::id::Offset;
use pomelohitch_platform::log::{Appended, Batch, Stored};
use serde::{Deserialize, Serialize};

use crate::faults::{self, CallFaults, Shared};
use crate::server::{self, Answer, Request, Server};

/// Faults of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of appends and reads.
    pub calls: CallFaults,
    /// Number of records that each stream retains from now on; `None` leaves it unchanged.
    pub keep: Option<usize>,
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Number of records that each stream retains.
    pub keep: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { keep: 1_000_000 }
    }
}

/// Counts of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Appends that took effect.
    pub appends: u64,
    /// Records that were appended.
    pub records: u64,
    /// Bytes that were appended.
    pub bytes: u64,
    /// Records that were read.
    pub records_read: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Box<str>>,
}

#[derive(Debug, Default)]
struct Streams {
    by_name: HashMap<Box<str>, Stream>,
    keep: usize,
    ledger: Ledger,
}

#[derive(Debug, Default)]
struct Store {
    streams: Mutex<Streams>,
    appended: Condvar,
}

/// A running log.
#[derive(Debug)]
pub struct Log {
    server: Server,
    control: Server,
    faults: Shared<Faults>,
    store: Arc<Store>,
}

impl Log {
    /// Starts an empty log.
    #[must_use]
    pub fn start(options: &Options) -> Log {
        let store = Arc::new(Store::default());
        store.lock().keep = options.keep;
        let faults = Shared::<Faults>::default();
        let (call_faults, call_store) = (faults.clone(), store.clone());
        let handler = move |req: &Request| {
            faults::with_call_faults(
                &call_faults,
                |f| &mut f.calls,
                req,
                || answer(&call_store, req),
            )
        };
        let server = Server::start(&server::Options::default(), Box::new(handler));
        let (control_target, control_store) = ((faults.clone(), store.clone()), store.clone());
        let control = faults::start_control(
            move |faults| set_faults(&control_target.0, &control_target.1, faults),
            move || control_store.lock().ledger.clone(),
        );
        Log {
            server,
            control,
            faults,
            store,
        }
    }

    /// URL of the log.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// URL of the control address.
    #[must_use]
    pub fn control_url(&self) -> String {
        self.control.url()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        set_faults(&self.faults, &self.store, faults);
    }

    /// The counts up to now.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.store.lock().ledger.clone()
    }

    /// The oldest retained offset of `stream`.
    #[must_use]
    pub fn first(&self, stream: &str) -> Offset {
        let streams = self.store.lock();
        streams.by_name.get(stream).map_or(0, |stream| stream.first)
    }

    /// The retained records of `stream`.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Box<str>> {
        let streams = self.store.lock();
        let found = streams.by_name.get(stream);
        found.map_or_else(Vec::new, |stream| stream.records.iter().cloned().collect())
    }
}

impl Store {
    fn lock(&self) -> std::sync::MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set_faults(shared: &Shared<Faults>, store: &Store, faults: Faults) {
    if let Some(keep) = faults.keep {
        let mut streams = store.lock();
        streams.keep = keep;
        streams
            .by_name
            .values_mut()
            .for_each(|stream| stream.trim(keep));
    }
    *shared.lock() = faults;
}

impl Stream {
    fn next(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn read(&self, from: Offset, max: usize) -> Batch {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skip).take(max);
        let records = records.zip(from..).map(|(data, offset)| Stored {
            offset,
            data: data.clone(),
        });
        Batch {
            first: self.first,
            next: self.next(),
            records: records.collect(),
        }
    }
}

fn answer(store: &Store, req: &Request) -> Answer {
    match (&*req.method, &req.segments()[..]) {
        ("POST", ["log", stream]) => match req.json::<Vec<Box<str>>>() {
            Ok(records) => Answer::json(200, &append(store, stream, records)),
            Err(answer) => answer,
        },
        ("GET", ["log", stream]) => read(store, stream, req),
        _ => Answer::text(404, "not found"),
    }
}

fn append(store: &Store, name: &str, records: Vec<Box<str>>) -> Appended {
    let mut streams = store.lock();
    let keep = streams.keep;
    streams.ledger.appends += 1;
    streams.ledger.records += records.len() as u64;
    streams.ledger.bytes += records.iter().map(|data| data.len() as u64).sum::<u64>();
    let stream = streams.by_name.entry(name.into()).or_default();
    let first = stream.next();
    stream.records.extend(records);
    let next = stream.next();
    stream.trim(keep);
    store.appended.notify_all();
    Appended { first, next }
}

fn read(store: &Store, name: &str, req: &Request) -> Answer {
    let from = req.query_number("from").unwrap_or(0);
    let max = req.query_number("max").unwrap_or(1000);
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let wait = Duration::from_millis(req.query_number("wait_ms").unwrap_or(0));
    let deadline = Instant::now() + wait;
    let mut streams = store.lock();
    loop {
        let stream = streams.by_name.entry(name.into()).or_default();
        if from < stream.first {
            let bounds = serde_json::json!({"first": stream.first, "next": stream.next()});
            return Answer::json(410, &bounds);
        }
        let batch = stream.read(from, max);
        let left = deadline.saturating_duration_since(Instant::now());
        if !batch.records.is_empty() || left.is_zero() {
            streams.ledger.records_read += batch.records.len() as u64;
            return Answer::json(200, &batch);
        }
        let waited = store.appended.wait_timeout(streams, left);
        streams = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
