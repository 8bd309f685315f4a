//! The leader: takes over the leadership and starts the threads that do its work.
//!
//! * [`core`]: event loop of the one thread that owns the state of all jobs and makes decisions.
//! * [`journal`]: appends records to the store.
//! * [`in_flight`]: batches whose records aren't durable yet.
//! * [`append_timeout`]: timeout of an append.
//! * [`confirmation`]: when the store or the members last confirmed the leadership.
//! * [`dispatcher`]: sends calls to endpoints, directly or through other members.
//! * [`skipped`]: records that are skipped because they can't be read.
//! * [`watch`]: reads the records that operators and endpoints write to the store.
//! * [`platform_calls`]: calls to the platform's instances and policy services, and wave status.
//! * [`heartbeats`]: announces the leader to the other members.
//! * [`handover`]: decides when the leadership ends in favour of another member.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

use pomelohitch_adapter::records::{self, OperatorRecord};
use pomelohitch_adapter::store::{AppendCondition, Appended, Newest, Store, Topic};
use pomelohitch_sched::confirmation::Confirmations;
use pomelohitch_sched::policy::Policy;
use pomelohitch_sched::progress;
use pomelohitch_sched::{Cell, Epoch, Settings};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{info, warn};

use self::confirmation::Confirmation;
use self::heartbeats::Heartbeats;
use self::skipped::Skipped;
use self::watch::ReadSoFar;
use super::clock;
use super::shared::{Leadership, Shared, View, spawn, spawn_with};
use super::wire::{self, Claim, Leader, Probe, ProbeReply};
use super::{members, peers, succession};

pub mod append_timeout;
pub mod confirmation;
pub mod core;
pub mod dispatcher;
pub mod handover;
pub mod heartbeats;
pub mod in_flight;
pub mod journal;
pub mod platform_calls;
mod share_gauges;
pub mod skipped;
pub mod watch;

/// Timeout of an append during a takeover.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Attempts at a step of a takeover. The claim is already made by then: after the last attempt
/// there is no leader until another member suspects this one.
const STEP_ATTEMPTS: u32 = 4;
/// Attempts at a claim; one fails whenever another record moves the topic's end.
const CLAIM_ATTEMPTS: u32 = 12;
/// Delay between attempts at a step.
const STEP_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Why the leadership wasn't taken over.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A call to the store failed.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the store's client.
        source: pomelohitch_adapter::Error,
    },
    /// Another member was first, or other records moved the topic's end at each of
    /// [`CLAIM_ATTEMPTS`] attempts.
    #[snafu(display("another member claimed the leadership first"))]
    Raced,
    /// The leader has written its liveness record since it was suspected.
    #[snafu(display("the leader has shown life since it was suspected"))]
    Alive,
    /// A larger member can lead, and was asked to claim the leadership.
    #[snafu(display("yielded to the larger member at {peer}"))]
    Yielded {
        /// Address of the larger member.
        peer: SocketAddr,
    },
    /// The store refused an append because a later leader has written to the topic.
    #[snafu(display("fenced by a later leader"))]
    Fenced,
    /// A record could not be encoded.
    #[snafu(display("{source}"))]
    Record {
        /// Encoding error.
        source: progress::Error,
    },
    /// A thread could not be started.
    #[snafu(display("start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a member claims the leadership.
#[derive(Debug)]
pub enum Reason {
    /// It suspected the leader as of this view. If the leader has shown life since, this member was cut
    /// off for a while.
    Silent(Box<View>),
    /// It was asked to take over.
    Asked {
        /// See [`Claim::has_ended`].
        has_ended: bool,
    },
}

/// Newest records of the topics from which a leader restores its state.
struct Records {
    jobs: Newest,
    operators: Newest,
    endpoints: Newest,
}

