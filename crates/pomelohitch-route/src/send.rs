//! Sends one attempt of a request to one runner.
//!
//! Whether a request may be reported as not run depends only on whether a byte of it was handed to
//! a connection. The transport records this; nothing is inferred from the kind of an error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::Snafu;
use ureq::http::{Method, Request};

use crate::headers::Headers;
use crate::suspension::Monitor;

pub mod patience;
mod transport;

use patience::{Patience, Wait};
use transport::Progress;

/// A request as sent to a runner.
#[derive(Debug, Clone, Default)]
pub struct Outgoing {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// End-to-end headers of the caller and those that the entry adds.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// The complete answer of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The runner's end-to-end headers.
    pub headers: Headers,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Why an attempt gave no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No byte of the request was handed to a connection, so it certainly did not run.
    #[snafu(display("connect: {reason}"))]
    Unsent {
        /// Error message of the HTTP client.
        reason: Box<str>,
    },
    /// The gate refused the request right before its first byte, so it certainly did not run.
    #[snafu(display("withheld: the request may not be sent any more"))]
    Withheld,
    /// The runner reported that it did not start the request.
    #[snafu(display("the runner didn't start the request"))]
    NotStarted,
    /// No complete answer arrived within the timeout, or before the attempt was abandoned.
    #[snafu(display("no whole answer within {} ms", timeout.as_millis()))]
    Late {
        /// Timeout of the attempt.
        timeout: Duration,
    },
    /// The answer was lost, truncated or unreadable.
    #[snafu(display("receive: {reason}"))]
    Lost {
        /// Error message of the HTTP client.
        reason: Box<str>,
    },
}

impl Error {
    /// Whether the request certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Error::Unsent { .. } | Error::Withheld | Error::NotStarted
        )
    }
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Called right before the first byte of a request is handed to a connection; the request is
/// withheld if it returns false.
///
/// Connecting takes time, and the process may be suspended meanwhile, so that what allowed the
/// request before may not hold any more.
pub type Gate = Box<dyn FnOnce() -> bool>;

/// Which connections an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// A new connection. Establishing it shows that the runner is reachable.
    New,
    /// An idle connection if one is pooled, otherwise a new one.
    Reused,
}

/// Timeouts and sizes that apply to attempts.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections kept per runner.
    ///
    /// A runner accepts 64 connections and runs 8 requests at once. With 16 entry instances, twice
    /// the present number, three idle connections each leave enough for those in use.
    pub max_idle_per_runner: usize,
    /// Time after which an idle connection is closed. The longer a connection is idle, the more
    /// likely a middlebox such as a firewall has dropped its state.
    pub max_idle_age: Duration,
    /// Maximum size of an answer body in bytes.
    pub max_answer_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            connect_timeout: Duration::from_millis(500),
            max_idle_per_runner: 3,
            max_idle_age: Duration::from_secs(2),
            max_answer_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Sends requests to runners.
#[derive(Debug, Clone)]
pub struct Sender {
    pooled: ureq::Agent,
    unpooled: ureq::Agent,
    options: Options,
    suspensions: Arc<Monitor>,
}

/// The header by which a runner says that it didn't start a request.
const RAN_HEADER: &str = "Request-Ran";

impl Sender {
    /// Creates a sender with `options`. `suspensions` counts those of this process.
    #[must_use]
    pub fn new(options: Options, suspensions: Arc<Monitor>) -> Sender {
        Sender {
            pooled: agent(&options, options.max_idle_per_runner),
            unpooled: agent(&options, 0),
            options,
            suspensions,
        }
    }

    /// Sends `req` to the runner at `addr` if `gate` allows it, and waits with `patience` for the
    /// complete answer.
    ///
    /// # Errors
    /// If no complete answer arrives; [`Error::is_not_run`] says whether the request may have run.
    pub fn send(
        &self,
        addr: SocketAddr,
        req: &Outgoing,
        connection: Connection,
        patience: Patience,
        gate: Gate,
    ) -> Result<Answer> {
        let agent = match connection {
            Connection::New => &self.unpooled,
            Connection::Reused => &self.pooled,
        };
        let Some(built) = build(addr, req) else {
            let reason = "the request can't be passed on".into();
            return UnsentSnafu::<Box<str>> { reason }.fail();
        };
        let timeout = patience.timeout;
        let connect_timeout = self.options.connect_timeout.min(timeout);
        let wait = Wait::new(patience, self.suspensions.clone(), Instant::now());
        transport::begin_call(wait, gate);
        let configured = agent
            .configure_request(built)
            .timeout_connect(Some(connect_timeout))
            .build();
        let mut answer = agent
            .run(configured)
            .map_err(|error| classify_error(&error, timeout))?;
        let body = answer
            .body_mut()
            .with_config()
            .limit(self.options.max_answer_bytes)
            .read_to_vec()
            .map_err(|error| classify_error(&error, timeout))?;
        let answer = Answer {
            status: answer.status().as_u16(),
            headers: headers_of(&answer),
            body,
        };
        if !states_length(&req.method, &answer) {
            let reason = "the length of the answer isn't stated".into();
            return LostSnafu::<Box<str>> { reason }.fail();
        }
        let says_not_run = answer.status == 503 && answer.headers.get(RAN_HEADER) == Some("no");
        if says_not_run {
            return NotStartedSnafu.fail();
        }
        Ok(Answer {
            headers: answer.headers.end_to_end(),
            ..answer
        })
    }
}

fn agent(options: &Options, max_idle: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .max_idle_connections(if max_idle == 0 { 0 } else { 1000 })
        .max_idle_connections_per_host(max_idle)
        .max_idle_age(options.max_idle_age)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build();
    transport::agent(config)
}

fn build(addr: SocketAddr, req: &Outgoing) -> Option<Request<Vec<u8>>> {
    let method = Method::from_bytes(req.method.as_bytes()).ok()?;
    let uri = format!("http://{addr}{}", req.target);
    let mut builder = Request::builder().method(method).uri(uri);
    for (name, value) in req.headers.iter() {
        builder = builder.header(name, value);
    }
    builder.body(req.body.clone()).ok()
}

/// Whether the answer states its length, so that truncation can be detected.
///
/// Without a stated length, an answer ends when its connection closes, and one truncated by a crash
/// would be forwarded to the caller as complete.
fn states_length(method: &str, answer: &Answer) -> bool {
    let has_no_body = method == "HEAD" || matches!(answer.status, 204 | 304);
    has_no_body
        || answer.headers.get("Content-Length").is_some()
        || answer.headers.has_token("Transfer-Encoding", "chunked")
}

fn headers_of(answer: &ureq::http::Response<ureq::Body>) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in answer.headers() {
        // The caller-facing side only handles text values; others are dropped.
        if let Ok(value) = value.to_str() {
            headers.add(name.as_str(), value);
        }
    }
    headers
}

/// Classifies an error of the HTTP client. `Unsent` requires that no byte of the request reached
/// the transport: a broken connection, a timeout or an unreadable answer may all occur after the
/// runner started the request.
fn classify_error(error: &ureq::Error, timeout: Duration) -> Error {
    let reason = error.to_string().into();
    match (transport::progress(), error) {
        (Progress::Unsent, _) => Error::Unsent { reason },
        (Progress::Withheld, _) => Error::Withheld,
        (Progress::Started, ureq::Error::Timeout(_)) => Error::Late { timeout },
        (Progress::Started, _) => Error::Lost { reason },
    }
}
