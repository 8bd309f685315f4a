//! The work of the leader.
//!
//! * [`core`]: the one thread that holds the state of all jobs and decides.
//! * [`journal`]: makes records durable.
//! * [`in_flight`]: what waits for records that aren't durable yet.
//! * [`patience`]: how long an append is waited for.
//! * [`lanes`]: calls endpoints, in order for each.
//! * [`watch`]: reads what operators and endpoints write into the store.
//! * [`duties`]: calls of instances and policy, and the status of waves.
//! * [`heartbeats`]: tells the other members who leads.
//! * [`handover`]: when it ends in favour of another member.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

use pomelohitch_adapter::records::{self, OperatorRecord};
use pomelohitch_adapter::store::{Appended, Guard, Newest, Store, Topic};
use pomelohitch_sched::progress;
use pomelohitch_sched::{Cell, Epoch, Settings};
use snafu::{ResultExt, Snafu, ensure};
use tracing::{info, warn};

use self::heartbeats::Datagrams;
use super::clock;
use super::shared::{Leadership, Shared, spawn, spawn_with};
use super::wire::{self, Claim, HeartbeatReply, Leader, Probe, ProbeReply};
use super::{members, peers, succession};

pub mod core;
pub mod duties;
pub mod handover;
pub mod heartbeats;
pub mod in_flight;
pub mod journal;
pub mod lanes;
pub mod patience;
pub mod watch;

/// Time for one call of a take-over.
const WITHIN: Duration = Duration::from_millis(800);
/// A step of a take-over that fails is tried so often; the claim is made by then, and nobody
/// else leads until another member suspects this one.
const TRIES: u32 = 4;
/// A claim is made so often while other records move the topic's end.
const CLAIM_TRIES: u32 = 12;
/// Pause between tries of a step.
const AGAIN_AFTER: Duration = Duration::from_millis(60);

/// Why the leadership wasn't taken over.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The store didn't do its part.
    #[snafu(display("{source}"))]
    Store {
        /// What went wrong.
        source: pomelohitch_adapter::Error,
    },
    /// Another member was first.
    #[snafu(display("another member claimed the leadership first"))]
    Raced,
    /// A larger member can lead, and was asked to.
    #[snafu(display("left to the larger member at {peer}"))]
    Yielded {
        /// Who was asked.
        peer: SocketAddr,
    },
    /// A later leader has written already.
    #[snafu(display("fenced by a later leader"))]
    Fenced,
    /// A record that can't be written.
    #[snafu(display("{source}"))]
    Record {
        /// What is wrong with it.
        source: progress::Error,
    },
    /// No thread could be started.
    #[snafu(display("start a thread: {source}"))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What a leader begins with.
struct Records {
    jobs: Newest,
    operators: Newest,
    endpoints: Newest,
}

/// Tries to become the leader. Whoever fails waits for the next silence.
///
/// `epoch` is that of the leader that is to be replaced: if there is a later one, another member was
/// first. `is_handed_over` says that the former leader has ended and asked for it.
pub fn claim(shared: &Arc<Shared>, epoch: Epoch, is_handed_over: bool) {
    if let Err(error) = take_over(shared, epoch, is_handed_over) {
        info!(%error, "leadership not taken over");
        let now = clock::steady();
        shared.update(|view| {
            view.leader_heard_at = view.leader_heard_at.max(now.saturating_sub(PAUSE));
        });
    }
}

/// After a failed claim the leader counts as heard so long ago, so that the next try comes soon
/// but not at once.
const PAUSE: Duration = Duration::from_millis(500);

