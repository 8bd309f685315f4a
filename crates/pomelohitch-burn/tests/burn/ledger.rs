use pomelohitch_burn::counts::Tally;
use pomelohitch_burn::ledger::Cause;
use pomelohitch_burn::record::Row;
use pomelohitch_burn::{Ledger, Record};

pub fn record(member: &str, seq: u64, minute: u64, good: u64, bad: u64) -> Record {
    Record {
        member: member.into(),
        incarnation: 1,
        seq,
        minute,
        last: false,
        rows: vec![Row {
            service: "passes".into(),
            team: "kiosks".into(),
            tally: Tally { good, bad },
        }],
    }
}

fn causes(ledger: &Ledger, now: u64) -> Vec<(u64, u64, Cause)> {
    let gaps = ledger.gaps(0, now);
    gaps.iter()
        .map(|gap| (gap.from, gap.to, gap.cause))
        .collect()
}

/// The response to an append is lost, so the entry instance appends the record again. Adding both
/// would count its answers twice.
#[test]
fn a_record_appended_twice_counts_once() {
    let mut ledger = Ledger::default();
    for _ in 0..2 {
        ledger.add(&record("a", 0, 5, 9, 1));
    }
    let tally = ledger.tally("passes", None, 0, 10);
    assert_eq!(tally, Tally { good: 9, bad: 1 });
}

/// An entry instance is killed before it appends its last minute. Without a gap the report would
/// show that minute, possibly a bad one, as a minute without answers.
#[test]
fn a_run_without_a_last_record_has_a_gap() {
    let mut ledger = Ledger::default();
    ledger.add(&record("a", 0, 5, 1, 0));
    for minute in 5..10 {
        ledger.add(&record("b", minute - 5, minute, 1, 0));
    }
    assert_eq!(causes(&ledger, 10), [(6, 6, Cause::EndedAbruptly)]);
}

#[test]
fn a_graceful_shutdown_is_not_a_gap() {
    let mut ledger = Ledger::default();
    let mut last = record("a", 0, 5, 1, 0);
    last.last = true;
    ledger.add(&last);
    for minute in 5..10 {
        ledger.add(&record("b", minute - 5, minute, 1, 0));
    }
    assert_eq!(causes(&ledger, 10), []);
}

/// The sequence numbers of a run have a gap when the log is down for longer than counts are kept,
/// or when a record was trimmed.
#[test]
fn missing_records_and_silence_are_gaps() {
    let mut ledger = Ledger::default();
    ledger.add(&record("a", 0, 5, 1, 0));
    ledger.add(&record("a", 2, 9, 1, 0));
    assert_eq!(
        causes(&ledger, 10),
        [(6, 8, Cause::Silence), (6, 8, Cause::RecordMissing)]
    );
}

#[test]
fn a_record_decodes_to_what_was_encoded() {
    let record = record("a", 3, 5, 9, 1);
    let text = record.encode();
    insta::assert_snapshot!(text, @r##"
    {"member":"a","incarnation":1,"seq":3,"minute":5,"rows":[{"service":"passes","team":"kiosks","good":9,"bad":1}]}
    "##);
    assert_eq!(
        Record::decode(&text).expect("an encoded record decodes"),
        record
    );
}
