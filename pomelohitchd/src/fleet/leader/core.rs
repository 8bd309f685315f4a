//! The one thread that holds the state of all jobs and decides.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::cell::calls::{Call, Verb};
use pomelohitch_sched::config::FleetConfig;
use pomelohitch_sched::endpoint::{PollReply, Report};
use pomelohitch_sched::instances::{Instance, Wave};
use pomelohitch_sched::order::{
    Action, Answer, CallId, Operation, OperationOutcome, Order, Outcome, PollFailure, Target,
};
use pomelohitch_sched::{Cell, EndpointId, Epoch, InstanceId, Steady, TaskId, ZoneName};
use tracing::{error, info, warn};

use super::super::clock;
use super::super::peers;
use super::super::shared::{Shared, spawn_with};
use super::super::wire::{self, Claim, Leader, ProbeReply};
use super::duties::Duties;
use super::in_flight::InFlight;
use super::journal::{self, Journal, Sequence};
use super::lanes::{self, Lanes};
use super::{handover, heartbeats, watch};

/// Without any event the state is looked at this often: starts that became due, leases, waves.
const TICK: Duration = Duration::from_millis(25);
/// Events that come within this time are decided on together, which costs a request that much
/// latency at most and saves a pass over the queues for each event.
const GATHER: Duration = Duration::from_millis(5);
/// Minimum interval between the starts of two batches.
const BATCH_GAP: Duration = Duration::from_millis(15);
/// The same while others are in flight.
const BATCH_GAP_BEHIND: Duration = Duration::from_millis(120);
/// Most events taken in before the state is looked at.
const EVENTS_AT_ONCE: usize = 1_000;

/// A caller's request, and where its answer goes.
#[derive(Debug)]
pub struct Incoming {
    /// The host that was named.
    pub host: Box<str>,
    /// The path, without query.
    pub path: Box<str>,
    /// The key that came along.
    pub key: Option<Box<str>>,
    /// What is asked.
    pub verb: Verb,
    /// Where the answer goes.
    pub reply: SyncSender<Answer>,
}

/// What happens to a leader.
#[derive(Debug)]
pub enum Event {
    /// A caller asks.
    Call(Incoming),
    /// A configuration was read.
    Config(Arc<FleetConfig>),
    /// A wave was read.
    Wave(Wave),
    /// What operators ask of availability zones has changed.
    Evacuation(EvacuationChange),
    /// An endpoint's entry was read.
    EndpointListed(Report),
    /// An endpoint's entry was removed.
    EndpointUnlisted(EndpointId),
    /// All entries were read anew; endpoints without one aren't listed any more.
    EndpointsRead(Vec<Report>),
    /// All entries of endpoints were read that there were at that time.
    EndpointsAsOf(Steady),
    /// All was read that operators had written by then.
    OperatorsAsOf(Steady),
    /// A look ended.
    Looked(Target, Result<PollReply, PollFailure>),
    /// An order ended.
    Ordered(Target, Order, Outcome),
    /// The list of instances was read, asked for at that time.
    Instances(Option<Vec<Instance>>, Steady),
    /// An operation on an instance ended.
    Operated(InstanceId, Operation, OperationOutcome),
    /// The policy answered.
    Advised(TaskId, Vec<(EndpointId, Box<str>)>, Duration),
    /// Everything up to this append is durable.
    Committed(Sequence),
    /// The store answers, or doesn't, to appends.
    Appends(bool),
    /// The store answers, or doesn't, to reads of what operators write.
    Reads(bool),
    /// What the other members answered about the store.
    ///
    /// Comes with whether the store answers this process at the same time.
    Probed(Vec<(SocketAddr, ProbeReply)>, bool),
    /// What larger members answered that were asked whether they can lead.
    Larger(Vec<(SocketAddr, ProbeReply)>),
    /// A later leader is known.
    Deposed(&'static str),
    /// The process shuts down.
    Leave,
}

/// A change of the evacuations that operators ask for.
#[derive(Debug)]
pub enum EvacuationChange {
    /// One was asked for.
    Asked(ZoneName),
    /// One was withdrawn.
    Withdrawn(ZoneName),
    /// All were read anew.
    Read(BTreeSet<ZoneName>),
}

/// What a leadership begins with.
#[derive(Debug)]
pub struct Parts {
    /// The state.
    pub cell: Cell,
    /// Takes events.
    pub tx: Sender<Event>,
    /// Gives events.
    pub rx: Receiver<Event>,
    /// Who leads: this process.
    pub leader: Leader,
    /// Who led before.
    pub former: Option<Leader>,
    /// Where to read on from: what operators write, and what endpoints write.
    pub offsets: (u64, u64),
}

/// How a leadership ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    why: &'static str,
    successor: Option<SocketAddr>,
}

