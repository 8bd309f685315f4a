//! Sends calls to endpoints, directly or through other members that relay them.
//!
//! All calls are made on one thread, each as its own task.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_sched::endpoint::Endpoint;
use pomelohitch_sched::order::{Order, Outcome, PollFailure, PollOrder, Refusal, Target};
use pomelohitch_sched::relaying::{Assignment, Layout, Relays};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, LocalSet};
use tracing::info;

use super::core::Event;
use crate::fleet::calls::{Calls, OutgoingOrder};
use crate::fleet::clock;
use crate::fleet::relay::client::RelayConnection;
use crate::fleet::shared::spawn;

/// Delay before a member that stopped relaying calls is used as a relay again.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval at which the assignment of endpoints to members is updated.
const LAYOUT_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the addresses at which the other members accept calls to relay.
pub type Members = Box<dyn Fn() -> Vec<SocketAddr> + Send>;

/// Options of the calls.
#[derive(Default)]
pub struct Options {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// The other members; if `None`, the leader makes all calls itself.
    pub members: Option<Members>,
    /// Bandwidth of the leader's network link in bytes per second, if known.
    pub link_bytes_per_s: Option<f64>,
}

/// Command to the thread that makes the calls.
#[derive(Debug)]
enum Command {
    Order(OutgoingOrder),
    Poll(PollOrder),
    /// The endpoint no longer exists, or has restarted.
    Forget(EndpointId),
    /// New numbers of endpoints and services.
    Targets(CallTargets),
}

/// Number of endpoints and services, which determines the layout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct CallTargets {
    endpoints: usize,
    services: usize,
}

/// Queue to the thread that makes the calls. The thread ends when this is dropped.
#[derive(Debug)]
pub struct Dispatcher {
    commands: UnboundedSender<Command>,
    targets_updated_at: Option<Steady>,
    events: Sender<Event>,
}

impl Dispatcher {
    /// Starts the thread that makes the calls; their outcomes are sent as events.
    ///
    /// # Errors
    /// If the thread or its I/O driver can't be started.
    pub fn start(events: Sender<Event>, options: Options) -> std::io::Result<Dispatcher> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (commands, rx) = mpsc::unbounded_channel();
        let outcomes = events.clone();
        spawn("endpoints", move || {
            LocalSet::new().block_on(&runtime, run(rx, outcomes, options));
        })?;
        Ok(Dispatcher {
            commands,
            targets_updated_at: None,
            events,
        })
    }

    /// Sends an order that was decided at `at`.
    pub fn order(&self, target: Target, order: Order, epoch: Epoch, at: Steady) {
        let outgoing = OutgoingOrder {
            target,
            order,
            epoch,
            decided_at: at,
        };
        if let Err(mpsc::error::SendError(Command::Order(unsent))) =
            self.commands.send(Command::Order(outgoing))
        {
            let OutgoingOrder { target, order, .. } = unsent;
            let reply = Outcome::Refused(Refusal::Unsent).into();
            // Fails only if the leadership has ended.
            let _ = self
                .events
                .send(Event::Ordered(target, order, reply, clock::steady()));
        }
    }

    /// Polls an endpoint.
    pub fn poll(&self, poll: PollOrder) {
        if let Err(mpsc::error::SendError(Command::Poll(unsent))) =
            self.commands.send(Command::Poll(poll))
        {
            let failed = Err(PollFailure::Failed);
            let _ = self.events.send(Event::Polled(unsent.target, failed));
        }
    }

    /// Updates the number of endpoints and services, at most once per [`LAYOUT_INTERVAL`].
    pub fn update_targets(&mut self, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        let now = clock::steady();
        let is_due = |at: Steady| now >= at + LAYOUT_INTERVAL;
        if !self.targets_updated_at.is_none_or(is_due) {
            return;
        }
        self.targets_updated_at = Some(now);
        let reports = endpoints.values().filter_map(|e| e.report.as_ref());
        let services: BTreeSet<_> = reports.map(|r| &r.service).collect();
        let targets = CallTargets {
            endpoints: endpoints.len(),
            services: services.len(),
        };
        // Fails only if the thread has ended, which then makes no calls.
        let _ = self.commands.send(Command::Targets(targets));
    }

    /// Abandons the calls to endpoints that no longer exist or have restarted, and closes the
    /// connections to them.
    pub fn forget(&self, ended: Vec<EndpointId>) {
        for id in ended {
            // Fails only if the thread has ended, which then has no connections.
            let _ = self.commands.send(Command::Forget(id));
        }
    }
}

/// Executes commands until the queue is closed.
async fn run(mut commands: UnboundedReceiver<Command>, events: Sender<Event>, options: Options) {
    let mut router = Router::new(events, options);
    while let Some(command) = commands.recv().await {
        router.update_layout();
        match command {
            Command::Order(outgoing) => router.order(outgoing),
            Command::Poll(poll) => router.poll(poll),
            Command::Forget(id) => router.forget(&id),
            Command::Targets(targets) => router.set_targets(targets),
        }
    }
}

