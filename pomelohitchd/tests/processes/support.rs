//! A small fleet of real entry instances, and helpers that wait for conditions.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_core::record::job::Resources;
use pomelohitch_platform::instances::{Listed, ListedState};
use pomelohitch_standin::caller::{self, Call, FinishedCall, Outcome};
use pomelohitch_standin::config::{self, POOL, TEAMS};
use pomelohitch_standin::daemon::{self, Daemon};
use pomelohitch_standin::load::{self, Load};
use pomelohitch_standin::runner::{Faults, Ledger, Mode};
use pomelohitch_standin::{Instances, Log, Runner, Tally, Workers};
use pomelohitch_standin::{instances, log, runner, workers};

/// Upper limit of every wait; generous, so that a busy machine causes no failures.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which waits check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Flags for fast detection of dead members and frequent snapshots.
const FLAGS: [&str; 6] = [
    "--heartbeat-ms",
    "100",
    "--member-lease-ms",
    "1500",
    "--snapshot-ms",
    "500",
];

/// Number of workers for batch jobs.
const WORKERS: usize = 4;

/// A small fleet; dropping it ends its processes.
pub struct Fleet {
    pub entries: Vec<Daemon>,
    pub log: Log,
    pub runners: Vec<Runner>,
    pub instances: Instances,
    pub workers: Workers,
    pub client: pomelohitch_platform::Log,
    started: usize,
}

/// Waits until `check` holds.
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    wait_for(what, || check().then_some(()));
}