/// The leader's one thread. What ends its leadership is in [`super::handover`].
pub(super) struct Core<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) cell: Cell,
    pub(super) epoch: Epoch,
    pub(super) tx: Sender<Event>,
    lanes: Lanes,
    journal: Journal,
    duties: Duties,
    calls: HashMap<CallId, SyncSender<Answer>>,
    next_call: CallId,
    in_flight: InFlight,
    committed_at: Steady,
    pub(super) appends_lost: Option<Steady>,
    pub(super) reads_lost: Option<Steady>,
    pub(super) asked_at: Steady,
    pub(super) compared_at: Steady,
    pub(super) former: Option<Leader>,
    end: Option<End>,
}

/// Leads until a later leader is known, the store is lost to this process alone, or the process
/// shuts down.
pub fn run(shared: &Arc<Shared>, parts: Parts) {
    let epoch = parts.leader.epoch;
    let confirmed = Arc::new(AtomicU64::new(millis(clock::steady())));
    let tx = parts.tx;
    let started = Journal::start(shared, epoch, &tx, &confirmed).and_then(|journal| {
        let duties = Duties::start(shared, epoch, &tx, &confirmed)?;
        watch::start(shared, epoch, &tx, parts.offsets)?;
        heartbeats::start(shared, &parts.leader, &tx)?;
        Ok((
            journal,
            duties,
            Lanes::start(tx.clone(), relaying(shared, epoch))?,
        ))
    });
    let (journal, duties, lanes) = match started {
        Ok(started) => started,
        Err(error) => {
            error!(%error, "threads of the leader can't be started");
            shared.set_leadership(None);
            return;
        }
    };
    let mut core = Core {
        shared,
        cell: parts.cell,
        epoch,
        lanes,
        tx,
        journal,
        duties,
        calls: HashMap::new(),
        next_call: 0,
        in_flight: InFlight::default(),
        committed_at: Steady::ZERO,
        appends_lost: None,
        reads_lost: None,
        asked_at: Steady::ZERO,
        compared_at: handover::first_comparison(),
        former: parts.former,
        end: None,
    };
    core.show_evacuations();
    let end = core.lead(&parts.rx);
    shared.set_leadership(None);
    info!(
        epoch,
        why = end.why,
        calls = core.calls.len(),
        "leadership ended"
    );
    if let Some(successor) = end.successor {
        hand_over(successor, Claim { has_ended: true });
    }
}

/// Who may carry calls for the leader.
fn relaying(shared: &Arc<Shared>, epoch: Epoch) -> lanes::Options {
    let site = shared.site.load();
    let (shared, port) = (shared.clone(), site.relay.port());
    lanes::Options {
        epoch,
        members: Some(Box::new(move || {
            let peers = shared.peers().into_iter();
            peers.map(|peer| SocketAddr::new(peer.ip(), port)).collect()
        })),
        link_bytes_per_s: site.link_bytes_per_s,
    }
}

/// Asks another member to take over, so that nobody has to notice the silence first.
pub(super) fn hand_over(successor: SocketAddr, claim: Claim) {
    /// Time for the request.
    const WITHIN: Duration = Duration::from_millis(300);
    let client = peers::client(successor);
    match peers::ask::<()>(&client, wire::CLAIM_PATH, &claim, WITHIN) {
        Ok(()) => info!(%successor, "leadership handed over"),
        Err(error) => warn!(%error, "leadership not handed over"),
    }
}

