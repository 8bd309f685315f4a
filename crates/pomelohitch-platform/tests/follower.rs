//! Following the log, and starting from a snapshot.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pomelohitch_core::State;
use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::record::{Body, FLEET_STREAM, Record, WithdrawKey};
use pomelohitch_core::snapshot::{CHUNK_BYTES, SNAPSHOT_STREAM, split};
use pomelohitch_platform::log::{Appended, Batch, Log, Read, Stored};
use pomelohitch_platform::{Error, Follower, snapshots};

/// One stream in memory; records below `first` are trimmed.
#[derive(Default)]
struct Stream {
    first: Offset,
    records: Vec<Box<str>>,
}

#[derive(Default)]
struct Streams {
    fleet: Stream,
    snapshots: Stream,
}

impl Streams {
    fn get(&mut self, name: &str) -> &mut Stream {
        if name == FLEET_STREAM {
            &mut self.fleet
        } else {
            &mut self.snapshots
        }
    }
}

impl Stream {
    fn next(&self) -> Offset {
        self.records.len() as Offset
    }

    fn read(&self, read: &Read<'_>) -> Result<Batch, Error> {
        if read.from < self.first {
            return Err(Error::Trimmed {
                stream: read.stream.into(),
                from: read.from,
                first: self.first,
            });
        }
        let kept = (0..).zip(&self.records);
        let wanted = kept.filter(|(offset, _)| *offset >= read.from);
        let records = wanted.take(read.max).map(|(offset, data)| Stored {
            offset,
            data: data.clone(),
        });
        Ok(Batch {
            first: self.first,
            next: self.next(),
            records: records.collect(),
        })
    }
}

fn log() -> (Arc<Mutex<Streams>>, Arc<Log>) {
    let streams: Arc<Mutex<Streams>> = Arc::default();
    let (written, read) = (streams.clone(), streams.clone());
    let log = Log {
        append: Box::new(move |name, records| {
            let mut streams = written
                .lock()
                .expect("the lock isn't poisoned, since no thread panics while holding it");
            let stream = streams.get(name);
            let first = stream.next();
            stream.records.extend(records.iter().cloned());
            let next = stream.next();
            Ok(Appended { first, next })
        }),
        read: Box::new(move |wanted| {
            let mut streams = read
                .lock()
                .expect("the lock isn't poisoned, since no thread panics while holding it");
            streams.get(wanted.stream).read(wanted)
        }),
    };
    (streams, Arc::new(log))
}

fn append_keys(log: &Log, keys: std::ops::Range<u32>) {
    for n in keys {
        let record = Record {
            id: RecordId::from_u128(u128::from(n) + 1),
            after: 0,
            at: Duration::ZERO,
            by: "operator".into(),
            body: Body::WithdrawKey(WithdrawKey {
                key: format!("k{n}").into(),
            }),
        };
        (log.append)(FLEET_STREAM, &[record.encode()])
            .expect("the log in memory accepts every append");
    }
}

fn follower(log: &Arc<Log>) -> Follower {
    Follower::new(log.clone(), State::default())
}

#[test]
fn a_joiner_starts_from_the_newest_complete_snapshot() {
    // Guards against loading an incomplete snapshot: the writer of the newest one crashed half-way,
    // and the records that the older one covers are trimmed.
    let (streams, log) = log();
    append_keys(&log, 0..10);
    let mut writer = follower(&log);
    writer.catch_up().unwrap();
    snapshots::save(&log, writer.state(), RecordId::from_u128(1)).unwrap();
    append_keys(&log, 10..20);
    writer.catch_up().unwrap();
    let incomplete = split(writer.state(), RecordId::from_u128(2), 200);
    (log.append)(SNAPSHOT_STREAM, &incomplete[..incomplete.len() - 1]).unwrap();
    streams.lock().unwrap().fleet.first = 10;

    let mut joiner = follower(&log);
    assert!(joiner.load_snapshot().unwrap());
    assert_eq!(joiner.state().next, 10);
    joiner.catch_up().unwrap();
    assert_eq!(joiner.state(), writer.state());
}

#[test]
fn a_reader_whose_records_were_trimmed_loads_a_snapshot() {
    // Guards against a reader that was paused for longer than the log keeps records and continues
    // with the oldest one kept: it would miss the keys withdrawn in between.
    let (streams, log) = log();
    append_keys(&log, 0..5);
    let mut late = follower(&log);
    late.catch_up().unwrap();
    append_keys(&log, 5..30);
    let mut other = follower(&log);
    other.catch_up().unwrap();
    snapshots::save(&log, other.state(), RecordId::from_u128(1)).unwrap();
    streams.lock().unwrap().fleet.first = 20;

    let progress = late.poll(Duration::ZERO).unwrap();
    assert!(progress.has_loaded);
    assert!(
        progress.head > late.state().next,
        "the reader isn't yet known to be at the head"
    );
    assert_eq!(late.state(), other.state());
}

