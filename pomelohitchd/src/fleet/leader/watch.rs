//! Reads the records that operators and endpoints write to the store.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_adapter::records::{self, OperatorRecord};
use pomelohitch_adapter::store::{Newest, Read, Store, Topic};
use pomelohitch_sched::endpoint::Report;
use pomelohitch_sched::progress::Record;
use pomelohitch_sched::{Epoch, Steady};
use tracing::{info, warn};

use super::core::{EvacuationChange, Event, spawn_while_leading};
use super::skipped::Skipped;
use crate::fleet::clock;
use crate::fleet::shared::Shared;

/// Time for which a read of operator records waits for new ones. Short, since a dead connection
/// shows only when the wait is over, and a withdrawn key must be refused within about 2 s.
const OPERATORS_WAIT: Duration = Duration::from_millis(500);
/// Time for which a read of endpoint records waits for new ones.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(1);
/// Delay between reads of endpoint records, so that one read returns several of them: the platform
/// charges for each read.
const ENDPOINTS_READ_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What was read during the takeover.
#[derive(Debug)]
pub struct ReadSoFar {
    /// Offset from which to continue reading operator records.
    pub operators: u64,
    /// Offset from which to continue reading endpoint records.
    pub endpoints: u64,
    /// Endpoint records that were skipped.
    pub skipped: Skipped,
}

/// Starts both readers; they end with the leadership.
///
/// # Errors
/// If a thread can't be started.
pub fn start(
    shared: &Arc<Shared>,
    epoch: Epoch,
    events: &Sender<Event>,
    read: ReadSoFar,
) -> std::io::Result<()> {
    let store = shared.store();
    let tx = events.clone();
    let mut from = Some(read.operators);
    spawn_while_leading("operators", shared, epoch, move |_| {
        let started_at = clock::steady();
        let read = read_operators(&store, from, &tx);
        if read.as_ref().is_ok_and(Option::is_some) {
            // Fails only if the leadership has ended, and then this thread ends too.
            let _ = tx.send(Event::OperatorsReadUpTo(covered_until(
                started_at,
                OPERATORS_WAIT,
            )));
        }
        let _ = tx.send(Event::ReadsAvailable(read.is_ok()));
        from = next_offset(read, from);
    })?;
    let store = shared.store();
    let tx = events.clone();
    let (mut from, mut skipped) = (Some(read.endpoints), read.skipped);
    spawn_while_leading("endpoints", shared, epoch, move |_| {
        let started_at = clock::steady();
        let read = read_endpoints(&store, from, &mut skipped, &tx);
        if read.as_ref().is_ok_and(Option::is_some) {
            // Fails only if the leadership has ended, and then this thread ends too.
            let _ = tx.send(Event::EndpointsReadUpTo(covered_until(
                started_at,
                ENDPOINTS_WAIT,
            )));
        }
        from = next_offset(read, from);
        std::thread::sleep(ENDPOINTS_READ_DELAY);
    })
}

/// Returns the time up to which a read that started at `started_at` covers the topic. The store may
/// have held the read for up to `wait`; any further time may have passed after it made its answer,
/// as when this process is suspended.
fn covered_until(started_at: Steady, wait: Duration) -> Steady {
    let now = clock::steady();
    let excess = now.saturating_sub(started_at).saturating_sub(wait);
    now.saturating_sub(excess)
}

type ReadResult = Result<Option<u64>, pomelohitch_adapter::Error>;

/// Returns the offset of the next read; after a failure the same offset as before.
fn next_offset(read: ReadResult, from: Option<u64>) -> Option<u64> {
    match read {
        Ok(next) => next,
        Err(error) => {
            info!(%error, "read failed; retrying");
            std::thread::sleep(RETRY_DELAY);
            from
        }
    }
}