impl Core<'_> {
    fn lead(&mut self, rx: &Receiver<Event>) -> End {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(event) => {
                    std::thread::sleep(GATHER);
                    self.cell.set_now(clock::now());
                    self.take(event);
                    for event in rx.try_iter().take(EVENTS_AT_ONCE) {
                        self.take(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => self.stop("no events any more", None),
            }
            if self.cell.is_fenced() {
                self.stop("an endpoint has seen a later leader", None);
            }
            if let Some(end) = self.end {
                return end;
            }
            let now = clock::now();
            let actions = self.cell.tick(now);
            self.cell
                .record_tick_duration(clock::steady().saturating_sub(now.steady));
            self.carry_out(actions);
            self.count_losses();
            self.commit();
            self.check_store();
            self.check_size();
            self.check_former();
            self.lanes.sync(self.cell.endpoints());
        }
    }

    fn count_losses(&mut self) {
        for (cause, count) in self.cell.take_losses() {
            metrics::counter!("runs_lost", "cause" => cause.label()).increment(count);
        }
        metrics::counter!("jobs_given_up").increment(self.cell.take_given_up());
    }

    pub(super) fn stop(&mut self, why: &'static str, successor: Option<SocketAddr>) {
        self.end.get_or_insert(End { why, successor });
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call(incoming) => self.take_call(incoming),
            Event::Config(cfg) => {
                info!(version = cfg.version, "configuration read");
                self.cell.configure(cfg);
            }
            Event::Wave(wave) => self.cell.wave(wave),
            Event::Evacuation(change) => self.take_evacuation(change),
            Event::EndpointListed(report) => self.cell.endpoint_listed(report),
            Event::EndpointUnlisted(id) => self.cell.endpoint_unlisted(&id),
            Event::EndpointsRead(reports) => self.take_all(reports),
            Event::EndpointsAsOf(as_of) => self.cell.endpoints_read(as_of),
            Event::OperatorsAsOf(as_of) => self.cell.operators_read(as_of),
            Event::Looked(target, look) => self.cell.polled(&target, look),
            Event::Ordered(target, order, outcome) => self.cell.ordered(&target, &order, &outcome),
            Event::Instances(Some(list), asked_at) => self.cell.instances_listed(list, asked_at),
            Event::Instances(None, _) => self.cell.instances_unlisted(),
            Event::Operated(id, operation, outcome) => self.cell.operated(&id, &operation, outcome),
            Event::Advised(step, tickets, valid) => self.cell.policy_answered(step, tickets, valid),
            Event::Committed(sequence) => self.take_committed(sequence),
            Event::Appends(is_well) => {
                self.cell.set_log_down(!is_well);
                self.appends_lost = lost_since(self.appends_lost, is_well);
            }
            Event::Reads(is_well) => self.reads_lost = lost_since(self.reads_lost, is_well),
            Event::Probed(answers, has_store) => self.take_probes(&answers, has_store),
            Event::Larger(answers) => self.yield_to(&answers),
            Event::Deposed(why) => self.stop(why, None),
            Event::Leave => self.leave(),
        }
    }

    fn take_call(&mut self, incoming: Incoming) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, incoming.reply);
        self.cell.call(&Call {
            id,
            host: incoming.host,
            path: incoming.path,
            key: incoming.key,
            verb: incoming.verb,
        });
    }

    fn take_evacuation(&mut self, change: EvacuationChange) {
        match change {
            EvacuationChange::Asked(zone) => self.cell.evacuate(&zone),
            EvacuationChange::Withdrawn(zone) => self.cell.evacuation_withdrawn(&zone),
            EvacuationChange::Read(zones) => self.cell.evacuations_read(zones),
        }
        self.show_evacuations();
    }

    fn show_evacuations(&self) {
        let count = self.cell.evacuations().len();
        metrics::gauge!("evacuated_zones").set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }

    fn take_all(&mut self, reports: Vec<Report>) {
        let mut gone = self.cell.listed();
        for report in reports {
            gone.remove(&report.id);
            self.cell.endpoint_listed(report);
        }
        for id in gone {
            self.cell.endpoint_unlisted(&id);
        }
    }

    /// Carries out what waited for records that are durable now, in the order of its decision.
    fn take_committed(&mut self, sequence: Sequence) {
        for batch in self.in_flight.committed(sequence) {
            self.act_on(batch);
        }
    }

    /// Carries out what a batch has decided, whose records are durable.
    fn act_on(&mut self, batch: Batch) {
        let actions = self.cell.committed(batch);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Order {
                    target,
                    order,
                    epoch,
                    at,
                } => self.lanes.order(target, order, epoch, at),
                Action::Poll(look) => self.lanes.look(look),
                Action::ListInstances => self.duties.list(),
                Action::Operate {
                    instance,
                    operation,
                    at,
                } => self.duties.operate(instance, operation, at),
                Action::Reply { call, answer } => self.reply(call, answer),
                Action::WaveStatus { wave, is_completed } => {
                    self.duties.wave_status(wave, is_completed);
                }
                Action::Advise { step, endpoints } => self.duties.advise(step, endpoints),
            }
        }
    }

    fn reply(&mut self, call: CallId, answer: Answer) {
        if let Some(reply) = self.calls.remove(&call) {
            // Whoever asked may have given up; the caller asks again then.
            let _ = reply.try_send(answer);
        }
    }

    fn commit(&mut self) {
        let now = clock::steady();
        let is_behind = !self.in_flight.is_empty();
        let gap = if is_behind {
            BATCH_GAP_BEHIND
        } else {
            BATCH_GAP
        };
        if self.in_flight.appends() >= journal::AT_ONCE || now < self.committed_at + gap {
            return;
        }
        match self.cell.take_batch() {
            Ok(None) => {
                if !is_behind && now >= self.committed_at + journal::CONFIRM_EVERY {
                    let sequence = self.journal.confirm(self.epoch);
                    self.in_flight.append(sequence, None);
                    self.committed_at = now;
                }
            }
            Ok(Some(batch)) if batch.records.is_empty() => {
                if let Some(batch) = self.in_flight.follow(batch) {
                    self.act_on(batch);
                }
            }
            Ok(Some(mut batch)) => {
                self.committed_at = now;
                let records = std::mem::take(&mut batch.records);
                let sequence = self.journal.commit(records);
                self.in_flight.append(sequence, Some(batch));
            }
            Err(error) => {
                error!(%error, "records can't be encoded");
                self.stop("records can't be encoded", None);
            }
        }
    }
}

fn lost_since(since: Option<Steady>, is_well: bool) -> Option<Steady> {
    (!is_well).then(|| since.unwrap_or_else(clock::steady))
}

/// Milliseconds of a point of time.
#[must_use]
pub fn millis(time: Steady) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Records that leadership was confirmed by the store now.
pub fn confirm(confirmed: &AtomicU64) {
    confirmed.store(millis(clock::steady()), Ordering::Release);
}

/// How long ago the store last confirmed the leadership.
#[must_use]
pub fn confirmed_ago(confirmed: &AtomicU64) -> Duration {
    let at = Duration::from_millis(confirmed.load(Ordering::Acquire));
    clock::steady().saturating_sub(at)
}

/// Starts a thread that ends with the leadership: by its channel, or by looking.
///
/// # Errors
/// If the system has no room for another thread.
pub fn spawn_for(
    name: &str,
    shared: &Arc<Shared>,
    epoch: Epoch,
    mut step: impl FnMut(&Arc<Shared>) + Send + 'static,
) -> std::io::Result<()> {
    let running = spawn_with(name, shared, move |shared| {
        while shared.leadership().is_some_and(|l| l.epoch == epoch) {
            step(shared);
        }
    });
    running.map(drop)
}
