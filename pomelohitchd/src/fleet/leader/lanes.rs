//! Calls endpoints.
//!
//! Orders go out on a pool of threads, at most a few at a time to one endpoint, so that an order
//! without an answer holds up neither its endpoint nor others. Orders may therefore overtake each
//! other, which endpoints allow for: a stop that comes before its start rejects it. Looks wait at
//! their endpoint for something to end, on a thread for each.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::{Client, endpoints};
use pomelohitch_sched::endpoint::Endpoint;
use pomelohitch_sched::order::{LookFailure, LookOrder, Order, Outcome, Refusal, Target};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tracing::warn;

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
/// Most threads that send orders. Orders that are answered keep a few of them busy; the rest is for
/// some tens of endpoints that fall silent together.
const MOST_SENDERS: usize = 128;

/// An order that is to go out.
#[derive(Debug)]
struct Sending {
    target: Target,
    order: Order,
    epoch: Epoch,
    /// When it was decided.
    at: Steady,
}

/// What is to go out to one endpoint.
#[derive(Debug)]
struct Lane {
    client: Client,
    waiting: VecDeque<Sending>,
    /// Threads that send what waits here.
    senders: usize,
}

/// What the sending threads share.
#[derive(Debug, Default)]
struct Orders {
    lanes: HashMap<EndpointId, Lane>,
    /// Endpoints that another thread should send to, once for each thread.
    ready: VecDeque<EndpointId>,
    /// Threads without work.
    idle: usize,
    /// Threads in all.
    started: usize,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Pool {
    orders: Mutex<Orders>,
    woken: Condvar,
}

#[derive(Debug)]
struct Looks {
    addr: SocketAddr,
    orders: Sender<LookOrder>,
}

/// The threads that call endpoints. They end when this is dropped.
#[derive(Debug)]
pub struct Lanes {
    pool: Arc<Pool>,
    looks: HashMap<EndpointId, Looks>,
    events: Sender<Event>,
}

impl Lanes {
    /// No threads yet.
    #[must_use]
    pub fn new(events: Sender<Event>) -> Lanes {
        Lanes {
            pool: Arc::default(),
            looks: HashMap::new(),
            events,
        }
    }

    /// Sends an order that was decided at `at`.
    pub fn order(&mut self, target: Target, order: Order, epoch: Epoch, at: Steady) {
        let sending = Sending {
            target,
            order,
            epoch,
            at,
        };
        let mut orders = self.pool.lock();
        orders.add(sending);
        let is_short = orders.ready.len() > orders.idle && orders.started < MOST_SENDERS;
        if is_short {
            orders.started += 1;
            drop(orders);
            self.start_sender();
        }
        self.pool.woken.notify_one();
    }

    fn start_sender(&self) {
        let (pool, events) = (self.pool.clone(), self.events.clone());
        if let Err(error) = spawn("orders", move || pool.send(&events)) {
            warn!(%error, "a thread for orders can't be started");
            self.pool.lock().started -= 1;
        }
    }

    /// Looks at an endpoint.
    pub fn look(&mut self, look: LookOrder) {
        let target = look.target.clone();
        let sent = self.looks(&target).map(|looks| looks.orders.send(look));
        if !matches!(sent, Some(Ok(()))) {
            let failed = Err(LookFailure::Failed);
            // Nobody listens any more only when the leadership is over.
            let _ = self.events.send(Event::Looked(target, failed));
        }
    }

    /// Forgets endpoints that aren't known any more, and ends their threads.
    pub fn prune(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
        if self.looks.len() > known.len() {
            self.looks.retain(|id, _| known.contains_key(id));
            let is_used = |lane: &Lane| lane.senders > 0;
            let mut orders = self.pool.lock();
            orders
                .lanes
                .retain(|id, lane| known.contains_key(id) || is_used(lane));
        }
    }

    fn looks(&mut self, target: &Target) -> Option<&Looks> {
        let known = self.looks.get(&target.id);
        if known.is_none_or(|looks| looks.addr != target.addr) {
            match start_looks(target, &self.events) {
                Ok(looks) => {
                    self.looks.insert(target.id.clone(), looks);
                }
                Err(error) => {
                    warn!(%error, endpoint = %target.id, "a thread for looks can't be started");
                    return None;
                }
            }
        }
        self.looks.get(&target.id)
    }
}

impl Drop for Lanes {
    fn drop(&mut self) {
        self.pool.lock().is_closed = true;
        self.pool.woken.notify_all();
    }
}

impl Orders {
    fn add(&mut self, sending: Sending) {
        let id = sending.target.id.clone();
        let addr = sending.target.addr;
        let lane = self.lanes.entry(id.clone()).or_insert_with(|| Lane {
            client: Client::keeping(addr, CONNECT, AT_ONCE),
            waiting: VecDeque::new(),
            senders: 0,
        });
        if lane.client.peer() != addr {
            lane.client = Client::keeping(addr, CONNECT, AT_ONCE);
        }
        lane.waiting.push_back(sending);
        if lane.senders < AT_ONCE {
            lane.senders += 1;
            self.ready.push_back(id);
        }
    }

    /// The next order to an endpoint; without one the thread leaves it.
    fn next_to(&mut self, id: &EndpointId) -> Option<(Client, Sending)> {
        let lane = self.lanes.get_mut(id)?;
        let Some(sending) = lane.waiting.pop_front() else {
            lane.senders -= 1;
            return None;
        };
        Some((lane.client.clone(), sending))
    }
}

impl Pool {
    fn lock(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends what is ready until the pool is closed.
    fn send(&self, events: &Sender<Event>) {
        while let Some(id) = self.next_endpoint() {
            loop {
                let next = self.lock().next_to(&id);
                let Some((client, sending)) = next else {
                    break;
                };
                let outcome = sending.send(&client);
                let Sending { target, order, .. } = sending;
                if events.send(Event::Ordered(target, order, outcome)).is_err() {
                    return;
                }
            }
        }
    }

    /// Waits for an endpoint to send to; `None` once the pool is closed.
    fn next_endpoint(&self) -> Option<EndpointId> {
        let mut orders = self.lock();
        loop {
            if orders.is_closed {
                return None;
            }
            if let Some(id) = orders.ready.pop_front() {
                return Some(id);
            }
            orders.idle += 1;
            let woken = self.woken.wait(orders);
            orders = woken.unwrap_or_else(PoisonError::into_inner);
            orders.idle -= 1;
        }
    }
}

impl Sending {
    fn send(&self, client: &Client) -> Outcome {
        let is_start = matches!(self.order, Order::Start { .. });
        if is_start && clock::steady().saturating_sub(self.at) > STALE {
            return Outcome::Refused(Refusal::Unsent);
        }
        endpoints::order(client, &self.target, &self.order, self.epoch)
    }
}

fn start_looks(target: &Target, events: &Sender<Event>) -> std::io::Result<Looks> {
    let addr = target.addr;
    let (orders, rx) = mpsc::channel::<LookOrder>();
    let tx = events.clone();
    spawn("looks", move || {
        let client = Client::new(addr, CONNECT);
        for look in rx {
            let sent_at = clock::steady();
            let mut result = endpoints::look(&client, &look);
            if let Ok(look) = &mut result {
                look.sent_at = sent_at;
                look.answered_at = clock::steady();
            }
            if tx.send(Event::Looked(look.target, result)).is_err() {
                return;
            }
        }
    })?;
    Ok(Looks { addr, orders })
}
