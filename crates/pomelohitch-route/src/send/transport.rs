//! TCP transport that records whether a request was written, and detects dead connections.
//!
//! Errors of an HTTP client do not tell whether the request was sent: a timeout may occur before
//! the connection is established, or after the runner started the request. Deriving "not run" from
//! the kind of error would sometimes be wrong, and a caller that relies on it would run the request
//! twice and be charged twice. So the first byte is recorded here before it is written, whether or
//! not the write succeeds.
//!
//! A middlebox may drop the state of a connection. Then nothing arrives any more, not even an
//! error, and a caller would wait until its own timeout. So the kernel probes connections that wait
//! for data (TCP keepalive), and closes those on which nothing is acknowledged.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Agent, Error, Timeout};

use super::Gate;
use super::patience::Wait;

thread_local! {
    /// The current call. Thread-local, since a call runs on the thread that starts it, one at a
    /// time, even on a connection that another thread made.
    static CALL: RefCell<Call> = RefCell::default();
}

/// State of a call.
#[derive(Default)]
struct Call {
    wait: Option<Wait>,
    /// Run before the first byte; `None` once it has been.
    gate: Option<Gate>,
    progress: Progress,
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Progress {
    /// No byte of it was handed to a connection.
    #[default]
    Unsent,
    /// The gate refused it, so that no byte was handed to a connection.
    Withheld,
    /// A byte of it was handed to a connection.
    Started,
}

/// A connection is closed when sent data stays unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keepalive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const PROBE_COUNT: u32 = 2;

/// Starts a call.
pub(super) fn begin_call(wait: Wait, gate: Gate) {
    CALL.set(Call {
        wait: Some(wait),
        gate: Some(gate),
        progress: Progress::Unsent,
    });
}

/// How far the current call has come.
pub(super) fn progress() -> Progress {
    CALL.with_borrow(|call| call.progress)
}

/// Passes the gate if this is the first byte of the call; `false` if the call may not be sent.
fn may_write() -> bool {
    let Some(gate) = CALL.with_borrow_mut(|call| call.gate.take()) else {
        return progress() != Progress::Withheld;
    };
    let may_write = gate();
    let progress = if may_write {
        Progress::Started
    } else {
        Progress::Withheld
    };
    CALL.with_borrow_mut(|call| call.progress = progress);
    may_write
}

/// How long the current call may wait now; `None` if it has timed out or is abandoned.
fn time_left() -> Option<Duration> {
    CALL.with_borrow_mut(|call| call.wait.as_mut()?.time_left(Instant::now()))
}

/// Creates an agent over plain TCP that uses this transport.
pub(super) fn agent(config: Config) -> Agent {
    Agent::with_parts(config, TcpConnector, DefaultResolver::default())
}

#[derive(Debug)]
struct TcpConnector;

impl<In: Transport> Connector<In> for TcpConnector {
    type Out = TcpTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<In>,
    ) -> Result<Option<TcpTransport>, Error> {
        let addr = details.addrs.first().ok_or(Error::HostNotFound)?;
        let socket = Socket::new(
            Domain::for_address(*addr),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        let limit = details
            .timeout
            .not_zero()
            .map_or(UNACKNOWLEDGED_TIMEOUT, |limit| *limit);
        match socket.connect_timeout(&(*addr).into(), limit) {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                return Err(Error::Timeout(details.timeout.reason));
            }
            Err(error) => return Err(error.into()),
        }
        enable_probes(&socket)?;
        let config = details.config;
        Ok(Some(TcpTransport {
            stream: socket.into(),
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
        }))
    }
}

fn enable_probes(socket: &Socket) -> std::io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)
}

#[derive(Debug)]
struct TcpTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Transport for TcpTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, _: NextTimeout) -> Result<(), Error> {
        let limit = time_left().ok_or(Error::Timeout(Timeout::Global))?;
        if !may_write() {
            return Err(Error::Io(ErrorKind::PermissionDenied.into()));
        }
        self.stream.set_write_timeout(Some(limit))?;
        let output = &self.buffers.output()[..amount];
        (&self.stream).write_all(output).map_err(map_timeout)
    }

    fn await_input(&mut self, _: NextTimeout) -> Result<bool, Error> {
        let amount = loop {
            let limit = time_left().ok_or(Error::Timeout(Timeout::Global))?;
            self.stream.set_read_timeout(Some(limit))?;
            let input = self.buffers.input_append_buf();
            match (&self.stream).read(input) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The call may have to wait on.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                read => break read?,
            }
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Whether an idle connection can be reused: no data and no end of stream is pending.
    fn is_open(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        if socket.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_quiet = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        is_quiet && socket.set_nonblocking(false).is_ok()
    }
}

/// Converts an I/O error of a write. One that reaches its timeout reports `WouldBlock`.
fn map_timeout(error: std::io::Error) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock => Error::Timeout(Timeout::Global),
        _ => Error::Io(error),
    }
}