/// Tries to take over the leadership. After a failure, the election tries again the next time it
/// suspects the leader.
///
/// `epoch` is the epoch of the leader to replace: if a later one exists, another member claimed the
/// leadership first.
pub fn claim(shared: &Arc<Shared>, epoch: Epoch, reason: &Reason) {
    if let Err(error) = take_over(shared, epoch, reason) {
        info!(%error, "leadership not taken over");
        let now = clock::steady();
        shared.update(|view| {
            view.leader_heard_at = view.leader_heard_at.max(now.saturating_sub(RETRY_SILENCE));
        });
    }
}

/// After a failed claim, the leader is treated as having been silent for at most this long, so that
/// the next attempt comes soon but not at once.
const RETRY_SILENCE: Duration = Duration::from_millis(500);

fn take_over(shared: &Arc<Shared>, replaced: Epoch, reason: &Reason) -> Result<()> {
    let is_handed_over = matches!(reason, Reason::Asked { has_ended: true });
    let started_at = clock::steady();
    let store = shared.store();
    let endpoints = read_in_background(shared, Topic::Endpoints)?;
    let (leader, former) = claim_record(shared, &store, replaced, reason)?;
    let epoch = leader.epoch;
    let _announcement = announce(shared, &leader)?;
    if !is_handed_over && let Some(peer) = larger_member(shared) {
        let has_ended = false;
        core::hand_over(peer, Claim { epoch, has_ended });
        return YieldedSnafu { peer }.fail();
    }
    let fence_sent_at = clock::steady();
    let appended =
        retry(|| store.append(Topic::Jobs, &[], epoch_condition(epoch, 0), APPEND_TIMEOUT))?;
    ensure!(matches!(appended, Appended::Done { .. }), FencedSnafu);
    // Read only once the former leader is fenced: whatever it has read and acted on must be visible
    // here too.
    let operators = read_in_background(shared, Topic::Operators)?;
    let records = Records {
        jobs: retry(|| store.newest(Topic::Jobs))?,
        operators: wait_for_read(&operators)?,
        endpoints: wait_for_read(&endpoints)?,
    };
    let site = shared.site.load();
    let settings = Settings {
        lease: LEASE.min(site.bounds.max_lease),
        max_lease: site.bounds.max_lease,
        job_retention: site.bounds.job_retention + JOB_RETENTION_MARGIN,
        operation_gap: site.bounds.operation_gap + OPERATION_GAP_MARGIN,
        operations_per_s: site.operations_per_s,
        link_bytes_per_s: site.link_bytes_per_s,
        fleet_ms: shared.fleet_ms(),
        fleet_ms_at_least: shared.min_fleet_ms(),
        former_leader_timeout: if is_handed_over {
            FORMER_LEADER_TIMEOUT_AFTER_HANDOVER
        } else {
            Settings::default().former_leader_timeout
        },
        policy: policy(),
        ..Settings::default()
    };
    let (mut cell, faults) = Cell::restore(settings, epoch, clock::now(), &records.jobs.records);
    for fault in &faults {
        warn!(%fault, "record skipped");
    }
    shared.update_fleet_ms(epoch, Some(cell.fleet_ms()));
    let (tx, rx) = mpsc::channel();
    let read = load_records(&mut cell, &records);
    let took_ms = clock::steady().saturating_sub(started_at).as_millis();
    info!(
        epoch,
        jobs = cell.job_count(),
        endpoints = cell.endpoints().len(),
        config = cell.config().map(|c| c.version),
        took_ms,
        "leadership taken over"
    );
    shared.observe_leader(&leader, true);
    let confirmation = Arc::new(Confirmation::new(fence_sent_at, leader.quorum));
    shared.set_leadership(Some(Leadership {
        epoch,
        confirmation: confirmation.clone(),
        events: tx.clone(),
    }));
    let initial = core::InitialState {
        cell,
        tx,
        rx,
        leader,
        confirmation,
        former,
        read,
    };
    let running = spawn_with("leader", shared, move |shared| core::run(shared, initial));
    running.map(drop).context(ThreadSnafu)
}

