//! The leader's side of relayed calls: sends them to a member that makes them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use pomelohitch_sched::endpoint::PollReply;
use pomelohitch_sched::order::{Order, Outcome, PollFailure, PollOrder, Refusal};
use pomelohitch_sched::rto::{Limits, Rto};
use pomelohitch_sched::{EndpointId, Epoch, Steady};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::{select, task, time};
use tokio_util::codec::{FramedRead, FramedWrite};
use tracing::{info, warn};

use super::listing::{Delta, Listing};
use super::message::{
    self, CallNumber, Hello, Instruction, Reader, Replies, Reply, Request, Requests, Writer,
};
use super::spec_cache::SpecCache;
use crate::fleet::calls::OutgoingOrder;
use crate::fleet::clock::{self, WaitClock};
use crate::fleet::leader::core::Event;

/// Connect timeout; a connection that takes longer isn't expected to succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The connection to a relay that sends nothing for this long is given up; relays send a frame at
/// least every 100 ms.
const MAX_SILENCE: Duration = Duration::from_millis(450);
/// Interval of the check for calls that have timed out.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Timeouts of orders, longer than those between the relay and the endpoint.
const ORDER_TIMEOUT: Limits = Limits {
    shortest: Duration::from_millis(220),
    longest: Duration::from_millis(800),
};
/// A poll times out this long, plus the timeout of an order, after the wait that the endpoint is
/// asked for.
const POLL_MARGIN: Duration = Duration::from_millis(200);

/// A call to be relayed.
#[derive(Debug)]
enum Call {
    Order(OutgoingOrder),
    Poll(PollOrder),
}

/// A call that awaits its reply.
#[derive(Debug)]
struct InFlight {
    call: Call,
    sent_at: Steady,
    /// On the session's wait clock.
    expires_at: Duration,
}

/// A command to the task that runs the connection.
#[derive(Debug)]
enum Command {
    Call(Call),
    Forget(EndpointId),
}

/// A connection to a relay.
#[derive(Debug)]
pub struct RelayConnection {
    peer: SocketAddr,
    commands: UnboundedSender<Command>,
    state: Rc<ConnectionState>,
}

/// State of a connection.
#[derive(Debug, Default)]
struct ConnectionState {
    is_open: Cell<bool>,
    /// When it ended, or the attempt to connect failed.
    ended_at: Cell<Option<Steady>>,
}