fn read_operators(store: &Store, from: Option<u64>, tx: &Sender<Event>) -> ReadResult {
    let Some(from) = from else {
        let newest = store.newest(Topic::Operators)?;
        for error in &newest.unreadable {
            warn!(%error, "operator record skipped");
        }
        for (key, value) in &newest.records {
            send_operator_record(key, value, tx);
        }
        let keys = newest.records.iter().map(|(key, _)| key);
        let zones = keys.filter_map(|key| records::evacuated_zone(key));
        let change = EvacuationChange::Reloaded(zones.collect());
        let _ = tx.send(Event::Evacuation(change));
        return Ok(Some(newest.end));
    };
    match store.read(Topic::Operators, from, OPERATORS_WAIT)? {
        Read::Dropped => Ok(None),
        Read::Records { records, next } => {
            for Record { key, value } in &records {
                match value {
                    Some(value) => send_operator_record(key, value, tx),
                    None => send_removal(key, tx),
                }
            }
            Ok(Some(next))
        }
    }
}

fn send_operator_record(key: &str, value: &[u8], tx: &Sender<Event>) {
    let event = match records::operator_record(key, value) {
        Ok(OperatorRecord::Config(cfg)) => Event::Config(Arc::new(cfg)),
        Ok(OperatorRecord::Wave(wave)) => Event::Wave(wave),
        Ok(OperatorRecord::Evacuation(zone)) => {
            Event::Evacuation(EvacuationChange::Requested(zone))
        }
        Ok(OperatorRecord::Other) => return,
        Err(error) => {
            warn!(%error, "operator record skipped");
            return;
        }
    };
    // Fails only if the leadership has ended, and then this thread ends too.
    let _ = tx.send(event);
}

fn send_removal(key: &str, tx: &Sender<Event>) {
    if let Some(zone) = records::evacuated_zone(key) {
        let withdrawn = EvacuationChange::Withdrawn(zone);
        // Fails only if the leadership has ended, and then this thread ends too.
        let _ = tx.send(Event::Evacuation(withdrawn));
    }
}

fn read_endpoints(
    store: &Store,
    from: Option<u64>,
    skipped: &mut Skipped,
    tx: &Sender<Event>,
) -> ReadResult {
    let Some(from) = from else {
        let newest = store.newest(Topic::Endpoints)?;
        let reports = endpoint_reports(&newest, skipped);
        let _ = tx.send(Event::EndpointsReloaded(reports));
        return Ok(Some(newest.end));
    };
    match store.read(Topic::Endpoints, from, ENDPOINTS_WAIT)? {
        Read::Dropped => Ok(None),
        Read::Records { records, next } => {
            for record in records {
                send_endpoint_record(&record, skipped, tx);
            }
            Ok(Some(next))
        }
    }
}

/// Decodes the records of endpoints, without those that can't be read.
pub fn endpoint_reports(newest: &Newest, skipped: &mut Skipped) -> Vec<Report> {
    for error in &newest.unreadable {
        log_skipped(error, skipped);
    }
    let records = newest.records.iter();
    let reports = records.filter_map(|(id, value)| endpoint_report(id, value, skipped));
    reports.collect()
}

fn endpoint_report(id: &str, value: &[u8], skipped: &mut Skipped) -> Option<Report> {
    match records::endpoint_report(id, value) {
        Ok(report) => {
            skipped.remove(id);
            Some(report)
        }
        Err(error) => {
            log_skipped(&error, skipped);
            None
        }
    }
}

fn log_skipped(error: &records::Error, skipped: &mut Skipped) {
    if skipped.insert(error) {
        info!(%error, "endpoint entry skipped");
    }
}

fn send_endpoint_record(record: &Record, skipped: &mut Skipped, tx: &Sender<Event>) {
    // Fails only if the leadership has ended, and then this thread ends too.
    let Some(value) = &record.value else {
        skipped.remove(&record.key);
        let _ = tx.send(Event::EndpointUnlisted(Arc::from(&*record.key)));
        return;
    };
    if let Some(report) = endpoint_report(&record.key, value, skipped) {
        let _ = tx.send(Event::EndpointListed(report));
    }
}
