//! Questions to several members.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pomelohitchd::fleet::peers::{MAX_CONCURRENT_CALLS, ask_all_within};
use pomelohitchd::fleet::wire::{PROBE_PATH, Probe, ProbeReply};

/// Accepts connections without an answer; returns the largest number that were open at a time.
fn count_open(listener: TcpListener) -> Arc<AtomicUsize> {
    let max_open = Arc::new(AtomicUsize::new(0));
    let counted = max_open.clone();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let stream = stream.expect("the connection is accepted");
            stream.set_nonblocking(true).expect("sockets can be polled");
            open.push(stream);
            open.retain_mut(is_open);
            counted.fetch_max(open.len(), Ordering::Relaxed);
        }
    });
    max_open
}

fn is_open(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 1_024];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Guards against a thread and a connection for each of hundreds of members.
#[test]
fn few_members_are_asked_at_a_time() {
    for count in [80, 160] {
        let listener = TcpListener::bind("127.0.5.1:0").expect("the OS assigns a free port");
        let addr = listener
            .local_addr()
            .expect("a bound listener has an address");
        let max_open = count_open(listener);
        let probe = Probe { with_store: false };
        let timeout = Duration::from_millis(150);
        let answers = ask_all_within::<ProbeReply>(&vec![addr; count], PROBE_PATH, &probe, timeout);
        assert!(answers.is_empty());
        let max_open = max_open.load(Ordering::Relaxed);
        assert!((1..=MAX_CONCURRENT_CALLS).contains(&max_open), "{max_open}");
    }
}
