//! Calls endpoints.
//!
//! All calls are made on one thread, each as a task of its own. At most a few orders are on their
//! way to one endpoint, so that an order without an answer holds up neither its endpoint nor
//! others. Orders may therefore overtake each other, which endpoints allow for: a stop that comes
//! before its start rejects it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_adapter::connections::Connections;
use pomelohitch_adapter::endpoints;
use pomelohitch_sched::endpoint::Endpoint;
use pomelohitch_sched::order::{LookFailure, LookOrder, Order, Outcome, Refusal, Target};
use pomelohitch_sched::rto::{Limits, Rto};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::{self, LocalSet};

use super::core::Event;
use crate::fleet::clock;
use crate::fleet::shared::spawn;

/// A connection that isn't made by then won't be.
const CONNECT: Duration = Duration::from_millis(250);
/// A start that waited so long since it was decided isn't sent: the process may have stood still,
/// and what it knew then may be wrong by now.
const STALE: Duration = Duration::from_millis(800);
/// Most orders on their way to one endpoint. One or two without an answer leave the others a way.
const AT_ONCE: usize = 3;
/// Connections to an endpoint that stay open: for its orders, and for a look.
const KEPT: usize = AT_ONCE + 1;

/// A poll may take this much longer than the endpoint was told to wait, where answers are prompt.
const LOOK_MARGIN: Duration = Duration::from_millis(250);
/// Timeouts of orders. Endpoints answer within a few milliseconds; what came of an order without an
/// answer is learned from a poll.
const ORDER_WITHIN: Limits = Limits {
    shortest: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};

/// An order that is to go out.
#[derive(Debug)]
struct Sending {
    target: Target,
    order: Order,
    epoch: Epoch,
    /// When it was decided.
    at: Steady,
}

/// What the calling thread is told.
#[derive(Debug)]
enum Command {
    Order(Sending),
    Look(LookOrder),
    /// The endpoint isn't known any more.
    Forget(EndpointId),
}

/// Hands calls to the thread that makes them. It ends when this is dropped.
#[derive(Debug)]
pub struct Lanes {
    commands: UnboundedSender<Command>,
    known: HashSet<EndpointId>,
    events: Sender<Event>,
}

impl Lanes {
    /// Starts the calling thread; how calls end comes as events.
    ///
    /// # Errors
    /// If the system has no room for the thread or its poll.
    pub fn start(events: Sender<Event>) -> std::io::Result<Lanes> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (commands, rx) = mpsc::unbounded_channel();
        let ends = events.clone();
        spawn("endpoints", move || {
            LocalSet::new().block_on(&runtime, serve(rx, ends));
        })?;
        Ok(Lanes {
            commands,
            known: HashSet::new(),
            events,
        })
    }

    /// Sends an order that was decided at `at`.
    pub fn order(&mut self, target: Target, order: Order, epoch: Epoch, at: Steady) {
        self.known.insert(target.id.clone());
        let sending = Sending {
            target,
            order,
            epoch,
            at,
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
    pub fn look(&mut self, look: LookOrder) {
        self.known.insert(look.target.id.clone());
        if let Err(mpsc::error::SendError(Command::Look(unsent))) =
            self.commands.send(Command::Look(look))
        {
            let failed = Err(LookFailure::Failed);
            let _ = self.events.send(Event::Looked(unsent.target, failed));
        }
    }

    /// Closes connections to endpoints that aren't known any more.
    pub fn prune(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
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

/// What there is for one endpoint.
struct Lane {
    /// Shared by all lanes: what delays answers is mostly this member's own link.
    rto: Rc<RefCell<Rto>>,
    connections: Connections,
    orders: Semaphore,
}

impl Lane {
    fn new(addr: SocketAddr, rto: Rc<RefCell<Rto>>) -> Lane {
        Lane {
            rto,
            connections: Connections::new(addr, CONNECT, KEPT),
            orders: Semaphore::new(AT_ONCE),
        }
    }
}

/// Makes calls until nobody asks for any.
async fn serve(mut commands: UnboundedReceiver<Command>, events: Sender<Event>) {
    let mut lanes: HashMap<EndpointId, Rc<Lane>> = HashMap::new();
    let rto = Rc::new(RefCell::new(Rto::new(ORDER_WITHIN)));
    while let Some(command) = commands.recv().await {
        match command {
            Command::Order(sending) => {
                let lane = lane(&mut lanes, &sending.target, &rto);
                task::spawn_local(send(lane, sending, events.clone()));
            }
            Command::Look(look) => {
                let lane = lane(&mut lanes, &look.target, &rto);
                task::spawn_local(watch(lane, look, events.clone()));
            }
            Command::Forget(id) => {
                lanes.remove(&id);
            }
        }
    }
}

fn lane(
    lanes: &mut HashMap<EndpointId, Rc<Lane>>,
    target: &Target,
    rto: &Rc<RefCell<Rto>>,
) -> Rc<Lane> {
    let lane = lanes
        .entry(target.id.clone())
        .or_insert_with(|| Rc::new(Lane::new(target.addr, rto.clone())));
    if lane.connections.peer() != target.addr {
        *lane = Rc::new(Lane::new(target.addr, rto.clone()));
    }
    lane.clone()
}

async fn send(lane: Rc<Lane>, sending: Sending, events: Sender<Event>) {
    let Sending {
        target,
        order,
        epoch,
        at,
    } = sending;
    // The semaphore is never closed.
    let _turn = lane.orders.acquire().await;
    let is_start = matches!(order, Order::Start { .. });
    let outcome = if is_start && clock::steady().saturating_sub(at) > STALE {
        Outcome::Refused(Refusal::Unsent)
    } else {
        let within = lane.rto.borrow().timeout();
        let sent_at = clock::steady();
        let outcome = endpoints::order(&lane.connections, &target, &order, epoch, within).await;
        let took = clock::steady().saturating_sub(sent_at);
        lane.rto.borrow_mut().took(took);
        outcome
    };
    // Nobody listens any more only when the leadership is over.
    let _ = events.send(Event::Ordered(target, order, outcome));
}

async fn watch(lane: Rc<Lane>, look: LookOrder, events: Sender<Event>) {
    let sent_at = clock::steady();
    let late = lane
        .rto
        .borrow()
        .timeout()
        .saturating_sub(ORDER_WITHIN.shortest);
    let mut result = endpoints::look(&lane.connections, &look, LOOK_MARGIN + late).await;
    if let Ok(look) = &mut result {
        look.sent_at = sent_at;
        look.answered_at = clock::steady();
    }
    // Nobody listens any more only when the leadership is over.
    let _ = events.send(Event::Looked(look.target, result));
}