fn take_over(shared: &Arc<Shared>, replaced: Epoch, is_handed_over: bool) -> Result<()> {
    let began = clock::steady();
    let store = shared.store();
    let endpoints = read_aside(shared, Topic::Endpoints)?;
    let (leader, former) = claim_record(shared, &store, replaced)?;
    let epoch = leader.epoch;
    let _announcing = announce(shared, &leader)?;
    if !is_handed_over && let Some(peer) = larger_member(shared) {
        core::hand_over(peer, Claim { has_ended: false });
        return YieldedSnafu { peer }.fail();
    }
    let fenced = again(|| store.append(Topic::Jobs, &[], epoch_guard(epoch, 0), WITHIN))?;
    ensure!(matches!(fenced, Appended::Done { .. }), FencedSnafu);
    // Not before the former leader is fenced: what it has read and acted on must be seen here too.
    let operators = read_aside(shared, Topic::Operators)?;
    let records = Records {
        jobs: again(|| store.newest(Topic::Jobs))?,
        operators: awaited(&operators)?,
        endpoints: awaited(&endpoints)?,
    };
    let site = shared.site.load();
    let settings = Settings {
        lease: LEASE.min(site.bounds.longest_lease),
        job_retention: site.bounds.keep_ended + KEEP_MARGIN,
        operation_gap: site.bounds.holder_gap + HOLDER_MARGIN,
        operations_per_s: site.operations_per_s,
        link_bytes_per_s: site.link_bytes_per_s,
        fleet_ms: shared.fleet_ms(),
        fleet_ms_at_least: shared.min_fleet_ms(),
        former_leader_timeout: if is_handed_over {
            HANDED_OVER
        } else {
            Settings::default().former_leader_timeout
        },
        ..Settings::default()
    };
    let (mut cell, faults) = Cell::restore(settings, epoch, clock::now(), &records.jobs.records);
    for fault in &faults {
        warn!(%fault, "record passed over");
    }
    shared.update_fleet_ms(epoch, Some(cell.fleet_ms()));
    let (tx, rx) = mpsc::channel();
    fill(&mut cell, &records);
    let took_ms = clock::steady().saturating_sub(began).as_millis();
    info!(
        epoch,
        jobs = cell.job_count(),
        endpoints = cell.endpoints().len(),
        config = cell.config().map(|c| c.version),
        took_ms,
        "leadership taken over"
    );
    shared.observe_leader(&leader, true);
    shared.set_leadership(Some(Leadership {
        epoch,
        events: tx.clone(),
    }));
    let offsets = (records.operators.end, records.endpoints.end);
    let parts = core::Parts {
        cell,
        tx,
        rx,
        leader,
        former,
        offsets,
    };
    let running = spawn_with("leader", shared, move |shared| core::run(shared, parts));
    running.map(drop).context(ThreadSnafu)
}

/// The larger member that should lead instead, if one can. It is asked for before the records are
/// read: a small member takes seconds for these, in which nobody leads.
fn larger_member(shared: &Shared) -> Option<SocketAddr> {
    let power = shared.site.load().power;
    let larger = succession::larger(power, &shared.others());
    if larger.is_empty() {
        return None;
    }
    let probe = Probe { with_store: true };
    let answers = peers::ask_all::<ProbeReply>(&larger, wire::PROBE_PATH, &probe);
    succession::successor(&answers)
}

