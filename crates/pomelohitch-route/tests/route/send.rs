//! One attempt of a request at a runner.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use pomelohitch_route::send::{Connection, Error, Options, Outgoing, Sender};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against sending after a pause what was allowed before it: the request is withheld after
/// the connection is made, and the runner receives no byte of it.
#[test]
fn a_request_that_the_gate_refuses_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let received = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the sender connects");
        let mut received = Vec::new();
        stream
            .read_to_end(&mut received)
            .expect("the sender closes the connection");
        received
    });
    let req = Outgoing {
        method: "POST".into(),
        target: "/".into(),
        ..Outgoing::default()
    };
    let sender = Sender::new(Options::default());
    let gate = Box::new(|| false);
    let answered = sender.send(addr, &req, Connection::New, SECOND, gate);
    assert!(matches!(answered, Err(Error::Withheld)), "{answered:?}");
    let received = received.join().expect("no thread panics");
    assert_eq!(received, b"");
}