impl RelayConnection {
    /// Begins to connect to the relay at `peer`.
    #[must_use]
    pub fn start(peer: SocketAddr, epoch: Epoch, events: Sender<Event>) -> RelayConnection {
        let (commands, rx) = mpsc::unbounded_channel();
        let state = Rc::<ConnectionState>::default();
        let task_state = state.clone();
        task::spawn_local(async move {
            let session = Session::new(events);
            session.run(peer, epoch, rx, &task_state).await;
            task_state.is_open.set(false);
            task_state.ended_at.set(Some(clock::steady()));
        });
        RelayConnection {
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
    pub fn order(&self, outgoing: OutgoingOrder) -> Option<OutgoingOrder> {
        match self.commands.send(Command::Call(Call::Order(outgoing))) {
            Err(mpsc::error::SendError(Command::Call(Call::Order(outgoing)))) => Some(outgoing),
            _ => None,
        }
    }

    /// Queues a poll for sending; returns it if the connection has ended.
    #[must_use]
    pub fn poll(&self, poll: PollOrder) -> Option<PollOrder> {
        match self.commands.send(Command::Call(Call::Poll(poll))) {
            Err(mpsc::error::SendError(Command::Call(Call::Poll(poll)))) => Some(poll),
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
    in_flight: RefCell<HashMap<CallNumber, InFlight>>,
    /// Polls that timed out. Their late answers are decoded all the same, since later answers are
    /// encoded as differences from them.
    expired_polls: RefCell<HashMap<CallNumber, EndpointId>>,
    listings: RefCell<HashMap<EndpointId, Listing>>,
    rto: RefCell<Rto>,
    wait_clock: Cell<WaitClock>,
    /// On the wait clock.
    last_frame_at: Cell<Duration>,
}

impl Session {
    fn new(events: Sender<Event>) -> Session {
        Session {
            events,
            in_flight: RefCell::default(),
            expired_polls: RefCell::default(),
            listings: RefCell::default(),
            rto: RefCell::new(Rto::new(ORDER_TIMEOUT)),
            wait_clock: Cell::new(WaitClock::new(clock::steady())),
            last_frame_at: Cell::default(),
        }
    }

    /// Time that this session has waited, on its wait clock.
    fn waited(&self) -> Duration {
        self.wait_clock.get().at(clock::steady())
    }

    async fn run(
        &self,
        peer: SocketAddr,
        epoch: Epoch,
        rx: UnboundedReceiver<Command>,
        state: &ConnectionState,
    ) {
        let rx = RefCell::new(rx);
        let Some((mut reader, mut writer)) = connect(peer).await else {
            info!(%peer, "connection to relay failed");
            self.fail_all(&mut rx.borrow_mut());
            return;
        };
        if message::send(&mut writer, &Hello { epoch }).await.is_ok() {
            self.last_frame_at.set(self.waited());
            state.is_open.set(true);
            select! {
                () = self.send(&mut writer, &rx) => {}
                () = self.receive(&mut reader) => {}
                () = self.expire() => {}
            }
            state.is_open.set(false);
        }
        let lost = self.in_flight.borrow().len();
        warn!(%peer, lost, "connection to relay ended");
        self.fail_all(&mut rx.borrow_mut());
    }

    /// Sends requests; all commands that are queued at a time share a frame.
    async fn send(
        &self,
        writer: &mut Writer<OwnedWriteHalf>,
        rx: &RefCell<UnboundedReceiver<Command>>,
    ) {
        let mut outbox = Outbox::default();
        while let Some(command) = recv(rx).await {
            self.prepare(command, &mut outbox);
            while let Ok(command) = rx.borrow_mut().try_recv() {
                self.prepare(command, &mut outbox);
            }
            let requests = Requests {
                sent_at: clock::steady(),
                requests: std::mem::take(&mut outbox.requests),
            };
            if message::send(writer, &requests).await.is_err() {
                return;
            }
        }
    }

    fn prepare(&self, command: Command, outbox: &mut Outbox) {
        let call = match command {
            Command::Call(call) => call,
            Command::Forget(id) => {
                self.listings.borrow_mut().remove(&id);
                return outbox.requests.push(Request::Forget(id));
            }
        };
        outbox.number = outbox.number.wrapping_add(1);
        let number = outbox.number;
        let timeout = self.rto.borrow().timeout();
        let timeout = match &call {
            Call::Order(outgoing) => {
                if let Order::Start { spec, .. } = &outgoing.order
                    && outbox.specs.insert(spec)
                {
                    outbox.requests.push(Request::Job(spec.clone()));
                }
                let instruction = Instruction::from_order(&outgoing.order);
                let target = outgoing.target.clone();
                outbox
                    .requests
                    .push(Request::Order(number, target, instruction));
                timeout
            }
            Call::Poll(poll) => {
                outbox.requests.push(Request::Poll(number, poll.clone()));
                poll.wait + POLL_MARGIN + timeout
            }
        };
        let in_flight = InFlight {
            call,
            sent_at: clock::steady(),
            expires_at: self.waited() + timeout,
        };
        self.in_flight.borrow_mut().insert(number, in_flight);
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
            self.last_frame_at.set(self.waited());
            for reply in replies {
                self.handle(reply);
            }
        }
    }

    fn handle(&self, reply: Reply) {
        let (Reply::Ordered(number, _) | Reply::Polled(number, _)) = reply;
        let in_flight = self.in_flight.borrow_mut().remove(&number);
        let now = clock::steady();
        match reply {
            Reply::Ordered(_, reply) => {
                if let Some((Call::Order(outgoing), sent_at)) =
                    in_flight.map(|c| (c.call, c.sent_at))
                {
                    self.rto
                        .borrow_mut()
                        .add_sample(now.saturating_sub(sent_at));
                    let OutgoingOrder { target, order, .. } = outgoing;
                    self.emit(Event::Ordered(target, order, reply, sent_at));
                }
            }
            Reply::Polled(_, Ok(delta)) => {
                let Some((Call::Poll(order), sent_at)) = in_flight.map(|c| (c.call, c.sent_at))
                else {
                    self.decode_late(number, delta);
                    return;
                };
                let answer = self.decode(&order.target.id, delta);
                let answer = answer.ok_or(PollFailure::Failed);
                let answer = answer.map(|answer| PollReply {
                    sent_at,
                    answered_at: now,
                    ..answer
                });
                self.emit(Event::Polled(order.target, answer));
            }
            Reply::Polled(_, Err(failure)) => {
                self.expired_polls.borrow_mut().remove(&number);
                if let Some(Call::Poll(order)) = in_flight.map(|c| c.call) {
                    self.emit(Event::Polled(order.target, Err(failure)));
                }
            }
        }
    }

    fn decode(&self, id: &EndpointId, delta: Delta) -> Option<PollReply> {
        let mut listings = self.listings.borrow_mut();
        listings.entry(id.clone()).or_default().decode(delta)
    }

    /// Decodes the late answer to a poll that timed out, to keep the listing current.
    fn decode_late(&self, number: CallNumber, delta: Delta) {
        if let Some(id) = self.expired_polls.borrow_mut().remove(&number) {
            self.decode(&id, delta);
        }
    }

    /// Fails calls that have timed out; returns once the relay has been silent for too long.
    async fn expire(&self) {
        loop {
            time::sleep(EXPIRY_INTERVAL).await;
            let now = clock::steady();
            let mut wait_clock = self.wait_clock.get();
            wait_clock.tick(now);
            self.wait_clock.set(wait_clock);
            let waited = wait_clock.at(now);
            let mut in_flight = self.in_flight.borrow_mut();
            let expired = in_flight.extract_if(|_, c| c.expires_at <= waited);
            let expired: Vec<_> = expired.collect();
            drop(in_flight);
            for (number, InFlight { call, sent_at, .. }) in expired {
                if let Call::Poll(poll) = &call {
                    let id = poll.target.id.clone();
                    self.expired_polls.borrow_mut().insert(number, id);
                }
                self.rto
                    .borrow_mut()
                    .add_sample(now.saturating_sub(sent_at));
                self.fail(call);
            }
            let silence = waited.saturating_sub(self.last_frame_at.get());
            if silence > MAX_SILENCE {
                info!(silence_ms = silence.as_millis(), "relay is silent");
                return;
            }
        }
    }

    fn fail_all(&self, rx: &mut UnboundedReceiver<Command>) {
        rx.close();
        let in_flight = std::mem::take(&mut *self.in_flight.borrow_mut());
        for in_flight in in_flight.into_values() {
            self.fail(in_flight.call);
        }
        while let Ok(command) = rx.try_recv() {
            match command {
                Command::Call(Call::Order(OutgoingOrder { target, order, .. })) => {
                    let unsent = Outcome::Refused(Refusal::Unsent).into();
                    self.emit(Event::Ordered(target, order, unsent, clock::steady()));
                }
                Command::Call(poll) => self.fail(poll),
                Command::Forget(_) => {}
            }
        }
    }

    fn fail(&self, call: Call) {
        self.emit(match call {
            Call::Order(OutgoingOrder { target, order, .. }) => {
                Event::Ordered(target, order, Outcome::Unanswered.into(), clock::steady())
            }
            Call::Poll(poll) => Event::Polled(poll.target, Err(PollFailure::Failed)),
        });
    }

    fn emit(&self, event: Event) {
        // The receiver is closed only when the leadership has ended.
        let _ = self.events.send(event);
    }
}

/// Requests for the next frame, job specifications that the relay has, and the last call number.
#[derive(Debug, Default)]
struct Outbox {
    requests: Vec<Request>,
    specs: SpecCache,
    number: CallNumber,
}

/// Receives the next command. The receiver is borrowed by one task at a time.
async fn recv(rx: &RefCell<UnboundedReceiver<Command>>) -> Option<Command> {
    std::future::poll_fn(|cx| rx.borrow_mut().poll_recv(cx)).await
}

async fn connect(peer: SocketAddr) -> Option<(Reader<OwnedReadHalf>, Writer<OwnedWriteHalf>)> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (read, write) = stream.into_split();
    let reader = FramedRead::new(read, message::codec());
    Some((reader, FramedWrite::new(write, message::codec())))
}
