//! Calls to endpoints over connections of this process.
//!
//! All calls are made on one thread, each as a task of its own. At most a few orders are under way
//! to one endpoint, so that an order without an answer holds up neither its endpoint nor others.
//! Orders may therefore overtake each other, which endpoints allow for: a stop that comes before its
//! start rejects it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomelohitch_adapter::connections::Connections;
use pomelohitch_adapter::endpoints;
use pomelohitch_sched::endpoint::Look;
use pomelohitch_sched::order::{LookFailure, LookOrder, Order, Outcome, Refusal, Target};
use pomelohitch_sched::rto::{Limits, Rto};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::sync::Semaphore;

use super::clock;

/// A connection that isn't made by then won't be.
const CONNECT: Duration = Duration::from_millis(250);
/// A start that was decided longer ago isn't sent: the process may have been suspended since.
const STALE: Duration = Duration::from_millis(800);
/// Most orders under way to one endpoint. One or two without an answer leave the others a way.
const AT_ONCE: usize = 3;
/// Connections to an endpoint that stay open: for its orders, and for a poll.
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
#[derive(Debug, Clone)]
pub struct Sending {
    /// Where.
    pub target: Target,
    /// What.
    pub order: Order,
    /// Whose.
    pub epoch: Epoch,
    /// When it was decided.
    pub at: Steady,
}

/// What there is for one endpoint.
#[derive(Debug)]
struct Lane {
    connections: Connections,
    orders: Semaphore,
}

impl Lane {
    fn new(addr: SocketAddr) -> Lane {
        Lane {
            connections: Connections::new(addr, CONNECT, KEPT),
            orders: Semaphore::new(AT_ONCE),
        }
    }
}

/// Makes calls. Used on one thread, whose runtime has to run local tasks.
#[derive(Debug)]
pub struct Calls {
    lanes: RefCell<HashMap<EndpointId, Rc<Lane>>>,
    /// Of all endpoints: what delays answers is mostly this member's own link.
    rto: RefCell<Rto>,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls {
            lanes: RefCell::default(),
            rto: RefCell::new(Rto::new(ORDER_WITHIN)),
        }
    }
}

impl Calls {
    /// Sends an order.
    pub async fn order(&self, sending: &Sending) -> Outcome {
        let Sending {
            target,
            order,
            epoch,
            at,
        } = sending;
        let lane = self.lane(target);
        // The semaphore is never closed.
        let _turn = lane.orders.acquire().await;
        let sent_at = clock::steady();
        let is_start = matches!(order, Order::Start { .. });
        if is_start && sent_at.saturating_sub(*at) > STALE {
            return Outcome::Refused(Refusal::Unsent);
        }
        let within = self.rto.borrow().timeout();
        let outcome = endpoints::order(&lane.connections, target, order, *epoch, within).await;
        let took = clock::steady().saturating_sub(sent_at);
        self.rto.borrow_mut().took(took);
        outcome
    }

    /// Polls an endpoint.
    ///
    /// # Errors
    /// If there is no answer of that endpoint, or none that can be read.
    pub async fn look(&self, order: &LookOrder) -> Result<Look, LookFailure> {
        let lane = self.lane(&order.target);
        let timeout = self.rto.borrow().timeout();
        let late = timeout.saturating_sub(ORDER_WITHIN.shortest);
        let sent_at = clock::steady();
        let mut look = endpoints::look(&lane.connections, order, LOOK_MARGIN + late).await?;
        look.sent_at = sent_at;
        look.answered_at = clock::steady();
        Ok(look)
    }

    /// Closes connections to an endpoint.
    pub fn forget(&self, id: &EndpointId) {
        self.lanes.borrow_mut().remove(id);
    }

    fn lane(&self, target: &Target) -> Rc<Lane> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes
            .entry(target.id.clone())
            .or_insert_with(|| Rc::new(Lane::new(target.addr)));
        if lane.connections.peer() != target.addr {
            *lane = Rc::new(Lane::new(target.addr));
        }
        lane.clone()
    }
}
