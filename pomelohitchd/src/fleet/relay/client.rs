//! The leader's side of relayed calls: sends them to a member that makes them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_sched::endpoint::Look;
use pomelohitch_sched::order::{LookFailure, LookOrder, Order, Outcome, Refusal};
use pomelohitch_sched::rto::{Limits, Rto};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::{select, task, time};
use tokio_util::codec::{FramedRead, FramedWrite};
use tracing::{info, warn};

use super::jobs::Jobs;
use super::listing::{Delta, Listing};
use super::message::{
    self, CallNumber, Hello, Instruction, Reader, Replies, Reply, Request, Requests, Writer,
};
use crate::fleet::calls::Sending;
use crate::fleet::clock;
use crate::fleet::leader::core::Event;

/// Connect timeout; a connection that takes longer isn't expected to succeed.
const CONNECT: Duration = Duration::from_millis(250);
/// The connection to a relay that sends nothing for this long is given up; relays send a frame at
/// least every 100 ms.
const SILENCE: Duration = Duration::from_millis(450);
/// Interval of the check for calls that have timed out.
const TICK: Duration = Duration::from_millis(50);
/// Timeouts of orders, longer than those between the relay and the endpoint.
const ORDER_WITHIN: Limits = Limits {
    shortest: Duration::from_millis(220),
    longest: Duration::from_millis(800),
};
/// Timeout of a poll beyond the time that the endpoint may wait, in addition to the timeout of an
/// order.
const LOOK_MARGIN: Duration = Duration::from_millis(200);

/// A call to be relayed.
#[derive(Debug)]
enum Pending {
    Order(Sending),
    Look(LookOrder),
}

/// A call that awaits its reply.
#[derive(Debug)]
struct Waiting {
    call: Pending,
    sent_at: Steady,
    expires_at: Steady,
}

/// A command to the task that runs the connection.
#[derive(Debug)]
enum Command {
    Call(Pending),
    Forget(EndpointId),
}

/// A connection to a relay.
#[derive(Debug)]
pub struct Link {
    peer: SocketAddr,
    commands: UnboundedSender<Command>,
    state: Rc<State>,
}

/// State of a connection.
#[derive(Debug, Default)]
struct State {
    is_open: Cell<bool>,
    /// When it ended, or the attempt to connect failed.
    ended_at: Cell<Option<Steady>>,
}

impl Link {
    /// Begins to connect to the relay at `peer`.
    #[must_use]
    pub fn start(peer: SocketAddr, epoch: Epoch, events: Sender<Event>) -> Link {
        let (commands, rx) = mpsc::unbounded_channel();
        let state = Rc::<State>::default();
        let running = state.clone();
        task::spawn_local(async move {
            let session = Session::new(events);
            session.run(peer, epoch, rx, &running).await;
            running.is_open.set(false);
            running.ended_at.set(Some(clock::steady()));
        });
        Link {
            peer,
            commands,
            state,
        }
    }

    /// Address of the relay.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection accepts calls.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.is_open.get()
    }

    /// When it ended, if it has.
    #[must_use]
    pub fn ended_at(&self) -> Option<Steady> {
        self.state.ended_at.get()
    }

    /// Queues an order for sending; returns it if the connection has ended.
    #[must_use]
    pub fn order(&self, sending: Sending) -> Option<Sending> {
        match self.commands.send(Command::Call(Pending::Order(sending))) {
            Err(mpsc::error::SendError(Command::Call(Pending::Order(sending)))) => Some(sending),
            _ => None,
        }
    }

    /// Queues a poll for sending; returns it if the connection has ended.
    #[must_use]
    pub fn look(&self, look: LookOrder) -> Option<LookOrder> {
        match self.commands.send(Command::Call(Pending::Look(look))) {
            Err(mpsc::error::SendError(Command::Call(Pending::Look(look)))) => Some(look),
            _ => None,
        }
    }

    /// Has the relay drop its state of an endpoint that no longer exists.
    pub fn forget(&self, id: &EndpointId) {
        // A connection that has ended keeps no state of endpoints.
        let _ = self.commands.send(Command::Forget(id.clone()));
    }
}

