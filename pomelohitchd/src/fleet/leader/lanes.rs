//! Calls endpoints, directly or by way of other members.
//!
//! All calls are made on one thread, each as a task of its own.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_sched::endpoint::Endpoint;
use pomelohitch_sched::order::{Order, Outcome, PollFailure, PollOrder, Refusal, Target};
use pomelohitch_sched::relaying::Layout;
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, LocalSet};
use tracing::info;

use super::core::Event;
use crate::fleet::calls::{Calls, OutgoingOrder};
use crate::fleet::clock;
use crate::fleet::relay::client::RelayConnection;
use crate::fleet::shared::spawn;

/// A member that carried no more calls is asked again after this time.
const BACK_OFF: Duration = Duration::from_secs(2);
/// How often it is considered which members carry calls.
const LAYOUT_EVERY: Duration = Duration::from_millis(250);

/// Tells where other members take calls to carry.
pub type Members = Box<dyn Fn() -> Vec<SocketAddr> + Send>;

/// Who may carry calls.
#[derive(Default)]
pub struct Options {
    /// The leadership.
    pub epoch: Epoch,
    /// The other members; without it the leader makes all calls.
    pub members: Option<Members>,
    /// What the leader's link carries, bytes a second.
    pub link_bytes_per_s: Option<f64>,
}

/// What the calling thread is told.
#[derive(Debug)]
enum Command {
    Order(OutgoingOrder),
    Look(PollOrder),
    /// The endpoint isn't known any more.
    Forget(EndpointId),
    /// What is called.
    Fleet(Size),
}

/// How much there is to call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Size {
    endpoints: usize,
    services: usize,
}

/// Hands calls to the thread that makes them. It ends when this is dropped.
#[derive(Debug)]
pub struct Lanes {
    commands: UnboundedSender<Command>,
    known: HashSet<EndpointId>,
    /// How many endpoints there were when they were last counted.
    counted: usize,
    events: Sender<Event>,
}

impl Lanes {
    /// Starts the calling thread; how calls end comes as events.
    ///
    /// # Errors
    /// If the system has no room for the thread or its poll.
    pub fn start(events: Sender<Event>, options: Options) -> std::io::Result<Lanes> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (commands, rx) = mpsc::unbounded_channel();
        let ends = events.clone();
        spawn("endpoints", move || {
            LocalSet::new().block_on(&runtime, serve(rx, ends, options));
        })?;
        Ok(Lanes {
            commands,
            known: HashSet::new(),
            counted: 0,
            events,
        })
    }

    /// Sends an order that was decided at `at`.
    pub fn order(&mut self, target: Target, order: Order, epoch: Epoch, at: Steady) {
        self.known.insert(target.id.clone());
        let sending = OutgoingOrder {
            target,
            order,
            epoch,
            decided_at: at,
        };
        if let Err(mpsc::error::SendError(Command::Order(unsent))) =
            self.commands.send(Command::Order(sending))
        {
            let outcome = Outcome::Refused(Refusal::Unsent);
            // Nobody listens any more only when the leadership is over.
            let _ = self
                .events
                .send(Event::Ordered(unsent.target, unsent.order, outcome));
        }
    }

    /// Looks at an endpoint.
    pub fn look(&mut self, look: PollOrder) {
        self.known.insert(look.target.id.clone());
        if let Err(mpsc::error::SendError(Command::Look(unsent))) =
            self.commands.send(Command::Look(look))
        {
            let failed = Err(PollFailure::Failed);
            let _ = self.events.send(Event::Looked(unsent.target, failed));
        }
    }

    /// Takes in which endpoints there are: connections to others are closed.
    pub fn sync(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
        self.count(known);
        self.prune(known);
    }

    fn count(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
        if self.counted == known.len() {
            return;
        }
        self.counted = known.len();
        let reports = known.values().filter_map(|e| e.report.as_ref());
        let services: BTreeSet<_> = reports.map(|r| &r.service).collect();
        let size = Size {
            endpoints: known.len(),
            services: services.len(),
        };
        // A thread that has ended calls nobody.
        let _ = self.commands.send(Command::Fleet(size));
    }

    fn prune(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
        if self.known.len() <= known.len() {
            return;
        }
        let gone = self.known.extract_if(|id| !known.contains_key(id));
        for id in gone {
            // A thread that has ended has no connections.
            let _ = self.commands.send(Command::Forget(id));
        }
    }
}

