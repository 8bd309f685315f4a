//! Measures the time from the append of a record until the readers of 8 entry instances have it in
//! force, against the stand-in of the log on loopback: without faults, with slow calls, and after
//! an outage.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use pomelohitch_core::id::RecordId;
use pomelohitch_core::key;
use pomelohitch_core::record::{Body, FLEET_STREAM, Record, WithdrawKey};
use pomelohitch_standin::log::{self, Faults};
use pomelohitch_standin::{CallFaults, Log};
use pomelohitchd::node::{Node, wall_clock};
use pomelohitchd::reader;
use pomelohitchd::settings::Settings;

const NODES: usize = 8;

fn main() {
    println!("| Log | records | median | 99th percentile | longest |");
    println!("|---|---|---|---|---|");
    print("as it is", 200, &CallFaults::default());
    let slow = CallFaults {
        delay: Duration::from_millis(500),
        ..CallFaults::default()
    };
    print("every call takes 500 ms longer", 20, &slow);
    outage();
}

fn print(name: &str, count: usize, calls: &CallFaults) {
    let (log, nodes) = start();
    log.set_faults(faults(calls));
    let times: Vec<_> = (0..count).map(|n| in_force(&log, &nodes, n)).collect();
    print_row(name, times);
}

/// The time counts from the end of the outage, when the record is appended.
fn outage() {
    let times = (0..10).map(|n| {
        let (log, nodes) = start();
        let down = CallFaults {
            down: true,
            ..CallFaults::default()
        };
        log.set_faults(faults(&down));
        let is_down =
            |node: &Arc<Node>| node.log_is_down.load(std::sync::atomic::Ordering::Acquire);
        while !nodes.iter().all(is_down) {
            std::thread::sleep(Duration::from_millis(1));
        }
        log.set_faults(faults(&CallFaults::default()));
        in_force(&log, &nodes, n)
    });
    print_row("just back from an outage", times.collect());
}

fn print_row(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let ms = |at: usize| times[at].as_secs_f64() * 1e3;
    let count = times.len();
    println!(
        "| {name} | {count} | {:.0} ms | {:.0} ms | {:.0} ms |",
        ms(count / 2),
        ms((count * 99 / 100).min(count - 1)),
        ms(count - 1)
    );
}

fn faults(calls: &CallFaults) -> Faults {
    Faults {
        calls: calls.clone(),
        ..Faults::default()
    }
}

fn start() -> (Log, Vec<Arc<Node>>) {
    let log = Log::start(&log::Options::default());
    let nodes: Vec<_> = (0..NODES).map(|n| node(&log, n)).collect();
    while !nodes.iter().all(|node| node.last_log_read().is_some()) {
        std::thread::sleep(Duration::from_millis(1));
    }
    (log, nodes)
}

fn node(log: &Log, n: usize) -> Arc<Node> {
    let settings = Settings::parse_from([
        "pomelohitchd",
        &format!("--member=entry-{n}"),
        "--zone=zone-a",
        &format!("--log-url={}", log.url()),
        "--instances-url=http://127.0.0.1:9",
        "--workers-url=http://127.0.0.1:9",
        &format!("--admin-key-hash={}", key::hash("operator")),
    ]);
    let node = Arc::new(Node::new(settings));
    let reading = node.clone();
    std::thread::spawn(move || reader::run(&reading));
    node
}

/// Appends a record, and waits until every node has it in force.
fn in_force(log: &Log, nodes: &[Arc<Node>], n: usize) -> Duration {
    let client = pomelohitch_platform::Log::http(&log.url(), Duration::from_secs(10));
    let record = Record {
        id: RecordId::new_v4(),
        after: nodes[0].state.load().next,
        at: wall_clock(),
        by: "operator".into(),
        body: Body::WithdrawKey(WithdrawKey {
            key: format!("key-{n}").into(),
        }),
    };
    let begun = Instant::now();
    let appended = (client.append)(FLEET_STREAM, &[record.encode()]).expect("the log is up");
    while nodes
        .iter()
        .any(|node| node.state.load().next < appended.next)
    {
        std::thread::sleep(Duration::from_micros(200));
    }
    begun.elapsed()
}
