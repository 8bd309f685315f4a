//! The processes of the fleet. Dropping the handles kills them, also when the program panics.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use pomelohitch_core::key;
use pomelohitch_standin::config::{POOL, SERVICE, TEAMS};
use pomelohitch_standin::daemon::{self, Daemon};
use pomelohitch_standin::runner::{Faults, Ledger};
use serde::de::DeserializeOwned;

/// Number of entry instances.
const ENTRY_COUNT: usize = 3;
/// Number of runners of the service.
const RUNNER_COUNT: usize = 6;
/// Time limit for the fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a call to the stand-ins.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Polling interval of waiting loops.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// URLs of a stand-in.
#[derive(Debug, Clone)]
pub struct Address {
    /// URL of the service that it stands in for.
    pub url: Box<str>,
    /// URL of its control address, for faults and ledger.
    pub control: Box<str>,
}

/// A process with one or more stand-ins.
#[derive(Debug)]
struct Standins {
    child: Child,
    addresses: Vec<Address>,
}

/// All processes of the fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The entry instances.
    pub entries: Vec<Daemon>,
    /// Directory of the built binaries.
    pub bin_dir: PathBuf,
    /// Directory of the entry instances' logs.
    pub log_dir: PathBuf,
    log: Standins,
    runners: Standins,
    instances: Standins,
    workers: Standins,
    started: usize,
}

impl Fleet {
    /// Starts all processes and publishes the fleet files.
    #[must_use]
    pub fn start(bin_dir: &Path) -> Fleet {
        let log_dir = bin_dir.join("local-fleet");
        std::fs::create_dir_all(&log_dir).expect("the build directory can be written");
        let log = Standins::start(bin_dir, &["log".into()], 1);
        let count = RUNNER_COUNT.to_string();
        let runners = ["runners".into(), "--count".into(), count];
        let runners = Standins::start(bin_dir, &runners, RUNNER_COUNT);
        let mut args = vec!["instances".to_owned()];
        for (index, runner) in runners.addresses.iter().enumerate() {
            let (addr, control) = (host(&runner.url), host(&runner.control));
            let (zone, rack) = (index % 3, index / 2);
            args.push("--instance".to_owned());
            args.push(format!(
                "runner-{index},{POOL},zone-{zone},rack-{rack},{addr},{control}"
            ));
        }
        let mut fleet = Fleet {
            entries: Vec::new(),
            instances: Standins::start(bin_dir, &args, 1),
            workers: Standins::start(bin_dir, &["workers".into()], 1),
            bin_dir: bin_dir.to_owned(),
            log_dir,
            log,
            runners,
            started: 0,
        };
        for _ in 0..ENTRY_COUNT {
            fleet.start_entry();
        }
        fleet.publish();
        fleet
    }

    /// Starts one more entry instance.
    pub fn start_entry(&mut self) {
        let member = format!("entry-{}", self.started);
        self.started += 1;
        let log = File::create(self.log_dir.join(format!("{member}.log")));
        let options = daemon::Options {
            member: &member,
            log_url: &self.log.addresses[0].url,
            instances_url: &self.instances.addresses[0].url,
            workers_url: &self.workers.addresses[0].url,
            flags: &[],
        };
        let program = self.bin_dir.join("pomelohitchd");
        let log = log.expect("the log directory was made");
        self.entries.push(Daemon::start(&program, &options, log));
    }

    /// Checks and publishes the fleet files as operators do. The log is new and empty, so the lock file
    /// of an earlier run is removed.
    fn publish(&self) {
        let tree = self.log_dir.join("tree");
        if let Err(error) = std::fs::remove_dir_all(&tree) {
            assert!(error.kind() == std::io::ErrorKind::NotFound, "{error}");
        }
        for (dir, text) in files() {
            let dir = tree.join(dir);
            std::fs::create_dir_all(&dir).expect("the build directory can be written");
            std::fs::write(dir.join("pomelohitch.toml"), text).expect("the directory was created");
        }
        let tree = tree.to_str().expect("the build directory's path is UTF-8");
        for command in ["check", "publish"] {
            let code = self.run_command(&[command, tree]);
            assert!(code == Some(0), "pomelohitch {command} exits with {code:?}");
        }
    }

    /// Runs `pomelohitch` as an operator would, and returns its exit code.
    fn run_command(&self, args: &[&str]) -> Option<i32> {
        let mut command = Command::new(self.bin_dir.join("pomelohitch"));
        command.args(["--log-url", &self.log.addresses[0].url]);
        // Scripts read the addresses from our stdout, so the command's output goes to stderr.
        let status = command.args(args).stdout(std::io::stderr()).status();
        status.expect("the command line was built").code()
    }

