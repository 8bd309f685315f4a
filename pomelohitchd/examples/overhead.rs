//! Measures what an entry instance adds to a call, against a direct call and against a bare
//! pass-through of `rouille` and `ureq`. All run in this process and talk over loopback.
//!
//! `cargo run --release -p pomelohitchd --example overhead`

#![allow(clippy::cast_precision_loss, reason = "figures for people")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::{
    Body, FileChange, FleetDecision, FleetStep, Join, Publish, Record, TakeTerm,
};
use pomelohitch_core::{State, key};
use pomelohitchd::front;
use pomelohitchd::node::Node;
use pomelohitchd::permits;
use pomelohitchd::settings::Settings;

const KEY: &str = "key";
const CALLERS: usize = 4;
const CALLS: usize = 5000;

fn main() {
    let runner = runner();
    let pass_through_addr = pass_through(runner);
    let entry = entry(runner);
    println!("| path | p50 us | p99 us | requests a second |\n|---|---|---|---|");
    // Each path is warmed up by a round that isn't counted.
    for (name, addr) in [
        ("direct", runner),
        ("rouille and ureq", pass_through_addr),
        ("entry", entry),
    ] {
        measure(addr);
        let (latencies, took) = measure(addr);
        let rate = latencies.len() as f64 / took.as_secs_f64();
        let p50 = latencies.value_at_quantile(0.5) as f64 / 1000.0;
        let p99 = latencies.value_at_quantile(0.99) as f64 / 1000.0;
        println!("| {name} | {p50:.0} | {p99:.0} | {rate:.0} |");
    }
}

fn measure(addr: SocketAddr) -> (Histogram<u64>, Duration) {
    let begun = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| std::thread::spawn(move || call(addr)))
        .collect();
    let mut all = Histogram::new(3).expect("three digits are supported");
    for caller in callers {
        let latencies = caller.join().expect("callers do not panic");
        all.add(latencies)
            .expect("both histograms resize automatically");
    }
    (all, begun.elapsed())
}

/// One call after another over one connection.
fn call(addr: SocketAddr) -> Histogram<u64> {
    let stream = TcpStream::connect(addr).expect("the address accepts connections");
    stream.set_nodelay(true).expect("the socket is open");
    let mut reader = BufReader::new(&stream);
    let request =
        format!("GET /s/passes/x HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let mut latencies = Histogram::new(3).expect("three digits are supported");
    for _ in 0..CALLS {
        let begun = Instant::now();
        (&stream)
            .write_all(request.as_bytes())
            .expect("the peer reads the request");
        assert_eq!(read_answer(&mut reader), Some(200), "an answer was refused");
        let nanos = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
        latencies
            .record(nanos)
            .expect("the histogram resizes automatically");
    }
    latencies
}

fn read_answer(reader: &mut BufReader<&TcpStream>) -> Option<u16> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let length = read_headers(reader)?;
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}

/// Reads up to the end of a head; returns the length of the body.
fn read_headers(reader: &mut BufReader<&TcpStream>) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.split_once(':') else {
            return Some(length);
        };
        if name.eq_ignore_ascii_case("Content-Length") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn runner() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener
        .local_addr()
        .expect("a bound socket has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(&stream);
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npass";
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|count| count > 0) {
                    if read_headers(&mut reader).is_none() {
                        return;
                    }
                    if (&stream).write_all(answer).is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    addr
}

fn pass_through(runner: SocketAddr) -> SocketAddr {
    let agent = ureq::Agent::new_with_defaults();
    let handler = move |req: &rouille::Request| {
        let url = format!("http://{runner}{}", req.raw_url());
        let answer = agent.get(&url).call();
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_vec());
        match body {
            Ok(body) => rouille::Response::from_data("text/plain", body),
            Err(_) => rouille::Response::empty_404(),
        }
    };
    let server = rouille::Server::new("127.0.0.1:0", handler).expect("loopback has free ports");
    let addr = server.server_addr();
    std::thread::spawn(move || server.run());
    addr
}

fn entry(runner: SocketAddr) -> SocketAddr {
    let unreachable = "http://127.0.0.1:9";
    let node = Arc::new(Node::new(Settings::parse_from([
        "pomelohitchd",
        "--member=entry-1",
        "--zone=zone-a",
        &format!("--log-url={unreachable}"),
        &format!("--instances-url={unreachable}"),
        &format!("--workers-url={unreachable}"),
        &format!("--admin-key-hash={}", key::hash("operator")),
    ])));
    let mut state = State::default();
    for body in bodies(runner) {
        let record = Record {
            id: RecordId::new_v4(),
            after: state.next,
            at: Duration::ZERO,
            by: "example".into(),
            body,
        };
        state.apply(state.next, &record);
    }
    node.publish_state(state, Vec::new());
    node.incarnation.store(0, Ordering::Release);
    node.lifecycle.ready.store(true, Ordering::Release);
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener
        .local_addr()
        .expect("a bound socket has an address");
    let (permits_node, front_node) = (node.clone(), node);
    std::thread::spawn(move || permits::run(&permits_node));
    std::thread::spawn(move || front::run(&front_node, &listener));
    // The first permits arrive after a few ticks.
    std::thread::sleep(Duration::from_millis(500));
    addr
}

fn bodies(runner: SocketAddr) -> Vec<Body> {
    let service = Service {
        id: "passes".into(),
        pool: "kiosks".into(),
        min_available: 0,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(10),
        longest_run: Duration::from_secs(10),
        queue: 64,
        objective: None,
    };
    let file = FleetFile {
        teams: vec![Team {
            id: "valley".into(),
            share: 1,
            limit: 100,
            keys: vec![key::hash(KEY)],
        }],
        pools: vec![Pool {
            id: "kiosks".into(),
            spare: false,
            floor: 0,
        }],
        services: vec![service],
    };
    let change = FileChange {
        base: None,
        file: Some(file),
    };
    vec![
        Body::Join(Join {
            member: "entry-1".into(),
            zone: "zone-a".into(),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        }),
        Body::Publish(Publish {
            changes: [("pomelohitch.toml".into(), change)].into(),
        }),
        Body::TakeTerm(TakeTerm {
            member: "entry-1".into(),
            incarnation: 0,
            term: 1,
        }),
        Body::Fleet(FleetDecision {
            term: 1,
            step: FleetStep::Adopt {
                instance: "runner-1".into(),
                pool: "kiosks".into(),
                zone: "zone-a".into(),
                rack: "rack-1".into(),
                addr: runner,
            },
        }),
    ]
}