/// State of the calls over one connection.
struct Session {
    events: Sender<Event>,
    waiting: RefCell<HashMap<CallNumber, Waiting>>,
    /// Polls that timed out. Their late answers are decoded all the same, since later answers are
    /// encoded as differences from them.
    given_up: RefCell<HashMap<CallNumber, EndpointId>>,
    listings: RefCell<HashMap<EndpointId, Listing>>,
    rto: RefCell<Rto>,
    heard_at: Cell<Steady>,
}

impl Session {
    fn new(events: Sender<Event>) -> Session {
        Session {
            events,
            waiting: RefCell::default(),
            given_up: RefCell::default(),
            listings: RefCell::default(),
            rto: RefCell::new(Rto::new(ORDER_WITHIN)),
            heard_at: Cell::new(clock::steady()),
        }
    }

    async fn run(
        &self,
        peer: SocketAddr,
        epoch: Epoch,
        rx: UnboundedReceiver<Command>,
        state: &State,
    ) {
        let Some((mut reader, mut writer)) = connect(peer).await else {
            info!(%peer, "connection to relay failed");
            return;
        };
        let rx = RefCell::new(rx);
        if message::send(&mut writer, &Hello { epoch }).await.is_ok() {
            self.heard_at.set(clock::steady());
            state.is_open.set(true);
            select! {
                () = self.send(&mut writer, &rx) => {}
                () = self.receive(&mut reader) => {}
                () = self.expire() => {}
            }
            state.is_open.set(false);
        }
        let lost = self.waiting.borrow().len();
        warn!(%peer, lost, "connection to relay ended");
        self.fail_all(&mut rx.borrow_mut());
    }

    /// Sends commands as they come, all that are queued in one frame.
    async fn send(
        &self,
        writer: &mut Writer<OwnedWriteHalf>,
        rx: &RefCell<UnboundedReceiver<Command>>,
    ) {
        let mut outgoing = Outgoing::default();
        while let Some(command) = recv(rx).await {
            self.prepare(command, &mut outgoing);
            while let Ok(command) = rx.borrow_mut().try_recv() {
                self.prepare(command, &mut outgoing);
            }
            let requests = Requests {
                sent_at: clock::steady(),
                requests: std::mem::take(&mut outgoing.requests),
            };
            if message::send(writer, &requests).await.is_err() {
                return;
            }
        }
    }

    fn prepare(&self, command: Command, outgoing: &mut Outgoing) {
        let call = match command {
            Command::Call(call) => call,
            Command::Forget(id) => {
                self.listings.borrow_mut().remove(&id);
                return outgoing.requests.push(Request::Forget(id));
            }
        };
        outgoing.number = outgoing.number.wrapping_add(1);
        let number = outgoing.number;
        let within = self.rto.borrow().timeout();
        let within = match &call {
            Pending::Order(sending) => {
                if let Order::Start { spec, .. } = &sending.order
                    && outgoing.jobs.insert(spec)
                {
                    outgoing.requests.push(Request::Job(spec.clone()));
                }
                let instruction = Instruction::of(&sending.order);
                let target = sending.target.clone();
                outgoing
                    .requests
                    .push(Request::Order(number, target, instruction));
                within
            }
            Pending::Look(look) => {
                outgoing.requests.push(Request::Look(number, look.clone()));
                look.wait + LOOK_MARGIN + within
            }
        };
        let sent_at = clock::steady();
        let waiting = Waiting {
            call,
            sent_at,
            expires_at: sent_at + within,
        };
        self.waiting.borrow_mut().insert(number, waiting);
    }

    async fn receive(&self, reader: &mut Reader<OwnedReadHalf>) {
        loop {
            let replies: Replies = match message::receive(reader).await {
                Ok(Some(replies)) => replies,
                Ok(None) => return,
                Err(error) => {
                    info!(%error, "replies of relay can't be received");
                    return;
                }
            };
            self.heard_at.set(clock::steady());
            for reply in replies {
                self.take(reply);
            }
        }
    }