/// Tells the other members at once who leads: while the store is slow, reading all records takes
/// seconds, in which they would suspect the silent leader and claim in turn.
///
/// Goes on until the returned guard is dropped, when the leader's own heartbeats have begun or the
/// take-over has failed.
fn announce(shared: &Arc<Shared>, leader: &Leader) -> Result<mpsc::Sender<()>> {
    let (guard, ended) = mpsc::channel::<()>();
    let peers = shared.peers();
    let others: Vec<_> = peers.iter().map(|&peer| peers::client(peer)).collect();
    let datagrams = Datagrams::new(shared, leader);
    info!(
        epoch = leader.epoch,
        members = others.len(),
        "leadership claimed"
    );
    let leader = leader.clone();
    let telling = spawn_with("announce", shared, move |shared| {
        loop {
            if let Some(datagrams) = &datagrams {
                datagrams.send(shared, &peers);
            }
            let beat = heartbeats::beat_of(shared, &leader);
            peers::ask_clients::<HeartbeatReply>(
                &others,
                wire::HEARTBEAT_PATH,
                &beat,
                heartbeats::EVERY,
            );
            if ended.recv_timeout(heartbeats::EVERY) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    });
    telling.map(|_| guard).context(ThreadSnafu)
}

/// Long enough to outlive a change of leader; see [`Settings::lease`].
const LEASE: Duration = Duration::from_secs(6);
/// A leader that has handed over sends nothing more but what was just going out.
const HANDED_OVER: Duration = Duration::from_millis(300);
/// States of jobs are kept a little longer than promised.
const KEEP_MARGIN: Duration = Duration::from_secs(20);
/// Operations of a former holder stay away a little longer than they have to.
const HOLDER_MARGIN: Duration = Duration::from_millis(400);

/// The guard of an append of the leader.
fn epoch_guard(epoch: Epoch, sequence: u64) -> Guard {
    Guard::Epoch { epoch, sequence }
}

/// Writes that this member leads from now on; the store takes one claim for each end of the topic.
/// Returns who led before, too.
///
/// Members that start together register in the same topic and move its end. Only another claim
/// defeats this one; after anything else it is made again.
fn claim_record(
    shared: &Shared,
    store: &Store,
    replaced: Epoch,
) -> Result<(Leader, Option<Leader>)> {
    for _ in 0..CLAIM_TRIES {
        if let Some(claimed) = try_claim(shared, store, replaced)? {
            return Ok(claimed);
        }
    }
    RacedSnafu.fail()
}

/// Makes a claim once; `None` if the topic's end has moved meanwhile.
fn try_claim(
    shared: &Shared,
    store: &Store,
    replaced: Epoch,
) -> Result<Option<(Leader, Option<Leader>)>> {
    let end = members::read_all(shared, store).context(StoreSnafu)?;
    let former = shared.view().leader;
    let known = former.as_ref().map_or(0, |l| l.epoch);
    ensure!(known <= replaced, RacedSnafu);
    let site = shared.site.load();
    let leader = Leader {
        epoch: known + 1,
        member: site.member.clone(),
        addr: site.internal,
        began_ms: shared.started_ms,
    };
    let record = progress::encode(wire::LEADER_KEY.into(), &leader).context(RecordSnafu)?;
    let guard = Guard::At(end.unwrap_or_default());
    match store.append(Topic::Members, &[record], guard, WITHIN) {
        Ok(Appended::Done { .. }) => Ok(Some((leader, former))),
        Ok(_) => Ok(None),
        Err(source) => {
            let leader = confirm_claim(shared, store, leader, source)?;
            Ok(Some((leader, former)))
        }
    }
}

/// The answer to a claim was lost: whether it was taken stands in the store.
fn confirm_claim(
    shared: &Shared,
    store: &Store,
    leader: Leader,
    source: pomelohitch_adapter::Error,
) -> Result<Leader> {
    again(|| members::read_all(shared, store))?;
    if shared.view().leader.as_ref() == Some(&leader) {
        return Ok(leader);
    }
    Err(source).context(StoreSnafu)
}

fn again<T>(call: impl Fn() -> std::result::Result<T, pomelohitch_adapter::Error>) -> Result<T> {
    for _ in 1..TRIES {
        match call() {
            Ok(done) => return Ok(done),
            Err(error) => info!(%error, "step of taking over tried again"),
        }
        std::thread::sleep(AGAIN_AFTER);
    }
    call().context(StoreSnafu)
}

/// Reads a topic on another thread: one after another the reads would add up to seconds while the
/// store is slow.
fn read_aside(shared: &Shared, topic: Topic) -> Result<Receiver<Result<Newest>>> {
    let (tx, rx) = mpsc::channel();
    let store = shared.store();
    let reading = spawn("read aside", move || {
        // Nobody waits any more if the claim has failed meanwhile.
        let _ = tx.send(again(|| store.newest(topic)));
    });
    reading.map(|_| rx).context(ThreadSnafu)
}

fn awaited(reading: &Receiver<Result<Newest>>) -> Result<Newest> {
    reading.recv().unwrap_or_else(|_| RacedSnafu.fail())
}

/// Tells a cell what operators and endpoints have written.
fn fill(cell: &mut Cell, records: &Records) {
    for (key, value) in &records.operators.records {
        match records::operator_record(key, value) {
            Ok(OperatorRecord::Config(cfg)) => cell.configure(Arc::new(cfg)),
            Ok(OperatorRecord::Wave(wave)) => cell.wave(wave),
            Ok(OperatorRecord::Evacuation(zone)) => cell.evacuate(&zone),
            Ok(OperatorRecord::Other) => {}
            Err(error) => warn!(%error, "record passed over"),
        }
    }
    for (id, value) in &records.endpoints.records {
        match records::endpoint_report(id, value) {
            Ok(report) => cell.endpoint_listed(report),
            Err(error) => info!(%error, "entry passed over"),
        }
    }
}
