//! A runner inside the test's process: every connection is handled by a closure.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request as the runner received it: the lines of its head, and its body.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub lines: Vec<String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.lines[1..].iter().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// A runner that serves requests; its threads end with the test's process.
pub struct Runner {
    pub addr: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Runner {
    /// Starts a runner that writes the bytes returned by `answer` for each request; on `None` it
    /// closes the connection.
    pub fn start(
        answer: impl Fn(&ReceivedRequest) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let answer = Arc::new(answer);
        let requests = received.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (requests, answer) = (requests.clone(), answer.clone());
                std::thread::spawn(move || handle(&stream, &requests, &*answer));
            }
        });
        Runner { addr, received }
    }

    /// A runner that answers everything with `text`.
    pub fn answering(text: &'static str) -> Runner {
        Runner::start(move |_| Some(ok(text)))
    }

    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

pub fn ok(text: &str) -> Vec<u8> {
    let length = text.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}").into_bytes()
}

fn handle(
    stream: &TcpStream,
    requests: &Mutex<Vec<ReceivedRequest>>,
    answer: &dyn Fn(&ReceivedRequest) -> Option<Vec<u8>>,
) {
    let mut reader = BufReader::new(stream);
    while let Some(req) = read(&mut reader) {
        requests.lock().unwrap().push(req.clone());
        let Some(bytes) = answer(&req) else { return };
        if (&mut &*stream).write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read(reader: &mut BufReader<&TcpStream>) -> Option<ReceivedRequest> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut req = ReceivedRequest {
        lines,
        body: Vec::new(),
    };
    let length = req.header("Content-Length").and_then(|v| v.parse().ok());
    req.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut req.body).ok()?;
    Some(req)
}