/// Decides which member makes each call.
struct Router {
    calls: Rc<Calls>,
    events: Sender<Event>,
    options: Options,
    targets: CallTargets,
    assignment: Assignment<SocketAddr>,
    relays: Relays<SocketAddr>,
    connections: BTreeMap<SocketAddr, RelayConnection>,
    layout_updated_at: Option<Steady>,
}

impl Router {
    fn new(events: Sender<Event>, options: Options) -> Router {
        Router {
            calls: Rc::default(),
            events,
            options,
            targets: CallTargets::default(),
            assignment: Assignment::default(),
            relays: Relays::default(),
            connections: BTreeMap::new(),
            layout_updated_at: None,
        }
    }

    /// Sets the number of endpoints and services; the next call is made by the layout for them.
    fn set_targets(&mut self, targets: CallTargets) {
        if self.targets != targets {
            self.targets = targets;
            self.layout_updated_at = None;
        }
    }

    /// Updates the layout and the connections to members, at most once per [`LAYOUT_INTERVAL`].
    fn update_layout(&mut self) {
        let now = clock::steady();
        let is_due = |at: Steady| now >= at + LAYOUT_INTERVAL;
        if !self.layout_updated_at.is_none_or(is_due) {
            return;
        }
        self.layout_updated_at = Some(now);
        let CallTargets {
            endpoints,
            services,
        } = self.targets;
        let wanted = Layout::of(endpoints, services, self.options.link_bytes_per_s);
        let layout = self.assignment.layout().successor(wanted);
        if layout != self.assignment.layout() {
            info!(
                shards = layout.shards,
                endpoints, "assignment of endpoints to members changed"
            );
            self.assignment.set_layout(layout);
        }
        self.update_members(now);
    }

    /// Updates the members that relay calls, and drops connections to others.
    fn update_members(&mut self, now: Steady) {
        let members = self.options.members.as_ref().map(|members| members());
        let mut members: BTreeSet<_> = members.into_iter().flatten().collect();
        let is_retry_due = |connection: &RelayConnection| {
            connection
                .ended_at()
                .is_some_and(|at| now >= at + RELAY_RETRY_DELAY)
        };
        self.connections
            .retain(|peer, connection| members.contains(peer) && !is_retry_due(connection));
        for (peer, connection) in &self.connections {
            if connection.ended_at().is_some() {
                members.remove(peer);
            }
        }
        self.assignment.set_members(members);
    }

    /// Returns the connection to the member that relays the endpoint's calls, if any. It may not be
    /// open yet.
    fn connection(&mut self, target: &Target) -> Option<&RelayConnection> {
        let has_ended = |connection: &RelayConnection| connection.ended_at().is_some();
        let peer = loop {
            let peer = self.assignment.member(&target.service, &target.id)?;
            if !self.connections.get(&peer).is_some_and(has_ended) {
                break peer;
            }
            self.assignment.remove(&peer);
        };
        let (epoch, events) = (self.options.epoch, &self.events);
        self.relays.record(&target.id, peer);
        let connection = self
            .connections
            .entry(peer)
            .or_insert_with(|| RelayConnection::start(peer, epoch, events.clone()));
        Some(connection)
    }

    fn order(&mut self, outgoing: OutgoingOrder) {
        // An order is not worth waiting for a connection: it is soon void.
        let connection = self.connection(&outgoing.target).filter(|c| c.is_open());
        let outgoing = match connection {
            Some(connection) => connection.order(outgoing),
            None => Some(outgoing),
        };
        let Some(outgoing) = outgoing else {
            return;
        };
        let (calls, events) = (self.calls.clone(), self.events.clone());
        task::spawn_local(async move {
            let sent_at = clock::steady();
            let reply = calls.order(&outgoing).await;
            let OutgoingOrder { target, order, .. } = outgoing;
            // Fails only if the leadership has ended.
            let _ = events.send(Event::Ordered(target, order, reply, sent_at));
        });
    }

    fn poll(&mut self, poll: PollOrder) {
        // A poll waits until the connection is open. A new leader polls all endpoints at once, and
        // with a connection to each of thousands it would run out of memory.
        let poll = match self.connection(&poll.target) {
            Some(connection) => connection.poll(poll),
            None => Some(poll),
        };
        let Some(poll) = poll else {
            return;
        };
        let (calls, events) = (self.calls.clone(), self.events.clone());
        task::spawn_local(async move {
            let polled = calls.poll(&poll).await;
            // Fails only if the leadership has ended.
            let _ = events.send(Event::Polled(poll.target, polled));
        });
    }

    fn forget(&mut self, id: &EndpointId) {
        self.calls.forget(id);
        for peer in self.relays.forget(id) {
            if let Some(connection) = self.connections.get(&peer) {
                connection.forget(id);
            }
        }
    }
}
