//! An endpoint that takes every start and lists one run.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const TAKEN: &str = r#"{"clock_ms":1}"#;
const LISTING: &str =
    r#"{"clock_ms":1,"born":1,"running":[["0000000000000001.0.0.0",1,"",50,0]],"ended":[]}"#;

/// What it was told.
#[derive(Default)]
struct Told {
    calls: Vec<(String, String)>,
    /// Ports of those that called.
    peers: BTreeSet<u16>,
}

pub struct Endpoint {
    pub addr: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Endpoint {
    pub fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let told = Arc::<Mutex<Told>>::default();
        let heard = told.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, told) = (stream.expect("somebody connects"), heard.clone());
                std::thread::spawn(move || serve(stream, &told));
            }
        });
        Endpoint { addr, told }
    }

    /// Bodies of the calls of a path, in order.
    pub fn bodies(&self, path: &str) -> Vec<String> {
        let told = self.told.lock().expect("nobody panics while it is held");
        let calls = told.calls.iter().filter(|(p, _)| p == path);
        calls.map(|(_, body)| body.clone()).collect()
    }

    /// How many connections were used.
    pub fn peers(&self) -> usize {
        let told = self.told.lock().expect("nobody panics while it is held");
        told.peers.len()
    }
}

fn serve(mut stream: TcpStream, told: &Mutex<Told>) {
    let peer = stream.peer_addr().expect("it is connected").port();
    let mut buf = [0; 8192];
    let mut received = String::new();
    while let Ok(count) = stream.read(&mut buf)
        && count > 0
    {
        received.push_str(&String::from_utf8_lossy(&buf[..count]));
        let Some((head, body)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        if !body.ends_with('}') {
            continue;
        }
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = if path == "/-/hold" { LISTING } else { TAKEN };
        let mut told = told.lock().expect("nobody panics while it is held");
        told.calls.push((path, body.to_owned()));
        told.peers.insert(peer);
        drop(told);
        received.clear();
        let length = answer.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{answer}");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