/// Waits until `poll` returns a value.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl Fleet {
    /// Starts `entries` entry instances and `runners` runners, and waits until all are ready.
    pub fn start(entries: usize, runners: usize) -> Fleet {
        let mut fleet = Fleet::start_empty(runners);
        config::publish(&fleet.client, config::small(), None).expect("the log is up");
        for _ in 0..entries {
            fleet.start_entry();
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts the stand-ins only.
    pub fn start_empty(runners: usize) -> Fleet {
        let log = Log::start(&log::Options::default());
        let runners: Vec<Runner> = (0..runners)
            .map(|_| Runner::start(&runner::Options::default()))
            .collect();
        let listed = runners.iter().enumerate();
        let listed = listed
            .map(|(index, runner)| instance(index, runner))
            .collect();
        let instances = Instances::start(&instances::Options {
            instances: listed,
            ..instances::Options::default()
        });
        let client = pomelohitch_platform::Log::http(&log.url(), WAIT_TIMEOUT);
        Fleet {
            entries: Vec::new(),
            log,
            runners,
            instances,
            workers: Workers::start(&workers::Options {
                workers: (0..WORKERS).map(worker).collect(),
                ..workers::Options::default()
            }),
            client,
            started: 0,
        }
    }

    /// Starts one more entry instance, without waiting for it.
    pub fn start_entry(&mut self) {
        let member = format!("entry-{}", self.started);
        self.started += 1;
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = format!("{}-{member}.log", self.log.url().replace([':', '/'], "-"));
        let log =
            std::fs::File::create(dir.join(name)).expect("the directory for test output exists");
        let options = daemon::Options {
            member: &member,
            log_url: &self.log.url(),
            instances_url: &self.instances.url(),
            workers_url: &self.workers.url(),
            flags: &FLAGS,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_pomelohitchd"));
        self.entries.push(Daemon::start(program, &options, log));
    }

    /// Waits until every entry instance serves and knows every member and runner.
    pub fn wait_ready(&self) {
        let all = self.entries.iter().map(|entry| &entry.member);
        let all: std::collections::BTreeSet<_> = all.collect();
        wait_until("all entry instances are ready", || {
            self.entries.iter().all(|entry| {
                let Some(state) = entry.state() else {
                    return false;
                };
                let members = state.members.by_id.keys();
                entry.is_ready()
                    && members.eq(all.iter().copied())
                    && state.members.planner.is_some()
                    && state.fleet.instances.len() == self.runners.len()
            })
        });
    }

    /// The state at the first entry instance that answers.
    pub fn state(&self) -> State {
        wait_for("an entry instance returns its state", || {
            self.entries.iter().find_map(Daemon::state)
        })
    }

    /// Index of the planner in `entries`, once all entry instances agree on it.
    pub fn planner(&self) -> usize {
        wait_for("all agree on a planner", || {
            let planners: Vec<_> = self.entries.iter().map(planner_seen_by).collect();
            let first = planners.first()?.clone()?;
            let is_agreed = planners.iter().all(|seen| seen.as_ref() == Some(&first));
            let index = || self.entries.iter().position(|e| e.member == first);
            if is_agreed { index() } else { None }
        })
    }

    /// Addresses of the entry instances' callers' ports.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Ledgers of all runners: the requests that each has started and finished.
    pub fn ledgers(&self) -> Vec<Ledger> {
        self.runners.iter().map(Runner::ledger).collect()
    }

    /// Sends a request of the first team through the entry instance at this index.
    pub fn probe(&self, entry: usize) -> Outcome {
        let call = call(&next_id());
        let entry = self.entries[entry].callers;
        caller::send(&caller::agent(), entry, &call)
    }

    /// Compares the outcomes of `calls` with the runners' ledgers.
    pub fn count(&self, calls: &[FinishedCall]) -> Tally {
        Tally::count(calls, &self.ledgers())
    }

    /// Number of requests that the runners have finished.
    pub fn finished(&self) -> u64 {
        let ledgers = self.ledgers();
        let runs = ledgers.iter().flat_map(|ledger| ledger.runs.values());
        runs.map(|runs| runs.finished).sum()
    }

    /// Waits until the runners finished `more` further requests.
    pub fn wait_finished(&self, more: u64) {
        let target = self.finished() + more;
        wait_until("runners finish requests", || self.finished() >= target);
    }
}

/// Sends load through `entries` while `during` runs; returns the calls with their outcomes.
pub fn under_load(entries: &Mutex<Vec<SocketAddr>>, during: impl FnOnce()) -> Vec<FinishedCall> {
    let stop = AtomicBool::new(false);
    let load = Load {
        rate: 60.0,
        time: WAIT_TIMEOUT,
        callers: 48,
        keys: TEAMS.iter().map(|(_, key)| (*key).into()).collect(),
        ..Load::default()
    };
    std::thread::scope(|scope| {
        let sending = scope.spawn(|| load::run(&load, entries, &stop));
        let guard = SetOnDrop(&stop);
        during();
        drop(guard);
        sending.join().expect("the load thread does not panic")
    })
}

/// Stops the load, also when the test panics.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A request of the first team.
pub fn call(id: &str) -> Call {
    Call {
        id: id.into(),
        key: TEAMS[0].1.into(),
        ..Call::default()
    }
}

/// An id that no other request of this process has.
pub fn next_id() -> Box<str> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("probe-{}", NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

/// Faults with this mode and no other fault.
pub fn mode(mode: Mode) -> Faults {
    Faults {
        mode,
        ..Faults::default()
    }
}

fn planner_seen_by(entry: &Daemon) -> Option<Box<str>> {
    entry.state()?.members.planner.clone()
}

fn worker(index: usize) -> pomelohitch_platform::workers::Listed {
    pomelohitch_platform::workers::Listed {
        id: format!("worker-{index}").into(),
        pool: "batch".into(),
        zone: format!("zone-{index}").into(),
        rack: "rack-0".into(),
        capacity: Resources {
            cpu_milli: 4000,
            memory_mib: 4000,
            accelerators: 0,
        },
    }
}

fn instance(index: usize, runner: &Runner) -> instances::Instance {
    let control = runner.control_url();
    let control = control.strip_prefix("http://").expect("an http address");
    instances::Instance {
        listed: Listed {
            id: format!("runner-{index}").into(),
            pool: POOL.into(),
            zone: format!("zone-{}", index % 3).into(),
            rack: format!("rack-{}", index / 2).into(),
            addr: runner.addr(),
            state: ListedState::Live,
        },
        control: Some(control.parse().expect("an address")),
    }
}
