//! Following the log, and starting from snapshots.

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
            let mut streams = written.lock().expect("no holder panics");
            let stream = streams.get(name);
            let first = stream.next();
            stream.records.extend(records.iter().cloned());
            let next = stream.next();
            Ok(Appended { first, next })
        }),
        read: Box::new(move |wanted| {
            let mut streams = read.lock().expect("no holder panics");
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
        (log.append)(FLEET_STREAM, &[record.encode()]).expect("the log takes it");
    }
}

fn follower(log: &Arc<Log>) -> Follower {
    Follower::new(log.clone(), State::default())
}

#[test]
fn a_joiner_starts_from_the_newest_whole_snapshot() {
    // The newest snapshot's writer died half-way, and the log no longer keeps its oldest records.
    let (streams, log) = log();
    append_keys(&log, 0..10);
    let mut writer = follower(&log);
    writer.catch_up().unwrap();
    snapshots::save(&log, writer.state(), RecordId::from_u128(1)).unwrap();
    append_keys(&log, 10..20);
    writer.catch_up().unwrap();
    let torn = split(writer.state(), RecordId::from_u128(2), 200);
    (log.append)(SNAPSHOT_STREAM, &torn[..torn.len() - 1]).unwrap();
    streams.lock().unwrap().fleet.first = 10;

    let mut joiner = follower(&log);
    assert!(joiner.load_snapshot().unwrap());
    assert_eq!(joiner.state().next, 10);
    joiner.catch_up().unwrap();
    assert_eq!(joiner.state(), writer.state());
}

#[test]
fn a_reader_whose_records_were_trimmed_takes_over_a_snapshot() {
    // A reader was paused for longer than the log keeps records. Going on with the oldest one
    // kept, it would never learn of the keys withdrawn in between.
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
        "not yet known to be at the head"
    );
    assert_eq!(late.state(), other.state());
}

#[test]
fn trimmed_records_without_a_snapshot_are_an_error() {
    // Nobody wrote a snapshot in time. The reader says so, and keeps what it has in force.
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
fn a_snapshot_that_ends_below_the_oldest_record_is_not_enough() {
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
    // The log service was restored from a backup. What was accepted since is in force here and
    // must not be taken back; offsets read twice would give each process a state of its own.
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
fn a_large_stream_of_snapshots_is_searched_from_its_end() {
    let (streams, log) = log();
    append_keys(&log, 0..3);
    let mut writer = follower(&log);
    writer.catch_up().unwrap();
    snapshots::save(&log, writer.state(), RecordId::from_u128(1)).unwrap();
    let torn = split(writer.state(), RecordId::from_u128(2), 20);
    for _ in 0..100 {
        (log.append)(SNAPSHOT_STREAM, &torn[1..]).unwrap();
    }
    assert!(streams.lock().unwrap().snapshots.next() > 1000);
    assert_eq!(
        snapshots::load(&log).unwrap().as_ref(),
        Some(writer.state())
    );
}

/// What an HTTP client reads of one answer at the most, by default.
const ANSWER_BYTES: usize = 10 * 1024 * 1024;

/// A large fleet's snapshot has many chunks, and the client refuses an answer that holds them all
/// at once. An entry instance that asked for all of them could neither start nor write the next
/// snapshot, and once the records are trimmed nobody could start any more.
#[test]
fn snapshots_are_read_in_answers_that_the_client_takes() {
    let (_, inner) = log();
    append_keys(&inner, 0..3);
    let mut writer = follower(&inner);
    writer.catch_up().unwrap();
    snapshots::save(&inner, writer.state(), RecordId::from_u128(1)).unwrap();
    let torn: Box<str> = "x".repeat(CHUNK_BYTES).into();
    for _ in 0..250 {
        (inner.append)(SNAPSHOT_STREAM, std::slice::from_ref(&torn)).unwrap();
    }
    let largest = Arc::new(Mutex::new(0));
    let (seen, reading) = (largest.clone(), inner.clone());
    let log = Log {
        append: Box::new(|_, _| unreachable!("nothing is written")),
        read: Box::new(move |read| {
            let batch = (reading.read)(read)?;
            let bytes = batch.records.iter().map(|record| record.data.len()).sum();
            let mut largest = seen.lock().expect("no holder panics");
            *largest = (*largest).max(bytes);
            Ok(batch)
        }),
    };
    let loaded = snapshots::load(&log).unwrap();
    assert_eq!(loaded.as_ref(), Some(writer.state()));
    let largest: usize = *largest.lock().unwrap();
    assert!(largest < ANSWER_BYTES, "{largest}");
}
