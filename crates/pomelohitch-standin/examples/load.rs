//! Compares the latency of a request through an entry instance with a direct call to the runner and
//! with a plain proxy of `rouille` and `ureq`, on the same schedules.
//!
//! `cargo build --release --bins && cargo run --release -p pomelohitch-standin --example load`

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use pomelohitch_platform::instances::{Listed, ListedState};
use pomelohitch_standin::caller::{FinishedCall, Outcome};
use pomelohitch_standin::config::{self, POOL, TEAMS};
use pomelohitch_standin::daemon::{self, Daemon};
use pomelohitch_standin::load::{self, Load};
use pomelohitch_standin::{Instances, Log, Runner, Workers, instances, log, runner, workers};
use rouille::{Request, Response};

/// Number of runners of the service.
const RUNNER_COUNT: usize = 6;
/// Time limit for the entry instance to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval of waiting loops.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the recorded latencies; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Headers that are valid for one connection only and aren't forwarded.
const HOP_BY_HOP_HEADERS: [&str; 4] = ["Host", "Connection", "Content-Length", "Transfer-Encoding"];

/// Measures what an entry instance adds to a request.
#[derive(Debug, Parser)]
struct Args {
    /// Requests a second
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// How long each way is loaded, seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// How often all ways are gone through
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Answers are padded to at most so many bytes
    #[arg(long, default_value_t = 2000)]
    answer_bytes: usize,
    /// Where the built daemon is
    #[arg(long, default_value = "target/release")]
    bin_dir: PathBuf,
}

struct Target {
    name: &'static str,
    entries: Mutex<Vec<SocketAddr>>,
    latencies: Histogram<u64>,
    complete: u64,
    other: u64,
}

impl Target {
    fn new(name: &'static str, entries: Vec<SocketAddr>) -> Target {
        let latencies = Histogram::new_with_max(MAX_LATENCY_MICROS, 3);
        Target {
            name,
            entries: Mutex::new(entries),
            latencies: latencies.expect("three digits are allowed"),
            complete: 0,
            other: 0,
        }
    }

    fn add(&mut self, calls: &[FinishedCall]) {
        for done in calls {
            if done.outcome != Outcome::Complete {
                self.other += 1;
                continue;
            }
            self.complete += 1;
            let micros = u64::try_from(done.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
    }

    fn print(&self, direct: &Target) {
        let micros = |target: &Target, quantile| {
            Duration::from_micros(target.latencies.value_at_quantile(quantile)).as_secs_f64() * 1e3
        };
        let (p50, p99) = (micros(self, 0.5), micros(self, 0.99));
        let added_p50 = p50 - micros(direct, 0.5);
        let added_p99 = p99 - micros(direct, 0.99);
        let Target {
            name,
            complete,
            other,
            ..
        } = self;
        println!(
            "| {name} | {complete} | {other} | {p50:.2} | {p99:.2} | {added_p50:.2} | {added_p99:.2} |"
        );
    }
}

fn main() {
    let args = Args::parse();
    let start = |_| Runner::start(&runner::Options::default());
    let runners: Vec<Runner> = (0..RUNNER_COUNT).map(start).collect();
    let addrs: Vec<SocketAddr> = runners.iter().map(Runner::addr).collect();
    let log = Log::start(&log::Options::default());
    let pools = Instances::start(&instances::Options {
        instances: addrs.iter().enumerate().map(instance).collect(),
        ..instances::Options::default()
    });
    let workers = Workers::start(&workers::Options::default());
    let client = pomelohitch_platform::Log::http(&log.url(), START_TIMEOUT);
    config::publish(&client, config::small(), None).expect("the log is up");
    let entry = start_entry(&args, &log, &pools, &workers);

    let mut targets = [
        Target::new("direct to the runner", addrs.clone()),
        Target::new(
            "pass-through",
            addrs.into_iter().map(pass_through).collect(),
        ),
        Target::new("entry instance", vec![entry.callers]),
    ];
    for round in 0..args.rounds {
        for target in &mut targets {
            let load = Load {
                rate: args.rate,
                time: Duration::from_secs(args.seconds),
                seed: round,
                keys: TEAMS.iter().map(|(_, key)| (*key).into()).collect(),
                max_run: Duration::ZERO,
                max_answer_len: args.answer_bytes,
                ..Load::default()
            };
            let calls = load::run(&load, &target.entries, &AtomicBool::new(false));
            target.add(&calls);
        }
    }
    println!("| way | whole | other | p50 ms | p99 ms | more p50 ms | more p99 ms |");
    println!("|---|---|---|---|---|---|---|");
    for target in &targets {
        target.print(&targets[0]);
    }
}

fn instance((index, addr): (usize, &SocketAddr)) -> instances::Instance {
    instances::Instance {
        listed: Listed {
            id: format!("runner-{index}").into(),
            pool: POOL.into(),
            zone: "zone-0".into(),
            rack: "rack-0".into(),
            addr: *addr,
            state: ListedState::Live,
        },
        control: None,
    }
}

fn start_entry(args: &Args, log: &Log, pools: &Instances, workers: &Workers) -> Daemon {
    let file = File::create(args.bin_dir.join("load-entry.log"));
    let options = daemon::Options {
        member: "entry-0",
        log_url: &log.url(),
        instances_url: &pools.url(),
        workers_url: &workers.url(),
        flags: &[],
    };
    let program = args.bin_dir.join("pomelohitchd");
    let file = file.expect("the build directory can be written");
    let entry = Daemon::start(&program, &options, file);
    let start = Instant::now();
    let knows_runners = || {
        let state = entry.state();
        state.is_some_and(|state| state.fleet.instances.len() == RUNNER_COUNT)
    };
    while !(entry.is_ready() && knows_runners()) {
        assert!(
            start.elapsed() < START_TIMEOUT,
            "the entry never became ready"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    entry
}

/// Starts a server that forwards every request to one runner, without checks or limits.
fn pass_through(runner: SocketAddr) -> SocketAddr {
    let agent = pomelohitch_standin::caller::agent();
    let handler = move |req: &Request| forward(&agent, runner, req);
    let server = rouille::Server::new("127.0.0.1:0", handler).expect("a loopback port is free");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    addr
}

fn forward(agent: &ureq::Agent, runner: SocketAddr, req: &Request) -> Response {
    let mut body = Vec::new();
    let mut data = req.data().expect("the body wasn't read before");
    if std::io::Read::read_to_end(&mut data, &mut body).is_err() {
        return Response::empty_400();
    }
    let mut outgoing = agent.post(format!("http://{runner}{}", req.raw_url()));
    for (name, value) in req.headers() {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS
            .iter()
            .any(|known| known.eq_ignore_ascii_case(name));
        if !is_hop_by_hop {
            outgoing = outgoing.header(name, value);
        }
    }
    let answer = outgoing.send(&body[..]);
    let answer = answer.and_then(|mut answer| answer.body_mut().read_to_vec());
    answer.map_or_else(
        |_| Response::empty_400().with_status_code(502),
        |body| Response::from_data("application/octet-stream", body),
    )
}