/// Makes calls until nobody asks for any.
async fn serve(mut commands: UnboundedReceiver<Command>, events: Sender<Event>, options: Options) {
    let mut routes = Routes::new(events, options);
    while let Some(command) = commands.recv().await {
        routes.lay_out();
        match command {
            Command::Order(sending) => routes.order(sending),
            Command::Look(look) => routes.look(look),
            Command::Forget(id) => routes.forget(&id),
            Command::Fleet(size) => routes.size = size,
        }
    }
}

/// Which way each call goes.
struct Routes {
    calls: Rc<Calls>,
    events: Sender<Event>,
    options: Options,
    size: Size,
    layout: Layout,
    /// The other members, as of the last look at the layout.
    members: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, RelayConnection>,
    laid_out_at: Option<Steady>,
}

impl Routes {
    fn new(events: Sender<Event>, options: Options) -> Routes {
        Routes {
            calls: Rc::default(),
            events,
            options,
            size: Size::default(),
            layout: Layout::default(),
            members: Vec::new(),
            links: BTreeMap::new(),
            laid_out_at: None,
        }
    }

    /// Considers anew which members carry calls, from time to time.
    fn lay_out(&mut self) {
        let now = clock::steady();
        let is_due = |at: Steady| now >= at + LAYOUT_EVERY;
        if !self.laid_out_at.is_none_or(is_due) {
            return;
        }
        self.laid_out_at = Some(now);
        let Size {
            endpoints,
            services,
        } = self.size;
        let wanted = Layout::of(endpoints, services, self.options.link_bytes_per_s);
        let layout = self.layout.successor(wanted);
        if layout != self.layout {
            info!(shards = layout.shards, endpoints, "calls divided");
            self.layout = layout;
        }
        let members = self.options.members.as_ref().map(|members| members());
        self.members = members.unwrap_or_default();
        let is_over =
            |link: &RelayConnection| link.ended_at().is_some_and(|at| now >= at + BACK_OFF);
        self.links
            .retain(|peer, link| self.members.contains(peer) && !is_over(link));
    }

    /// The member that carries an endpoint's calls, if one does and is reached.
    fn link(&mut self, target: &Target) -> Option<&RelayConnection> {
        if self.layout == Layout::default() {
            return None;
        }
        let links = &self.links;
        let is_usable =
            |peer: &SocketAddr| links.get(peer).is_none_or(|link| link.ended_at().is_none());
        let members = self.members.iter().copied().filter(is_usable);
        let peer = self.layout.member(&target.service, &target.id, members)?;
        let (epoch, events) = (self.options.epoch, &self.events);
        let link = self
            .links
            .entry(peer)
            .or_insert_with(|| RelayConnection::start(peer, epoch, events.clone()));
        link.is_open().then_some(link)
    }

    fn order(&mut self, sending: OutgoingOrder) {
        let sending = match self.link(&sending.target) {
            Some(link) => link.order(sending),
            None => Some(sending),
        };
        let Some(sending) = sending else {
            return;
        };
        let (calls, events) = (self.calls.clone(), self.events.clone());
        task::spawn_local(async move {
            let outcome = calls.order(&sending).await;
            // Nobody listens any more only when the leadership is over.
            let _ = events.send(Event::Ordered(sending.target, sending.order, outcome));
        });
    }

    fn look(&mut self, look: PollOrder) {
        let look = match self.link(&look.target) {
            Some(link) => link.poll(look),
            None => Some(look),
        };
        let Some(look) = look else {
            return;
        };
        let (calls, events) = (self.calls.clone(), self.events.clone());
        task::spawn_local(async move {
            let looked = calls.poll(&look).await;
            // Nobody listens any more only when the leadership is over.
            let _ = events.send(Event::Looked(look.target, looked));
        });
    }

    fn forget(&mut self, id: &EndpointId) {
        self.calls.forget(id);
        for link in self.links.values() {
            link.forget(id);
        }
    }
}
