//! Event loop of the leader: the one thread that owns the state of all jobs and makes decisions.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;

use pomelohitch_sched::cell::Batch;
use pomelohitch_sched::cell::calls::{Call, Verb};
use pomelohitch_sched::config::FleetConfig;
use pomelohitch_sched::endpoint::{PollReply, Report};
use pomelohitch_sched::instances::{Instance, Wave};
use pomelohitch_sched::order::{
    Action, Answer, CallId, Operation, OperationOutcome, Order, OrderReply, PollFailure, Target,
};
use pomelohitch_sched::{Cell, EndpointId, Epoch, InstanceId, Steady, TaskId, ZoneName};
use tracing::{error, info, warn};

use super::super::clock;
use super::super::peers;
use super::super::shared::{Shared, spawn_with};
use super::super::wire::{self, Claim, Leader, ProbeReply};
use super::confirmation::Confirmation;
use super::dispatcher::{self, Dispatcher};
use super::in_flight::InFlight;
use super::journal::{self, Journal, Sequence};
use super::platform_calls::PlatformCalls;
use super::share_gauges::ShareGauges;
use super::watch::ReadSoFar;
use super::{handover, heartbeats, watch};

/// Interval at which the state is checked for due starts, leases and waves if no event arrives.
const TICK: Duration = Duration::from_millis(25);
/// Events that arrive within this time are handled together. This saves a pass over the queues for
/// each event, and delays a request by this much at most.
const GATHER_WINDOW: Duration = Duration::from_millis(5);
/// Minimum interval between the starts of two batches.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum interval between the starts of two batches while appends are in flight.
const MIN_BATCH_INTERVAL_IN_FLIGHT: Duration = Duration::from_millis(120);
/// Interval at which gauges of what was learned are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of queued events handled before the next tick.
const MAX_EVENTS_PER_TICK: usize = 1_000;

/// A caller's request.
#[derive(Debug)]
pub struct Incoming {
    /// Host that the request names.
    pub host: Box<str>,
    /// Path without its query.
    pub path: Box<str>,
    /// Bearer token of the request.
    pub key: Option<Box<str>>,
    /// Requested operation.
    pub verb: Verb,
    /// Receives the answer.
    pub reply: SyncSender<Reply>,
}

/// The leader's reply to a caller's request.
#[derive(Debug)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// Whether the request may have taken effect; see [`Action::Reply`].
    pub is_effect_possible: bool,
}

/// Input of the leader's event loop.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a request.
    Call(Incoming),
    /// A configuration was read.
    Config(Arc<FleetConfig>),
    /// A wave was read.
    Wave(Wave),
    /// An operator requested or withdrew the evacuation of an availability zone.
    Evacuation(EvacuationChange),
    /// An endpoint's entry was read.
    EndpointListed(Report),
    /// An endpoint's entry was removed.
    EndpointUnlisted(EndpointId),
    /// All entries of endpoints were read from the start; endpoints without an entry are no longer
    /// listed.
    EndpointsReloaded(Vec<Report>),
    /// All entries of endpoints that existed at this time were read.
    EndpointsReadUpTo(Steady),
    /// All records that operators had written by this time were read.
    OperatorsReadUpTo(Steady),
    /// A poll of an endpoint succeeded or failed.
    Polled(Target, Result<PollReply, PollFailure>),
    /// An order to an endpoint, sent at this time, has a result.
    Ordered(Target, Order, OrderReply, Steady),
    /// The list of instances was read, or could not be (`None`), by a request sent at this time.
    Instances(Option<Vec<Instance>>, Steady),
    /// An operation on an instance has an outcome.
    Operated(InstanceId, Operation, OperationOutcome),
    /// The policy service returned the tickets for a step and how long they are valid.
    Advised(TaskId, Vec<(EndpointId, Box<str>)>, Duration),
    /// The policy service hasn't answered a query about a step.
    AdviceFailed(TaskId),
    /// All appends up to this one are durable.
    Committed(Sequence),
    /// Whether the store accepts appends.
    AppendsAvailable(bool),
    /// Whether the store answers reads of operator records.
    ReadsAvailable(bool),
    /// The other members' answers on whether the store answers them, and whether it answers this
    /// process at the same time.
    StoreProbed(Vec<(SocketAddr, ProbeReply)>, bool),
    /// The answers of larger members on whether they can lead.
    LargerMembersProbed(Vec<(SocketAddr, ProbeReply)>),
    /// From this time on no former leader can be confirmed by a majority of the members.
    FormersBounded(Steady),
    /// A later leader is known, or the store permanently refuses appends; with the reason that is
    /// logged.
    Deposed(&'static str),
    /// The process is shutting down.
    Shutdown,
}

