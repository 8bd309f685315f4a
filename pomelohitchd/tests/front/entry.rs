//! An entry instance inside the test's process, and a caller that writes raw bytes to it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use clap::Parser;
use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::{
    Body, FileChange, FleetDecision, FleetStep, Join, Publish, Record, TakeTerm, WithdrawKey,
};
use pomelohitch_core::{State, Verdict, key};
use pomelohitch_peer::Links;
use pomelohitchd::front::{self, Limits};
use pomelohitchd::node::Node;
use pomelohitchd::peers;
use pomelohitchd::settings::Settings;

/// API key of the test's team.
pub const KEY: &str = "valley-station-key";
/// Upper limit of every wait in these tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry instance.
pub struct Entry {
    pub node: Arc<Node>,
    pub addr: SocketAddr,
    pub serving: JoinHandle<()>,
}

impl Entry {
    /// An entry instance whose service `passes` has the given runners.
    pub fn start(runners: &[SocketAddr], limits: Limits) -> Entry {
        Entry::start_with(runners, limits, passes())
    }

    pub fn start_with(runners: &[SocketAddr], limits: Limits, service: Service) -> Entry {
        let own = Join {
            member: "entry-1".into(),
            zone: "zone-a".into(),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        };
        let node = node(&[own], 0, bodies(runners, service));
        Entry::serve(node, limits)
    }

    /// Two entry instances that are each other's peers, over real connections.
    pub fn pair(runners: &[SocketAddr]) -> [(Entry, Links); 2] {
        let listeners = [1, 2].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let joins: Vec<_> = listeners
            .iter()
            .zip(["entry-1", "entry-2"])
            .map(|(listener, member)| Join {
                member: member.into(),
                zone: "zone-a".into(),
                peer_addr: listener.local_addr().unwrap(),
            })
            .collect();
        let mut index = 0;
        listeners.map(|listener| {
            let node = node(&joins, index, bodies(runners, passes()));
            index += 1;
            let links = peers::start(&node, listener).unwrap();
            node.permits.set_links(links.commands.clone());
            let _ = peers::follow_members(&node, &links, None);
            (Entry::serve(node, Limits::default()), links)
        })
    }

    fn serve(node: Arc<Node>, limits: Limits) -> Entry {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let permits = node.clone();
        std::thread::spawn(move || pomelohitchd::permits::run(&permits));
        let serving = {
            let node = node.clone();
            std::thread::spawn(move || front::serve(&node, &listener, limits))
        };
        Entry {
            node,
            addr,
            serving,
        }
    }

    /// Applies another record and publishes the new state to the entry instance's threads.
    pub fn apply(&self, body: Body) {
        let mut state = State::clone(&self.node.state.load());
        apply(&mut state, body);
        self.node.publish_state(state, Vec::new());
    }

    pub fn withdraw_key(&self) {
        self.apply(Body::WithdrawKey(WithdrawKey {
            key: key::hash(KEY),
        }));
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Sends raw bytes and reads until the entry closes the connection.
    pub fn send(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The entry may refuse and close before everything is written.
        let _ = stream.write_all(bytes);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request with the team's key over a new connection.
    pub fn call(&self, method: &str, path: &str, headers: &[&str]) -> String {
        let headers = headers.join("\r\n");
        let headers = if headers.is_empty() {
            headers
        } else {
            headers + "\r\n"
        };
        self.send(
            format!(
                "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
                 Authorization: Bearer {KEY}\r\n{headers}\r\n"
            )
            .as_bytes(),
        )
    }
}

/// Status code of an answer.
pub fn status(answer: &str) -> u16 {
    let mut words = answer.split(' ');
    words
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or_else(|| panic!("no answer: {answer:?}"))
}

pub fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Problem document (`application/problem+json`) of an answer.
pub fn problem(answer: &str) -> serde_json::Value {
    assert!(answer.contains("Content-Type: application/problem+json\r\n"));
    serde_json::from_str(body(answer)).unwrap()
}

/// Polls `condition` until it holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The test's service.
pub fn passes() -> Service {
    Service {
        id: "passes".into(),
        pool: "kiosks".into(),
        min_available: 0,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(10),
        longest_run: Duration::from_secs(10),
        queue: 64,
        objective: None,
    }
}

/// A node whose state contains `joins` and `records`; it is the member of `joins[index]`.
fn node(joins: &[Join], index: usize, records: Vec<Body>) -> Arc<Node> {
    let node = Arc::new(Node::new(settings(&joins[index].member)));
    let mut state = State::default();
    for join in joins {
        apply(&mut state, Body::Join(join.clone()));
    }
    for body in records {
        apply(&mut state, body);
    }
    node.publish_state(state, Vec::new());
    node.incarnation.store(index as u64, Ordering::Release);
    node.lifecycle.ready.store(true, Ordering::Release);
    node
}

fn settings(member: &str) -> Settings {
    // Nothing listens there; these tests need no answer from the platform.
    let unreachable = "http://127.0.0.1:9";
    Settings::parse_from([
        "pomelohitchd",
        &format!("--member={member}"),
        "--zone=zone-a",
        &format!("--log-url={unreachable}"),
        &format!("--instances-url={unreachable}"),
        &format!("--workers-url={unreachable}"),
        &format!("--admin-key-hash={}", key::hash("operator")),
    ])
}

fn bodies(runners: &[SocketAddr], service: Service) -> Vec<Body> {
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
    let mut bodies = vec![
        Body::Publish(Publish {
            changes: BTreeMap::from([("pomelohitch.toml".into(), change)]),
        }),
        Body::TakeTerm(TakeTerm {
            member: "entry-1".into(),
            incarnation: 0,
            term: 1,
        }),
    ];
    bodies.extend(runners.iter().enumerate().map(|(i, addr)| adopt(i, *addr)));
    bodies
}

fn adopt(number: usize, addr: SocketAddr) -> Body {
    Body::Fleet(FleetDecision {
        term: 1,
        step: FleetStep::Adopt {
            instance: format!("runner-{number}").into(),
            pool: "kiosks".into(),
            zone: "zone-a".into(),
            rack: "rack-1".into(),
            addr,
        },
    })
}

fn apply(state: &mut State, body: Body) {
    let record = Record {
        id: RecordId::new_v4(),
        after: state.next,
        at: Duration::ZERO,
        by: "test".into(),
        body,
    };
    assert_eq!(state.apply(state.next, &record), Verdict::Accepted);
}
