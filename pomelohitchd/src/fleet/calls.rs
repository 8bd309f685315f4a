//! Calls to endpoints over connections of this process.
//!
//! All calls are made on one thread, each in its own task. A few orders to one endpoint may be in
//! flight at the same time, so that an unanswered order blocks neither its endpoint nor others.
//! Orders may therefore overtake each other, which endpoints handle: after a stop, the start of the
//! same run is rejected.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pomelohitch_adapter::connections::Connections;
use pomelohitch_adapter::endpoints;
use pomelohitch_sched::endpoint::PollReply;
use pomelohitch_sched::order::{
    Order, OrderReply, Outcome, PollFailure, PollOrder, Refusal, Target,
};
use pomelohitch_sched::rto::{Limits, Rto};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::sync::{Notify, Semaphore};

use super::clock;

/// Connect timeout; a connection that takes longer isn't expected to succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Starts that were decided longer ago aren't sent: the process may have been suspended since.
const MAX_START_AGE: Duration = Duration::from_millis(800);
/// Most orders in flight to one endpoint. With one or two unanswered, others can still be sent.
const MAX_CONCURRENT_ORDERS: usize = 3;
/// Connections to an endpoint that are kept open: for its orders, and one for a poll.
const KEPT_CONNECTIONS: usize = MAX_CONCURRENT_ORDERS + 1;
/// A poll times out this long after the wait that the endpoint is asked for, while answers are
/// prompt. While they are slow, the margin grows with the timeout of orders.
const POLL_MARGIN: Duration = Duration::from_millis(250);
/// Timeouts of orders. Endpoints answer within a few milliseconds; the result of an unanswered
/// order shows in a later poll.
const ORDER_TIMEOUT: Limits = Limits {
    shortest: Duration::from_millis(150),
    longest: Duration::from_millis(600),
};

/// An order to be sent.
#[derive(Debug, Clone)]
pub struct OutgoingOrder {
    /// The endpoint that it is for.
    pub target: Target,
    /// The order itself.
    pub order: Order,
    /// Epoch of the leader that decided it.
    pub epoch: Epoch,
    /// When it was decided.
    pub decided_at: Steady,
}

/// Connections to one endpoint, and the limit of concurrent orders to it.
#[derive(Debug)]
struct EndpointClient {
    /// Incarnation of the endpoint that it was opened for.
    born: u64,
    connections: Connections,
    /// Closed once the endpoint is forgotten.
    order_permits: Semaphore,
    /// Ends the calls that are in flight when the endpoint is forgotten.
    forgotten: Notify,
}

impl EndpointClient {
    fn new(target: &Target) -> EndpointClient {
        EndpointClient {
            born: target.born,
            connections: Connections::new(target.addr, CONNECT_TIMEOUT, KEPT_CONNECTIONS),
            order_permits: Semaphore::new(MAX_CONCURRENT_ORDERS),
            forgotten: Notify::new(),
        }
    }

    /// Abandons all calls.
    fn close(&self) {
        self.order_permits.close();
        self.forgotten.notify_waiters();
    }
}

/// Makes calls to endpoints, on a single thread whose runtime must support local tasks.
#[derive(Debug)]
pub struct Calls {
    clients: RefCell<HashMap<EndpointId, Rc<EndpointClient>>>,
    /// Shared by all endpoints, since answers are mostly delayed by this member's own link.
    rto: RefCell<Rto>,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls {
            clients: RefCell::default(),
            rto: RefCell::new(Rto::new(ORDER_TIMEOUT)),
        }
    }
}

impl Calls {
    /// Sends an order and waits for its result.
    pub async fn order(&self, outgoing: &OutgoingOrder) -> OrderReply {
        let OutgoingOrder {
            target,
            order,
            epoch,
            decided_at,
        } = outgoing;
        let client = self.client(target);
        let _permit = client.order_permits.acquire().await;
        if client.order_permits.is_closed() {
            return Outcome::Refused(Refusal::Unsent).into();
        }
        let sent_at = clock::steady();
        let is_start = matches!(order, Order::Start { .. });
        if is_start && sent_at.saturating_sub(*decided_at) > MAX_START_AGE {
            return Outcome::Refused(Refusal::Unsent).into();
        }
        let timeout = self.rto.borrow().timeout();
        let answer = endpoints::order(&client.connections, target, order, *epoch, timeout);
        let reply = tokio::select! {
            reply = answer => reply,
            () = client.forgotten.notified() => return Outcome::Unanswered.into(),
        };
        let took = clock::steady().saturating_sub(sent_at);
        self.rto.borrow_mut().add_sample(took);
        reply
    }

    /// Polls an endpoint.
    ///
    /// # Errors
    /// If that endpoint doesn't answer in time, or its answer can't be read.
    pub async fn poll(&self, order: &PollOrder) -> Result<PollReply, PollFailure> {
        let client = self.client(&order.target);
        let timeout = self.rto.borrow().timeout();
        let extra = timeout.saturating_sub(ORDER_TIMEOUT.shortest);
        let sent_at = clock::steady();
        let answer = endpoints::poll(&client.connections, order, POLL_MARGIN + extra);
        let mut reply = tokio::select! {
            reply = answer => reply?,
            () = client.forgotten.notified() => return Err(PollFailure::Failed),
        };
        reply.sent_at = sent_at;
        reply.answered_at = clock::steady();
        Ok(reply)
    }

    /// Abandons the calls to an endpoint and closes the connections to it.
    pub fn forget(&self, id: &EndpointId) {
        if let Some(client) = self.clients.borrow_mut().remove(id) {
            client.close();
        }
    }

    /// The client for calls to `target`. A call to another address of a former incarnation gets one of
    /// its own, so that it doesn't end the calls to the present one.
    fn client(&self, target: &Target) -> Rc<EndpointClient> {
        let mut clients = self.clients.borrow_mut();
        let client = clients
            .entry(target.id.clone())
            .or_insert_with(|| Rc::new(EndpointClient::new(target)));
        if client.connections.peer() == target.addr {
            return client.clone();
        }
        let other = Rc::new(EndpointClient::new(target));
        if target.born >= client.born {
            client.close();
            *client = other.clone();
        }
        other
    }
}