/// The default policy without the mechanisms that take processor time for each run. At thousands of
/// starts a second a leader with half a core has none left for them.
fn policy() -> Policy {
    Policy {
        learns_run_times: false,
        avoids_slow: false,
        copies_stragglers: false,
        ..Policy::default()
    }
}

/// Returns a larger member that can lead instead, if there is one. It is looked for before the
/// records are read: reading takes a small member seconds, during which the fleet has no leader.
fn larger_member(shared: &Shared) -> Option<SocketAddr> {
    let power = shared.site.load().power;
    let larger = succession::larger_members(power, &shared.others());
    if larger.is_empty() {
        return None;
    }
    let larger = succession::probe_sample(larger, core::millis(clock::steady()));
    let probe = Probe { with_store: true };
    let answers = peers::ask_all::<ProbeReply>(&larger, wire::PROBE_PATH, &probe);
    succession::successor(&answers)
}

/// Sends heartbeats to the other members during the takeover. While the store is slow, reading all
/// records takes seconds, and members that hear no heartbeat meanwhile would suspect the leader and
/// claim the leadership in turn.
///
/// Stops when the returned guard is dropped: after the start of the leader's thread, which begins
/// to send heartbeats itself, or after a failure of the takeover.
fn announce(shared: &Arc<Shared>, leader: &Leader) -> Result<mpsc::Sender<()>> {
    let (guard, ended) = mpsc::channel::<()>();
    let mut heartbeats = Heartbeats::start(shared, leader).context(ThreadSnafu)?;
    info!(
        epoch = leader.epoch,
        members = shared.peers().len(),
        "leadership claimed"
    );
    let thread = spawn_with("announce", shared, move |shared| {
        loop {
            // A later leader has fenced this one, so that the next step of the takeover fails.
            let _ = heartbeats.send_next(shared);
            let ended = ended.recv_timeout(heartbeats::GROUP_INTERVAL);
            if ended == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    });
    thread.map(|_| guard).context(ThreadSnafu)
}

/// Length of a lease, long enough to outlast a change of leader; see [`Settings::lease`].
const LEASE: Duration = Duration::from_secs(6);
/// [`Settings::former_leader_timeout`] after a handover: the former leader only finishes the calls
/// that it was just sending.
const FORMER_LEADER_TIMEOUT_AFTER_HANDOVER: Duration = Duration::from_millis(300);
/// Margin added to the time for which the platform requires ended jobs to be kept.
const JOB_RETENTION_MARGIN: Duration = Duration::from_secs(20);
/// Margin added to the gap that the platform requires between the operations of two leaders.
const OPERATION_GAP_MARGIN: Duration = Duration::from_millis(400);

/// Condition of an append by the leader of `epoch`.
fn epoch_condition(epoch: Epoch, sequence: u64) -> AppendCondition {
    AppendCondition::Epoch { epoch, sequence }
}

/// Writes the record that makes this member the leader, and returns the new and the former leader.
/// The store accepts only one claim at each end offset of the topic.
///
/// Members that start at the same time register in the same topic and move its end. This claim
/// fails only if another claim was first; if any other record moved the end, it is repeated.
fn claim_record(
    shared: &Shared,
    store: &Store,
    replaced: Epoch,
    reason: &Reason,
) -> Result<(Leader, Option<Leader>)> {
    for _ in 0..CLAIM_ATTEMPTS {
        if let Some(claimed) = try_claim(shared, store, replaced, reason)? {
            return Ok(claimed);
        }
    }
    RacedSnafu.fail()
}

/// Makes one attempt at a claim; returns `None` if the topic's end has moved meanwhile.
fn try_claim(
    shared: &Shared,
    store: &Store,
    replaced: Epoch,
    reason: &Reason,
) -> Result<Option<(Leader, Option<Leader>)>> {
    let end = members::read_all(shared, store).context(StoreSnafu)?;
    let view = shared.view();
    let former = view.leader.clone();
    let known = former.as_ref().map_or(0, |l| l.epoch);
    ensure!(known <= replaced, RacedSnafu);
    // Another writer may have overwritten the record of a later leader.
    let times = [view.fleet_time, view.min_fleet_time];
    let alive = times.into_iter().flatten().map(|time| time.epoch).max();
    if let Reason::Silent(suspected) = reason {
        ensure!(!view.shows_life_since(suspected), AliveSnafu);
    }
    // Counted as for confirmations: a member that has ended may share its address with another.
    let mut members = Confirmations::default();
    members.set_members(shared.peers().into_iter(), view.unreadable_members.len());
    let own_quorum = members.quorum();
    let former_quorum = view.leader_quorum();
    let site = shared.site.load();
    let leader = Leader {
        epoch: known.max(alive.unwrap_or_default()) + 1,
        member: site.member.clone(),
        addr: site.internal,
        began_ms: shared.started_ms,
        quorum: former_quorum.map_or(own_quorum, |former| former.min(own_quorum)),
    };
    let record = progress::encode(wire::LEADER_KEY.into(), &leader).context(RecordSnafu)?;
    let condition = AppendCondition::EndsAt(end.unwrap_or_default());
    match store.append(Topic::Members, &[record], condition, APPEND_TIMEOUT) {
        Ok(Appended::Done { .. }) => Ok(Some((leader, former))),
        Ok(_) => Ok(None),
        Err(source) => {
            let leader = confirm_claim(shared, store, leader, source)?;
            Ok(Some((leader, former)))
        }
    }
}

/// Reads back whether the store accepted a claim whose answer was lost.
fn confirm_claim(
    shared: &Shared,
    store: &Store,
    leader: Leader,
    source: pomelohitch_adapter::Error,
) -> Result<Leader> {
    retry(|| members::read_all(shared, store))?;
    if shared.view().leader.as_ref() == Some(&leader) {
        return Ok(leader);
    }
    Err(source).context(StoreSnafu)
}

fn retry<T>(call: impl Fn() -> std::result::Result<T, pomelohitch_adapter::Error>) -> Result<T> {
    for _ in 1..STEP_ATTEMPTS {
        match call() {
            Ok(done) => return Ok(done),
            Err(error) => info!(%error, "takeover step failed; retrying"),
        }
        std::thread::sleep(STEP_RETRY_DELAY);
    }
    call().context(StoreSnafu)
}

/// Reads a topic on a separate thread: while the store is slow, sequential reads would add up to
/// seconds.
fn read_in_background(shared: &Shared, topic: Topic) -> Result<Receiver<Result<Newest>>> {
    let (tx, rx) = mpsc::channel();
    let store = shared.store();
    let thread = spawn("read aside", move || {
        // The receiver is gone if the takeover has failed meanwhile.
        let _ = tx.send(retry(|| store.newest(topic)));
    });
    thread.map(|_| rx).context(ThreadSnafu)
}

fn wait_for_read(read: &Receiver<Result<Newest>>) -> Result<Newest> {
    read.recv().unwrap_or_else(|_| RacedSnafu.fail())
}

/// Loads the records of operators and endpoints into a cell.
fn load_records(cell: &mut Cell, records: &Records) -> ReadSoFar {
    for error in &records.operators.unreadable {
        warn!(%error, "record skipped");
    }
    for (key, value) in &records.operators.records {
        match records::operator_record(key, value) {
            Ok(OperatorRecord::Config(cfg)) => cell.configure(Arc::new(cfg)),
            Ok(OperatorRecord::Wave(wave)) => cell.wave(wave),
            Ok(OperatorRecord::Evacuation(zone)) => cell.evacuate(&zone),
            Ok(OperatorRecord::Other) => {}
            Err(error) => warn!(%error, "record skipped"),
        }
    }
    let mut skipped = Skipped::default();
    for report in watch::endpoint_reports(&records.endpoints, &mut skipped) {
        cell.endpoint_listed(report);
    }
    ReadSoFar {
        operators: records.operators.end,
        endpoints: records.endpoints.end,
        skipped,
    }
}