/// Change to the evacuations that operators request.
#[derive(Debug)]
pub enum EvacuationChange {
    /// The evacuation of a zone was requested.
    Requested(ZoneName),
    /// The evacuation of a zone was withdrawn.
    Withdrawn(ZoneName),
    /// All evacuations were read from the start.
    Reloaded(BTreeSet<ZoneName>),
}

/// State from which a leader starts.
#[derive(Debug)]
pub struct InitialState {
    /// Restored state of all jobs.
    pub cell: Cell,
    /// Sender of events to the leader's thread.
    pub tx: Sender<Event>,
    /// Receiver of events.
    pub rx: Receiver<Event>,
    /// This process as the leader.
    pub leader: Leader,
    /// Confirmations of the leadership.
    pub confirmation: Arc<Confirmation>,
    /// Former leader, if any.
    pub former: Option<Leader>,
    /// What was read of the topics of operators and of endpoints.
    pub read: ReadSoFar,
}

/// Why a leadership ends, and the member to hand it over to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct End {
    reason: &'static str,
    successor: Option<SocketAddr>,
}

/// State of the leader's thread. The checks that end its leadership are in [`super::handover`].
pub(super) struct Core<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) cell: Cell,
    pub(super) epoch: Epoch,
    pub(super) tx: Sender<Event>,
    dispatcher: Dispatcher,
    journal: Journal,
    platform_calls: PlatformCalls,
    pending_calls: HashMap<CallId, SyncSender<Reply>>,
    next_call: CallId,
    gauges_updated_at: Steady,
    in_flight: InFlight,
    share_gauges: ShareGauges,
    last_append_at: Steady,
    pub(super) appends_failing_since: Option<Steady>,
    pub(super) reads_failing_since: Option<Steady>,
    pub(super) members_probed_at: Steady,
    pub(super) larger_checked_at: Steady,
    pub(super) former: Option<Leader>,
    pub(super) confirmation: Arc<Confirmation>,
    /// Since when the leadership isn't confirmed, as last logged.
    pub(super) unconfirmed_since: Option<Steady>,
    end: Option<End>,
}

/// Leads until a later leader is known, this process has lost the store while other members have it
/// or don't answer, nothing confirms the leadership, a larger member can lead, or the process shuts
/// down.
pub fn run(shared: &Arc<Shared>, initial: InitialState) {
    let epoch = initial.leader.epoch;
    let confirmation = initial.confirmation;
    let tx = initial.tx;
    let started = Journal::start(shared, epoch, &tx, &confirmation).and_then(|journal| {
        let platform_calls = PlatformCalls::start(shared, epoch, &tx, &confirmation)?;
        watch::start(shared, epoch, &tx, initial.read)?;
        heartbeats::start(shared, &initial.leader, &confirmation, &tx)?;
        Ok((
            journal,
            platform_calls,
            Dispatcher::start(tx.clone(), relay_options(shared, epoch))?,
        ))
    });
    let (journal, platform_calls, dispatcher) = match started {
        Ok(started) => started,
        Err(error) => {
            error!(%error, "failed to start the leader's threads");
            shared.set_leadership(None);
            return;
        }
    };
    let mut core = Core {
        shared,
        cell: initial.cell,
        epoch,
        dispatcher,
        tx,
        journal,
        platform_calls,
        pending_calls: HashMap::new(),
        next_call: 0,
        gauges_updated_at: Steady::ZERO,
        in_flight: InFlight::default(),
        share_gauges: ShareGauges::default(),
        last_append_at: Steady::ZERO,
        appends_failing_since: None,
        reads_failing_since: None,
        members_probed_at: Steady::ZERO,
        larger_checked_at: handover::initial_larger_checked_at(),
        former: initial.former,
        confirmation,
        unconfirmed_since: None,
        end: None,
    };
    core.update_evacuation_gauge();
    core.dispatcher.update_targets(core.cell.endpoints());
    let end = core.run_event_loop(&initial.rx);
    metrics::gauge!("wave_instances_late").set(0.0);
    shared.set_leadership(None);
    info!(
        epoch,
        why = end.reason,
        calls = core.pending_calls.len(),
        "leadership ended"
    );
    if let Some(successor) = end.successor {
        let has_ended = true;
        hand_over(successor, Claim { epoch, has_ended });
    }
}

