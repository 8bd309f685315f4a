use pomelohitch_core::id::RecordId;
use pomelohitch_core::snapshot::{newest_complete, split};

use crate::support::{Log, withdraw};

fn id(n: u128) -> RecordId {
    RecordId::from_u128(n)
}

fn newest(records: &[Box<str>]) -> Option<pomelohitch_core::State> {
    newest_complete(records.iter().map(|record| &**record))
}

#[test]
fn a_snapshot_gives_back_the_same_state() {
    let log = Log::with_instances();
    let records = split(&log.state, id(1), 100);
    assert!(records.len() > 10);
    assert_eq!(newest(&records), Some(log.state));
}

#[test]
fn a_torn_snapshot_is_skipped_for_an_older_complete_one() {
    // The writer of the newest snapshot died half-way. A reader that used it would start without
    // some instances or keys.
    let mut log = Log::with_instances();
    let older = log.state.clone();
    let mut records = split(&older, id(1), 100);
    log.accept(withdraw("k"));
    let mut newer = split(&log.state, id(2), 100);
    newer.remove(3);
    records.extend(newer);
    assert_eq!(newest(&records), Some(older));
}

#[test]
fn chunks_of_two_writers_are_not_mixed() {
    // Two planners write at the same time, one of them wrongly considered dead. Their chunks are
    // interleaved in the stream, and some are appended twice.
    let log = Log::with_instances();
    let (one, two) = (split(&log.state, id(1), 80), split(&log.state, id(2), 90));
    let mut records: Vec<_> = one.iter().zip(&two).flat_map(|(a, b)| [a, b, a]).collect();
    records.reverse();
    let mixed = newest_complete(records.iter().map(|record| &***record));
    assert!(mixed.is_none_or(|state| state == log.state));
    records.extend(&one);
    let state = newest_complete(records.iter().map(|record| &***record));
    assert_eq!(state, Some(log.state));
}

#[test]
fn a_damaged_snapshot_is_restored_exactly_or_not_at_all() {
    let log = Log::with_instances();
    let records = split(&log.state, id(1), 300);
    pomelohitch_property::check(|damages: &Vec<(u8, u8)>| {
        let mut damaged = records.clone();
        for (at, byte) in damages {
            let at = usize::from(*at) % damaged.len();
            let mut bytes = damaged[at].as_bytes().to_vec();
            let place = usize::from(*byte) * 7 % bytes.len();
            bytes[place] = b'7';
            damaged[at] = String::from_utf8_lossy(&bytes).into();
        }
        assert!(newest(&damaged).is_none_or(|state| state == log.state));
    });
}
