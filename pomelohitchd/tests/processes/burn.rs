//! An entry instance stores its counts of answers when it shuts down.

use pomelohitch_burn::Record;
use pomelohitch_burn::record::BURN_STREAM;
use pomelohitch_platform::log::Read;
use pomelohitch_standin::caller::Outcome;
use pomelohitch_standin::config::{self, SERVICE};

use crate::support::{Fleet, WAIT_TIMEOUT, wait_until};

fn records(fleet: &Fleet) -> Vec<Record> {
    let read = Read {
        stream: BURN_STREAM,
        ..Read::default()
    };
    let batch = (fleet.client.read)(&read).expect("the log is up");
    let records = batch
        .records
        .iter()
        .map(|stored| Record::decode(&stored.data));
    records
        .map(|record| record.expect("it was just written"))
        .collect()
}

/// An entry instance shuts down before the current minute ends. If its counts were lost, the report
/// would show fewer answers than callers saw, and the process would seem to have been killed.
#[test]
fn an_entry_instance_that_shuts_down_leaves_its_counts_and_a_last_record() {
    let mut fleet = Fleet::start(1, 1);
    let state = fleet.state();
    let base = state.config.files[config::PATH].version;
    let mut file = config::small();
    file.services[0].objective = Some(pomelohitch_core::Objective {
        within: WAIT_TIMEOUT,
        good_ppm: 999_000,
        window: WAIT_TIMEOUT,
    });
    config::publish(&fleet.client, file, Some(base)).expect("the log is up");
    wait_until("the objective is in force", || {
        let state = fleet.state();
        state.config.services[SERVICE].objective.is_some()
    });
    // Requests are refused until the first permits arrive, which counts as bad.
    let mut answered = 0;
    wait_until("three requests were answered", || {
        answered += u64::from(fleet.probe(0) == Outcome::Complete);
        answered == 3
    });
    fleet.entries[0].terminate();
    assert_eq!(fleet.entries[0].wait(WAIT_TIMEOUT), Some(0));
    let records = records(&fleet);
    let last = records.last().expect("the shutdown wrote a record");
    assert!(last.last);
    let rows = records.iter().flat_map(|record| &record.rows);
    let good: u64 = rows.map(|row| row.tally.good).sum();
    assert_eq!(good, 3);
}