#[test]
fn trimmed_records_without_a_snapshot_are_an_error() {
    // No snapshot was written before the records were trimmed: the reader reports an error and
    // keeps its state.
    let (streams, log) = log();
    append_keys(&log, 0..30);
    streams.lock().unwrap().fleet.first = 20;
    let mut reader = follower(&log);
    let error = reader.poll(Duration::ZERO).unwrap_err();
    assert!(matches!(
        error,
        Error::Trimmed {
            from: 0,
            first: 20,
            ..
        }
    ));
    assert_eq!(*reader.state(), State::default());
}

#[test]
fn a_snapshot_that_ends_before_the_oldest_record_is_an_error() {
    let (streams, log) = log();
    append_keys(&log, 0..5);
    let mut writer = follower(&log);
    writer.catch_up().unwrap();
    snapshots::save(&log, writer.state(), RecordId::from_u128(1)).unwrap();
    append_keys(&log, 5..30);
    streams.lock().unwrap().fleet.first = 20;
    let mut joiner = follower(&log);
    assert!(joiner.load_snapshot().unwrap());
    let error = joiner.poll(Duration::ZERO).unwrap_err();
    assert!(matches!(
        error,
        Error::Trimmed {
            from: 5,
            first: 20,
            ..
        }
    ));
}

#[test]
fn a_log_that_lost_its_newest_records_is_not_followed() {
    // The log service was restored from an old backup. Records accepted since then must stay in
    // force, and reading offsets a second time would make the states of processes diverge.
    let (streams, log) = log();
    append_keys(&log, 0..10);
    let mut reader = follower(&log);
    reader.catch_up().unwrap();
    let before = reader.state().clone();
    streams.lock().unwrap().fleet.records.truncate(5);
    let error = reader.poll(Duration::ZERO).unwrap_err();
    assert!(matches!(
        error,
        Error::HeadRegressed {
            next: 10,
            head: 5,
            ..
        }
    ));
    assert_eq!(*reader.state(), before);
}

#[test]
fn a_long_snapshot_stream_is_searched_from_its_end() {
    let (streams, log) = log();
    append_keys(&log, 0..3);
    let mut writer = follower(&log);
    writer.catch_up().unwrap();
    snapshots::save(&log, writer.state(), RecordId::from_u128(1)).unwrap();
    let incomplete = split(writer.state(), RecordId::from_u128(2), 20);
    for _ in 0..100 {
        (log.append)(SNAPSHOT_STREAM, &incomplete[1..]).unwrap();
    }
    assert!(streams.lock().unwrap().snapshots.next() > 1000);
    assert_eq!(
        snapshots::load(&log).unwrap().as_ref(),
        Some(writer.state())
    );
}

/// Largest answer that an HTTP client reads by default.
const DEFAULT_MAX_ANSWER_BYTES: usize = 10 * 1024 * 1024;

/// Guards against reading all chunks of a large fleet's snapshot in one answer, which the HTTP
/// client refuses. An entry instance that did so could neither start nor write the next snapshot;
/// once the records are trimmed, no instance could start.
#[test]
fn snapshots_are_read_in_answers_below_the_client_limit() {
    let (_, inner) = log();
    append_keys(&inner, 0..3);
    let mut writer = follower(&inner);
    writer.catch_up().unwrap();
    snapshots::save(&inner, writer.state(), RecordId::from_u128(1)).unwrap();
    let incomplete: Box<str> = "x".repeat(CHUNK_BYTES).into();
    for _ in 0..250 {
        (inner.append)(SNAPSHOT_STREAM, std::slice::from_ref(&incomplete)).unwrap();
    }
    let largest = Arc::new(Mutex::new(0));
    let (seen, reading) = (largest.clone(), inner.clone());
    let log = Log {
        append: Box::new(|_, _| unreachable!("loading a snapshot appends nothing")),
        read: Box::new(move |read| {
            let batch = (reading.read)(read)?;
            let bytes = batch.records.iter().map(|record| record.data.len()).sum();
            let mut largest = seen
                .lock()
                .expect("the lock isn't poisoned, since no thread panics while holding it");
            *largest = (*largest).max(bytes);
            Ok(batch)
        }),
    };
    let loaded = snapshots::load(&log).unwrap();
    assert_eq!(loaded.as_ref(), Some(writer.state()));
    let largest: usize = *largest.lock().unwrap();
    assert!(largest < DEFAULT_MAX_ANSWER_BYTES, "{largest}");
}
