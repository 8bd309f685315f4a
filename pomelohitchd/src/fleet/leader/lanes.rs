//! Calls endpoints, in order for each.
//!
//! Each endpoint has two threads: one for orders, which go out in the order in which they were
//! decided, and one for looks, which wait at the endpoint for something to end. An endpoint that
//! doesn't answer holds up only its own.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
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

#[derive(Debug)]
struct Lane {
    addr: SocketAddr,
    orders: Sender<(Target, Order, Epoch, Steady)>,
    looks: Sender<LookOrder>,
}

/// The threads of all endpoints. They end when this is dropped.
#[derive(Debug)]
pub struct Lanes {
    lanes: HashMap<EndpointId, Lane>,
    events: Sender<Event>,
}

impl Lanes {
    /// No threads yet.
    #[must_use]
    pub fn new(events: Sender<Event>) -> Lanes {
        Lanes {
            lanes: HashMap::new(),
            events,
        }
    }

    /// Sends an order that was decided at `at`.
    pub fn order(&mut self, target: Target, order: Order, epoch: Epoch, at: Steady) {
        let sent = match self.lane(&target) {
            Some(lane) => lane.orders.send((target, order, epoch, at)),
            None => Err(mpsc::SendError((target, order, epoch, at))),
        };
        if let Err(mpsc::SendError((target, order, _, _))) = sent {
            let unsent = Outcome::Refused(Refusal::Unsent);
            let _ = self.events.send(Event::Ordered(target, order, unsent));
        }
    }

    /// Looks at an endpoint.
    pub fn look(&mut self, look: LookOrder) {
        let target = look.target.clone();
        let sent = self.lane(&target).map(|lane| lane.looks.send(look));
        if !matches!(sent, Some(Ok(()))) {
            let failed = Err(LookFailure::Failed);
            let _ = self.events.send(Event::Looked(target, failed));
        }
    }

    /// Ends the threads of endpoints that aren't known any more.
    pub fn prune(&mut self, known: &BTreeMap<EndpointId, Endpoint>) {
        if self.lanes.len() > known.len() {
            self.lanes.retain(|id, _| known.contains_key(id));
        }
    }

    fn lane(&mut self, target: &Target) -> Option<&Lane> {
        let is_there = self
            .lanes
            .get(&target.id)
            .is_some_and(|l| l.addr == target.addr);
        if !is_there {
            match start(target, &self.events) {
                Ok(lane) => {
                    self.lanes.insert(target.id.clone(), lane);
                }
                Err(error) => {
                    warn!(%error, endpoint = %target.id, "threads of an endpoint can't be started");
                    return None;
                }
            }
        }
        self.lanes.get(&target.id)
    }
}

fn start(target: &Target, events: &Sender<Event>) -> std::io::Result<Lane> {
    let addr = target.addr;
    let (orders, order_rx) = mpsc::channel();
    let (looks, look_rx) = mpsc::channel::<LookOrder>();
    let tx = events.clone();
    spawn("orders", move || {
        let client = Client::new(addr, CONNECT);
        for (target, order, epoch, at) in order_rx {
            let outcome = send(&client, &target, &order, epoch, at);
            if tx.send(Event::Ordered(target, order, outcome)).is_err() {
                return;
            }
        }
    })?;
    let tx = events.clone();
    spawn("looks", move || {
        let client = Client::new(addr, CONNECT);
        for look in look_rx {
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
    Ok(Lane {
        addr,
        orders,
        looks,
    })
}

fn send(client: &Client, target: &Target, order: &Order, epoch: Epoch, at: Steady) -> Outcome {
    let is_start = matches!(order, Order::Start { .. });
    if is_start && clock::steady().saturating_sub(at) > STALE {
        return Outcome::Refused(Refusal::Unsent);
    }
    endpoints::order(client, target, order, epoch)
}