    fn take(&self, reply: Reply) {
        let (Reply::Ordered(number, _) | Reply::Looked(number, _)) = reply;
        let waiting = self.waiting.borrow_mut().remove(&number);
        let now = clock::steady();
        match reply {
            Reply::Ordered(_, outcome) => {
                if let Some((Pending::Order(sending), sent_at)) =
                    waiting.map(|w| (w.call, w.sent_at))
                {
                    self.rto.borrow_mut().took(now.saturating_sub(sent_at));
                    self.tell(Event::Ordered(sending.target, sending.order, outcome));
                }
            }
            Reply::Looked(_, Ok(delta)) => {
                let Some((Pending::Look(order), sent_at)) = waiting.map(|w| (w.call, w.sent_at))
                else {
                    self.read_late(number, delta);
                    return;
                };
                let look = self.decode(&order.target.id, delta);
                let look = look.ok_or(LookFailure::Failed);
                let look = look.map(|look| Look {
                    sent_at,
                    answered_at: now,
                    ..look
                });
                self.tell(Event::Looked(order.target, look));
            }
            Reply::Looked(_, Err(failure)) => {
                self.given_up.borrow_mut().remove(&number);
                if let Some(Pending::Look(order)) = waiting.map(|w| w.call) {
                    self.tell(Event::Looked(order.target, Err(failure)));
                }
            }
        }
    }

    fn decode(&self, id: &EndpointId, delta: Delta) -> Option<Look> {
        let mut listings = self.listings.borrow_mut();
        listings.entry(id.clone()).or_default().decode(delta)
    }

    /// Decodes the late answer to a poll that timed out, to keep the listing current.
    fn read_late(&self, number: CallNumber, delta: Delta) {
        if let Some(id) = self.given_up.borrow_mut().remove(&number) {
            self.decode(&id, delta);
        }
    }

    /// Fails calls that have timed out; returns once the relay has been silent for too long.
    async fn expire(&self) {
        loop {
            time::sleep(TICK).await;
            let now = clock::steady();
            let mut waiting = self.waiting.borrow_mut();
            let expired = waiting.extract_if(|_, w| w.expires_at <= now);
            let expired: Vec<_> = expired.collect();
            drop(waiting);
            for (number, Waiting { call, sent_at, .. }) in expired {
                if let Pending::Look(look) = &call {
                    let id = look.target.id.clone();
                    self.given_up.borrow_mut().insert(number, id);
                }
                self.rto.borrow_mut().took(now.saturating_sub(sent_at));
                self.fail(call);
            }
            if now.saturating_sub(self.heard_at.get()) > SILENCE {
                return;
            }
        }
    }

    fn fail_all(&self, rx: &mut UnboundedReceiver<Command>) {
        rx.close();
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for waiting in waiting.into_values() {
            self.fail(waiting.call);
        }
        while let Ok(command) = rx.try_recv() {
            match command {
                Command::Call(Pending::Order(Sending { target, order, .. })) => {
                    let unsent = Outcome::Refused(Refusal::Unsent);
                    self.tell(Event::Ordered(target, order, unsent));
                }
                Command::Call(look) => self.fail(look),
                Command::Forget(_) => {}
            }
        }
    }

    fn fail(&self, call: Pending) {
        self.tell(match call {
            Pending::Order(Sending { target, order, .. }) => {
                Event::Ordered(target, order, Outcome::Unanswered)
            }
            Pending::Look(look) => Event::Looked(look.target, Err(LookFailure::Failed)),
        });
    }

    fn tell(&self, event: Event) {
        // The receiver is closed only when the leadership has ended.
        let _ = self.events.send(event);
    }
}

/// Requests for the next frame, job specifications that the relay has, and the last call number.
#[derive(Debug, Default)]
struct Outgoing {
    requests: Vec<Request>,
    jobs: Jobs,
    number: CallNumber,
}

/// Receives the next command. The receiver is borrowed by one task at a time.
async fn recv(rx: &RefCell<UnboundedReceiver<Command>>) -> Option<Command> {
    std::future::poll_fn(|cx| rx.borrow_mut().poll_recv(cx)).await
}

async fn connect(peer: SocketAddr) -> Option<(Reader<OwnedReadHalf>, Writer<OwnedWriteHalf>)> {
    let stream = time::timeout(CONNECT, TcpStream::connect(peer)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (read, write) = stream.into_split();
    let reader = FramedRead::new(read, message::codec());
    Some((reader, FramedWrite::new(write, message::codec())))
}
