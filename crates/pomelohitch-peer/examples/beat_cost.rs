//! Measures the cost of a heartbeat on a link: bytes in each direction, and CPU time.
//!
//! Two members in one process exchange heartbeats over loopback through a relay that counts bytes.
//! The column `with headers/beat` adds 52 bytes of TCP and IP headers per segment.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pomelohitch_peer::{Command, Handlers, Heartbeat, Links, Peer, Settings};

/// Number of heartbeats to measure.
const HEARTBEATS: u64 = 2000;
/// Size of the IP and TCP headers of a segment, with timestamps.
const SEGMENT_HEADER_BYTES: u64 = 52;

/// Bytes and segments that the relay forwarded in one direction.
#[derive(Debug, Default)]
struct Traffic {
    bytes: AtomicU64,
    segments: AtomicU64,
}

fn main() {
    let heartbeats = Arc::new(AtomicU64::new(0));
    let (one, _) = member("entry-1", heartbeats.clone());
    let (two, addr) = member("entry-2", Arc::default());
    let [outbound, inbound] = [Arc::new(Traffic::default()), Arc::new(Traffic::default())];
    let relay = relay(addr, outbound.clone(), inbound.clone());
    let peer = Peer {
        member: "entry-2".into(),
        addr: relay,
    };
    let before = cpu_ticks();
    one.commands
        .send(Command::Peers(vec![peer]))
        .expect("the thread runs until the links are stopped");
    while heartbeats.load(Ordering::Acquire) < HEARTBEATS {
        std::thread::sleep(Duration::from_millis(10));
    }
    let ticks = cpu_ticks() - before;
    println!("direction  bytes/beat  segments/beat  with headers/beat");
    for (name, traffic) in [("there", &outbound), ("back", &inbound)] {
        let bytes = traffic.bytes.load(Ordering::Relaxed);
        let segments = traffic.segments.load(Ordering::Relaxed);
        println!(
            "{name:9}  {:10}  {:13.1}  {:17}",
            bytes / HEARTBEATS,
            ratio(segments, HEARTBEATS),
            (bytes + segments * SEGMENT_HEADER_BYTES) / HEARTBEATS
        );
    }
    // The process also runs the relay, so this is an upper bound for two members.
    println!(
        "processor microseconds/beat, both ends and the relay: {}",
        ticks * 10_000 / HEARTBEATS
    );
    one.stop();
    two.stop();
}

fn ratio(a: u64, b: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^52")]
    let ratio = a as f64 / b as f64;
    ratio
}

fn member(id: &'static str, heartbeats: Arc<AtomicU64>) -> (Links, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener
        .local_addr()
        .expect("a bound socket has an address");
    let settings = Settings {
        interval: Duration::from_millis(1),
        ..Settings::default()
    };
    let links = Links::start(listener, settings, move || Handlers {
        own_heartbeat: Box::new(|| Heartbeat {
            member: id.into(),
            incarnation: 1,
            next: 2,
            ..Heartbeat::default()
        }),
        on_heartbeat: Box::new(move |_| {
            heartbeats.fetch_add(1, Ordering::AcqRel);
        }),
        on_error: Box::new(|peer, error| eprintln!("{peer}: {error}")),
        ..Handlers::default()
    });
    (links.expect("a thread can be started"), addr)
}

fn relay(to: SocketAddr, outbound: Arc<Traffic>, inbound: Arc<Traffic>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let addr = listener
        .local_addr()
        .expect("a bound socket has an address");
    std::thread::spawn(move || {
        let (client, _) = listener.accept().expect("the member connects");
        let server = TcpStream::connect(to).expect("the other member listens");
        for stream in [&client, &server] {
            stream
                .set_nodelay(true)
                .expect("a connected socket takes options");
        }
        let copies = [&client, &server]
            .map(|stream| stream.try_clone().expect("file descriptors are available"));
        let [client_copy, server_copy] = copies;
        std::thread::spawn(move || forward(client_copy, server, &outbound));
        forward(server_copy, client, &inbound);
    });
    addr
}

fn forward(mut from: TcpStream, mut to: TcpStream, traffic: &Traffic) {
    use std::io::{Read, Write};
    let mut buf = [0; 4096];
    while let Ok(count) = from.read(&mut buf) {
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            return;
        }
        traffic.bytes.fetch_add(count as u64, Ordering::Relaxed);
        traffic.segments.fetch_add(1, Ordering::Relaxed);
    }
}

/// CPU time of this process so far, in clock ticks of 10 ms.
fn cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    // User and system time are fields 14 and 15. The text after the name, which is field 2 in
    // parentheses, starts at field 3.
    fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum()
}
