//! An entry instance's process, started from its binary, for tests and the local fleet.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pomelohitch_core::{State, key};
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;

/// Admin key of every entry instance that is started here.
pub const ADMIN_KEY: &str = "local-admin-key";
/// Polling interval of waiting loops.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a call to the admin address.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of an entry instance.
#[derive(Debug, Clone, Default)]
pub struct Options<'a> {
    /// Member id.
    pub member: &'a str,
    /// URL of the log.
    pub log_url: &'a str,
    /// URL of the service of instances.
    pub instances_url: &'a str,
    /// URL of the workers.
    pub workers_url: &'a str,
    /// Further command-line flags.
    pub flags: &'a [&'a str],
}

/// State of an entry instance, as its admin address returns it.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The fleet state that it uses.
    pub state: State,
}

/// A running entry instance; dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    /// Member id.
    pub member: Box<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for the other entry instances.
    pub peers: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts `program` and waits until it prints its addresses; its log goes to `log`.
    ///
    /// # Panics
    /// If the process can't be started or exits before it has printed its addresses.
    #[must_use]
    pub fn start(program: &Path, options: &Options<'_>, log: File) -> Daemon {
        let Options {
            member,
            log_url,
            instances_url,
            workers_url,
            flags,
        } = options;
        let hash = key::hash(ADMIN_KEY);
        let mut child = Command::new(program)
            .args(["--member", member, "--zone", "zone-0", "--log-url", log_url])
            .args([
                "--instances-url",
                instances_url,
                "--workers-url",
                workers_url,
            ])
            .args(["--admin-key-hash", &hash])
            .args(*flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the daemon's binary was built");
        let out = child.stdout.take().expect("its output is a pipe");
        let mut lines = BufReader::new(out).lines();
        let mut next = |name: &str| -> SocketAddr {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            let addr = line.strip_prefix(&format!("listening {name} "));
            let addr = addr.and_then(|addr| addr.parse().ok());
            addr.unwrap_or_else(|| panic!("{member} printed no {name} address: {line:?}"))
        };
        let callers = next("callers");
        let admin = next("admin");
        let peers = next("peers");
        Daemon {
            member: (*member).into(),
            callers,
            admin,
            peers,
            child,
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // The process may have exited already.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit; `None` if that takes longer than `timeout` or a signal ended it.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.code(),
                Ok(None) => std::thread::sleep(POLL_INTERVAL),
                Err(_) => return None,
            }
        }
        None
    }

    /// Whether its readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.get("/readyz").is_some()
    }

    /// Its status from the admin address; `None` if it doesn't answer.
    #[must_use]
    pub fn status(&self) -> Option<Status> {
        serde_json::from_slice(&self.get("/v1/admin/state")?).ok()
    }

    /// The fleet state that it uses; `None` if it doesn't answer.
    #[must_use]
    pub fn state(&self) -> Option<State> {
        Some(self.status()?.state)
    }

    /// Its metrics as Prometheus text; `None` if it doesn't answer.
    #[must_use]
    pub fn metrics(&self) -> Option<String> {
        String::from_utf8(self.get("/metrics")?).ok()
    }

    fn get(&self, path: &str) -> Option<Vec<u8>> {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(ADMIN_TIMEOUT))
            .build()
            .new_agent();
        let req = agent.get(format!("http://{}{path}", self.admin));
        let answer = req
            .header("Authorization", format!("Bearer {ADMIN_KEY}"))
            .call();
        answer.ok()?.body_mut().read_to_vec().ok()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
