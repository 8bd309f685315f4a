//! An endpoint's runner, with a ledger of the requests that it ran.
//!
//! The header `Test-Request` has the caller's own id of a request. The ledger counts by this id, so
//! that doubled and lost requests are found without relying on the daemon under test. The header
//! `Test-Run-Ms` sets the run time of the request, `Test-Answer-Bytes` the minimum length of the
//! answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::faults;
use crate::server::{self, Answer, Request, Response, Server};

/// How a runner treats requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It runs and answers them.
    #[default]
    Work,
    /// It accepts connections but doesn't progress; requests that arrive meanwhile run afterwards.
    Freeze,
    /// It refuses them with `503` and `Request-Ran: no`.
    Refuse,
    /// It runs them and truncates the bodies of the answers.
    CutBody,
    /// It doesn't run them, and their connections stay open without an answer.
    SilentBeforeRun,
    /// It runs them, and their connections stay open without an answer.
    SilentAfterRun,
}

/// Faults of a runner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How it treats requests.
    pub mode: Mode,
    /// Added to the run time of every request.
    #[serde(rename = "delay_ms", with = "pomelohitch_core::millis")]
    pub delay: Duration,
    /// Whether connections that are open now get no answers any more; later ones work.
    pub silence_open: bool,
}

/// Settings of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of concurrent requests; further ones are refused with `Request-Ran: no`.
    pub slots: usize,
    /// Maximum number of open connections.
    pub connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            slots: 8,
            connections: 64,
        }
    }
}

/// Runs of one request of a caller, as a runner counted them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of starts.
    pub started: u64,
    /// Number of finished runs.
    pub finished: u64,
    /// Time of the last start, milliseconds since the Unix epoch.
    pub last_start_ms: u64,
}

/// Counts of a runner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of requests that run now.
    pub running: usize,
    /// Maximum number of requests that ran at the same time.
    pub most_running: usize,
    /// Number of requests that were refused with `Request-Ran: no`.
    pub refused: u64,
    /// Runs of each request that was started, by the caller's id of the request.
    pub runs: BTreeMap<Box<str>, Runs>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    ledger: Ledger,
    /// Connections with a lower number get no answers.
    silent_below: u64,
    /// One more than the highest number of a connection that sent a request.
    next_connection: u64,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    thawed: Condvar,
    slots: usize,
}

/// A started runner; dropping it closes its ports and connections.
#[derive(Debug)]
pub struct Runner {
    server: Server,
    control: Server,
    inner: Arc<Inner>,
}

impl Runner {
    /// Starts a runner.
    #[must_use]
    pub fn start(options: &Options) -> Runner {
        let inner = Arc::new(Inner {
            slots: options.slots,
            ..Inner::default()
        });
        let request_inner = inner.clone();
        let server = Server::start(
            &server::Options {
                connections: options.connections,
            },
            Box::new(move |req| request_inner.answer(req)),
        );
        let (control_inner, ledger_inner) = (inner.clone(), inner.clone());
        let control = faults::start_control(
            move |faults| control_inner.set_faults(faults),
            move || ledger_inner.lock().ledger.clone(),
        );
        Runner {
            server,
            control,
            inner,
        }
    }

    /// Address for requests.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// URL of the control address.
    #[must_use]
    pub fn control_url(&self) -> String {
        self.control.url()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.set_faults(faults);
    }

    /// The counts up to now.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.inner.lock().ledger.clone()
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }
}

/// The body that a runner answers to the request `id` with `body`, padded to `min_len` bytes.
#[must_use]
pub fn answer_body(id: &str, body: &[u8], min_len: usize) -> Vec<u8> {
    let mut answer = format!("{id}\n").into_bytes();
    answer.extend(body);
    let pattern = id.bytes().chain([b'.']).cycle();
    let missing = min_len.saturating_sub(answer.len());
    answer.extend(pattern.take(missing));
    answer
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.silence_open {
            state.silent_below = state.next_connection;
        }
        state.faults = faults;
        self.thawed.notify_all();
    }

    /// Waits until the runner isn't frozen, and locks its state.
    fn wait_thawed(&self) -> MutexGuard<'_, State> {
        let state = self.lock();
        let thawed = self
            .thawed
            .wait_while(state, |state| state.faults.mode == Mode::Freeze);
        thawed.unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, req: &Request) -> Answer {
        let id = req.header("test-request").unwrap_or("");
        let mut state = self.wait_thawed();
        state.next_connection = state.next_connection.max(req.connection + 1);
        if req.connection < state.silent_below || state.faults.mode == Mode::SilentBeforeRun {
            return Answer::Silent;
        }
        if state.faults.mode == Mode::Refuse || state.ledger.running >= self.slots {
            state.ledger.refused += 1;
            return refusal();
        }
        state.start(id);
        let run = state.faults.delay + header_ms(req, "test-run-ms");
        drop(state);
        std::thread::sleep(run);
        let mut state = self.wait_thawed();
        state.finish(id);
        let is_silent =
            req.connection < state.silent_below || state.faults.mode == Mode::SilentAfterRun;
        if is_silent {
            return Answer::Silent;
        }
        let response = respond(id, req);
        if state.faults.mode == Mode::CutBody {
            Answer::Cut(response)
        } else {
            Answer::Full(response)
        }
    }
}

impl State {
    fn start(&mut self, id: &str) {
        let ledger = &mut self.ledger;
        ledger.running += 1;
        ledger.most_running = ledger.most_running.max(ledger.running);
        let runs = ledger.runs.entry(id.into()).or_default();
        runs.started += 1;
        runs.last_start_ms = epoch_ms();
    }

    fn finish(&mut self, id: &str) {
        self.ledger.running -= 1;
        self.ledger.runs.entry(id.into()).or_default().finished += 1;
    }
}

fn refusal() -> Answer {
    Answer::Full(Response {
        status: 503,
        headers: vec![("Request-Ran".into(), "no".into())],
        body: b"not started".to_vec(),
    })
}

fn respond(id: &str, req: &Request) -> Response {
    let min_len = header_number(req, "test-answer-bytes");
    Response {
        status: 200,
        headers: vec![("Test-Request".into(), id.into())],
        body: answer_body(id, &req.body, usize::try_from(min_len).unwrap_or(0)),
    }
}

fn header_number(req: &Request, name: &str) -> u64 {
    let value = req.header(name).and_then(|value| value.parse().ok());
    value.unwrap_or(0)
}

fn header_ms(req: &Request, name: &str) -> Duration {
    Duration::from_millis(header_number(req, name))
}

pub(crate) fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