    /// Output of `pomelohitch` with `args`, which queries the entry instances.
    #[must_use]
    pub fn query(&self, args: &[&str]) -> String {
        let admins = self.entries.iter().map(|e| format!("http://{}", e.admin));
        let admins: Vec<String> = admins.collect();
        let output = Command::new(self.bin_dir.join("pomelohitch"))
            .args(["--log-url", &self.log.addresses[0].url])
            .args(["--admin-url", &admins.join(",")])
            .env("POMELOHITCH_ADMIN_KEY", daemon::ADMIN_KEY)
            .args(args)
            .stderr(Stdio::inherit())
            .output()
            .expect("the command line was built");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until every entry instance is ready and knows every runner; false after a time-out or
    /// once `stop` is set.
    #[must_use]
    pub fn wait_ready(&self, stop: &AtomicBool) -> bool {
        let start = Instant::now();
        let is_ready = |entry: &Daemon| {
            let state = entry.state();
            let knows_runners =
                state.is_some_and(|state| state.fleet.instances.len() == RUNNER_COUNT);
            knows_runners && entry.is_ready()
        };
        while !stop.load(Ordering::Acquire) && start.elapsed() < START_TIMEOUT {
            if self.entries.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Addresses of the ready entry instances, by the same check that a load balancer makes.
    #[must_use]
    pub fn ready_entries(&self) -> Vec<SocketAddr> {
        let ready = self.entries.iter().filter(|entry| entry.is_ready());
        ready.map(|entry| entry.callers).collect()
    }

    /// Prints the addresses, keys and service needed to send requests and to operate the fleet.
    pub fn print_addresses(&self) {
        for entry in &self.entries {
            println!("entry http://{}", entry.callers);
        }
        for entry in &self.entries {
            println!("admin http://{}", entry.admin);
        }
        for (team, key) in TEAMS {
            println!("key {team} {key}");
        }
        println!("service {SERVICE}");
        println!("ready");
    }

    /// Replaces the faults of one runner.
    pub fn set_runner_faults(&self, index: usize, faults: &Faults) {
        let url = format!("{}/faults", self.runners.addresses[index].control);
        let body = serde_json::to_vec(faults).expect("faults serialize as JSON");
        agent()
            .post(url)
            .send(&body)
            .expect("the runner's control address answers");
    }

    /// The ledger of every runner.
    #[must_use]
    pub fn runner_ledgers(&self) -> Vec<Ledger> {
        self.runners.addresses.iter().map(ledger).collect()
    }

    /// The ledger of the workers.
    #[must_use]
    pub fn worker_ledger(&self) -> pomelohitch_standin::workers::Ledger {
        ledger(&self.workers.addresses[0])
    }
}

impl Standins {
    fn start(bin_dir: &Path, args: &[String], count: usize) -> Standins {
        let mut child = Command::new(bin_dir.join("examples/standin"))
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-ins were built");
        let out = child.stdout.take().expect("its output is a pipe");
        let lines = BufReader::new(out).lines().take(count);
        let addresses = lines.map(|line| address(&line.unwrap_or_default()));
        let addresses = addresses.collect();
        Standins { child, addresses }
    }
}

impl Drop for Standins {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The fleet files by directory: one for teams and shared pools, one for the service and its pool.
fn files() -> [(&'static str, String); 2] {
    let teams = TEAMS.map(|(team, shown)| {
        let hash = key::hash(shown);
        format!("[team.{team}]\nshare = 1\nlimit = 1000\nkeys = [\"{hash}\"]\n\n")
    });
    let shared = format!(
        "{}[pool.staff-tools]\nspare = true\n\n[pool.batch]\n",
        teams.concat()
    );
    let service = format!(
        "[pool.{POOL}]\n\n[service.{SERVICE}]\npool = \"{POOL}\"\nmin_available = 1\n\
         timeout_ms = 5000\nlongest_run_ms = 5000\n\n\
         [service.{SERVICE}.objective]\nwithin_ms = 500\ngood_percent = 99.0\nwindow_days = 28\n"
    );
    [("shared", shared), (SERVICE, service)]
}

fn address(line: &str) -> Address {
    match line.split_whitespace().collect::<Vec<_>>()[..] {
        ["listening", _, url, "control", control] => Address {
            url: url.into(),
            control: control.into(),
        },
        _ => panic!("a stand-in printed no address: {line:?}"),
    }
}

fn host(url: &str) -> &str {
    url.strip_prefix("http://").unwrap_or(url)
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(CALL_TIMEOUT));
    config.build().new_agent()
}

fn ledger<T: DeserializeOwned>(address: &Address) -> T {
    let answer = agent().get(format!("{}/ledger", address.control)).call();
    let mut answer = answer.expect("the stand-in's control address answers");
    let reader = answer.body_mut().with_config().limit(u64::MAX).reader();
    serde_json::from_reader(reader).expect("a ledger is JSON")
}