/// Options for relaying calls to endpoints through the other members.
fn relay_options(shared: &Arc<Shared>, epoch: Epoch) -> dispatcher::Options {
    let site = shared.site.load();
    let (shared, port) = (shared.clone(), site.relay.port());
    dispatcher::Options {
        epoch,
        members: Some(Box::new(move || {
            let peers = shared.peers().into_iter();
            peers.map(|peer| SocketAddr::new(peer.ip(), port)).collect()
        })),
        link_bytes_per_s: site.link_bytes_per_s,
    }
}

/// Asks `successor` to claim the leadership at once, so that the members need not first detect the
/// leader's silence.
pub(super) fn hand_over(successor: SocketAddr, claim: Claim) {
    const TIMEOUT: Duration = Duration::from_millis(300);
    let client = peers::client(successor);
    match peers::ask::<()>(&client, wire::CLAIM_PATH, &claim, TIMEOUT) {
        Ok(()) => info!(%successor, "leadership handed over"),
        Err(error) => warn!(%error, "leadership not handed over"),
    }
}

impl Core<'_> {
    fn run_event_loop(&mut self, rx: &Receiver<Event>) -> End {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(event) => {
                    std::thread::sleep(GATHER_WINDOW);
                    self.cell.set_now(clock::now());
                    self.handle(event);
                    for event in rx.try_iter().take(MAX_EVENTS_PER_TICK) {
                        self.handle(event);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => self.stop("event channel closed", None),
            }
            if self.cell.is_fenced() {
                self.stop("an endpoint has seen a later leader", None);
            }
            if let Some(end) = self.end {
                return end;
            }
            self.check_confirmation();
            let now = clock::now();
            let actions = self.cell.tick(now);
            self.cell
                .record_tick_duration(clock::steady().saturating_sub(now.steady));
            // An endpoint that is back under its id may have new calls among the actions.
            self.dispatcher.forget(self.cell.take_ended_endpoints());
            self.execute(actions);
            self.record_counts();
            self.update_gauges();
            self.update_wave_gauge();
            self.commit();
            self.check_store();
            self.check_larger_members();
            self.check_former_leader();
            self.dispatcher.update_targets(self.cell.endpoints());
        }
    }

    /// Updates the gauges of learned run times and of shares, once a second.
    fn update_gauges(&mut self) {
        let now = clock::steady();
        if now < self.gauges_updated_at + GAUGE_INTERVAL {
            return;
        }
        self.gauges_updated_at = now;
        for (queue, learned) in self.cell.learned_run_times() {
            let queue = queue.to_string();
            metrics::gauge!("run_time_factor", "queue" => queue.clone()).set(learned.factor);
            metrics::gauge!("run_time_deviation", "queue" => queue).set(learned.deviation);
        }
        self.share_gauges.record(self.cell.shares());
    }

    fn record_counts(&mut self) {
        for (cause, count) in self.cell.take_losses() {
            metrics::counter!("runs_lost", "cause" => cause.label()).increment(count);
        }
        let strays = self.cell.take_strays();
        metrics::counter!("stray_runs", "other_run" => "no").increment(strays.alone);
        metrics::counter!("stray_runs", "other_run" => "yes").increment(strays.beside_another);
        metrics::counter!("jobs_given_up").increment(self.cell.take_given_up());
        let copies = self.cell.take_copies();
        metrics::counter!("copies_started").increment(copies.started);
        metrics::counter!("copies_won").increment(copies.won);
        metrics::counter!("copies_lost").increment(copies.lost);
        let slow = u32::try_from(self.cell.slow_endpoint_count()).unwrap_or(u32::MAX);
        metrics::gauge!("slow_endpoints").set(f64::from(slow));
    }

    pub(super) fn stop(&mut self, reason: &'static str, successor: Option<SocketAddr>) {
        self.end.get_or_insert(End { reason, successor });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(incoming) => self.handle_call(incoming),
            Event::Config(cfg) => {
                info!(version = cfg.version, "configuration read");
                self.cell.configure(cfg);
            }
            Event::Wave(wave) => self.cell.wave(wave),
            Event::Evacuation(change) => self.apply_evacuation(change),
            Event::EndpointListed(report) => self.cell.endpoint_listed(report),
            Event::EndpointUnlisted(id) => self.cell.endpoint_unlisted(&id),
            Event::EndpointsReloaded(reports) => self.replace_endpoints(reports),
            Event::EndpointsReadUpTo(read_up_to) => self.cell.endpoints_read(read_up_to),
            Event::OperatorsReadUpTo(read_up_to) => self.cell.operators_read(read_up_to),
            Event::Polled(target, reply) => self.cell.polled(&target, reply),
            Event::Ordered(target, order, reply, sent_at) => {
                if let Some(clock) = reply.clock {
                    self.cell.order_answered(&target, clock, sent_at);
                }
                self.cell.ordered(&target, &order, &reply.outcome);
            }
            Event::Instances(Some(list), asked_at) => self.cell.instances_listed(list, asked_at),
            Event::Instances(None, _) => self.cell.instances_unlisted(),
            Event::Operated(id, operation, outcome) => self.cell.operated(&id, &operation, outcome),
            Event::Advised(step, tickets, valid) => self.cell.policy_answered(step, tickets, valid),
            Event::AdviceFailed(step) => self.cell.policy_failed(step),
            Event::Committed(sequence) => self.handle_committed(sequence),
            Event::AppendsAvailable(is_available) => {
                self.cell.set_log_down(!is_available);
                self.appends_failing_since =
                    failing_since(self.appends_failing_since, is_available);
            }
            Event::ReadsAvailable(is_available) => {
                self.reads_failing_since = failing_since(self.reads_failing_since, is_available);
            }
            Event::StoreProbed(answers, has_store) => {
                self.handle_probe_answers(&answers, has_store);
            }
            Event::LargerMembersProbed(answers) => self.yield_to_larger(&answers),
            Event::FormersBounded(at) => self.cell.former_leaders_bounded(at),
            Event::Deposed(reason) => self.stop(reason, None),
            Event::Shutdown => self.end_for_shutdown(),
        }
    }

    fn handle_call(&mut self, incoming: Incoming) {
        let id = self.next_call;
        self.next_call += 1;
        self.pending_calls.insert(id, incoming.reply);
        self.cell.call(&Call {
            id,
            host: incoming.host,
            path: incoming.path,
            key: incoming.key,
            verb: incoming.verb,
        });
    }

    fn apply_evacuation(&mut self, change: EvacuationChange) {
        match change {
            EvacuationChange::Requested(zone) => self.cell.evacuate(&zone),
            EvacuationChange::Withdrawn(zone) => self.cell.evacuation_withdrawn(&zone),
            EvacuationChange::Reloaded(zones) => self.cell.evacuations_read(zones),
        }
        self.update_evacuation_gauge();
    }

    fn update_evacuation_gauge(&self) {
        let count = self.cell.evacuations().len();
        metrics::gauge!("evacuated_zones").set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }

    fn update_wave_gauge(&self) {
        let count = self.cell.late_instances();
        metrics::gauge!("wave_instances_late")
            .set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    }

    fn replace_endpoints(&mut self, reports: Vec<Report>) {
        let mut unlisted = self.cell.listed();
        for report in reports {
            unlisted.remove(&report.id);
            self.cell.endpoint_listed(report);
        }
        for id in unlisted {
            self.cell.endpoint_unlisted(&id);
        }
    }

    /// Executes the batches whose records are now durable, in the order of their decisions.
    fn handle_committed(&mut self, sequence: Sequence) {
        for batch in self.in_flight.take_durable(sequence) {
            self.execute_batch(batch);
        }
    }

    /// Executes the actions of a batch whose records are durable.
    fn execute_batch(&mut self, batch: Batch) {
        let actions = self.cell.committed(batch);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Order {
                    target,
                    order,
                    epoch,
                    at,
                } => self.dispatcher.order(target, order, epoch, at),
                Action::Poll(poll) => self.dispatcher.poll(poll),
                Action::ListInstances => self.platform_calls.list_instances(),
                Action::Operate {
                    instance,
                    operation,
                    at,
                } => self.platform_calls.operate(instance, operation, at),
                Action::Reply {
                    call,
                    answer,
                    is_effect_possible,
                } => self.reply(
                    call,
                    Reply {
                        answer,
                        is_effect_possible,
                    },
                ),
                Action::WaveStatus { wave, is_completed } => {
                    self.platform_calls.write_wave_status(wave, is_completed);
                }
                Action::Advise {
                    step,
                    endpoints,
                    timeout,
                } => self.platform_calls.request_advice(step, endpoints, timeout),
            }
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        if let Some(tx) = self.pending_calls.remove(&call) {
            // The receiver may have timed out; the caller then repeats its request.
            let _ = tx.try_send(reply);
        }
    }

    /// Takes the next batch and queues its records for appending, or a confirmation of the
    /// leadership if there were no records for [`journal::CONFIRM_INTERVAL`]. Does nothing while
    /// too many appends are in flight or the last one is too recent.
    fn commit(&mut self) {
        let now = clock::steady();
        let has_in_flight = !self.in_flight.is_empty();
        let interval = if has_in_flight {
            MIN_BATCH_INTERVAL_IN_FLIGHT
        } else {
            MIN_BATCH_INTERVAL
        };
        if self.in_flight.append_count() >= journal::MAX_IN_FLIGHT
            || now < self.last_append_at + interval
        {
            return;
        }
        match self.cell.take_batch() {
            Ok(None) => {
                if !has_in_flight && now >= self.last_append_at + journal::CONFIRM_INTERVAL {
                    let sequence = self.journal.append_confirmation(self.epoch);
                    self.in_flight.push(sequence, None);
                    self.last_append_at = now;
                }
            }
            Ok(Some(batch)) if batch.records.is_empty() && !batch.needs_confirmation() => {
                if let Some(batch) = self.in_flight.push_without_records(batch) {
                    self.execute_batch(batch);
                }
            }
            Ok(Some(mut batch)) => {
                self.last_append_at = now;
                let records = std::mem::take(&mut batch.records);
                let sequence = if records.is_empty() {
                    self.journal.append_confirmation(self.epoch)
                } else {
                    self.journal.commit(records)
                };
                self.in_flight.push(sequence, Some(batch));
            }
            Err(error) => {
                error!(%error, "records can't be encoded");
                self.stop("records can't be encoded", None);
            }
        }
    }
}

fn failing_since(since: Option<Steady>, is_available: bool) -> Option<Steady> {
    (!is_available).then(|| since.unwrap_or_else(clock::steady))
}

/// Converts a time to whole milliseconds.
#[must_use]
pub fn millis(time: Steady) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Starts a thread that repeats `step` until the leadership of `epoch` ends.
///
/// # Errors
/// If the thread can't be started.
pub fn spawn_while_leading(
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
