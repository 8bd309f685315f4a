//! A loopback HTTP/1.1 server that can also drop, truncate and withhold answers.
//!
//! `rouille` always answers, and so can't simulate a platform whose answers get lost.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Polling interval while the limit of connections is reached.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Number of the connection; the server counts from 0.
    pub connection: u64,
    /// Method, as sent.
    pub method: Box<str>,
    /// Path without the query.
    pub path: Box<str>,
    /// Query without `?`, not decoded.
    pub query: Box<str>,
    /// Headers in the order sent; names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body, without its transfer encoding.
    pub body: Vec<u8>,
}

impl Request {
    /// Value of the first header `name`, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| &**known == name);
        found.map(|(_, value)| &**value)
    }

    /// Value of the query parameter `name`; `None` if it isn't a number.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name)?.1.parse().ok()
    }

    /// Segments of the path.
    #[must_use]
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_matches('/').split('/').collect()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// A `400` answer with the reason if the body can't be decoded.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|e| Answer::text(400, &e.to_string()))
    }
}

/// A response.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers except `Content-Length`, which the server adds.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body; `Content-Length` is derived from it.
    pub body: Vec<u8>,
}

/// How the server answers a request.
#[derive(Debug, Clone)]
pub enum Answer {
    /// Send the response.
    Full(Response),
    /// Send the response with half of its body, then close the connection.
    Cut(Response),
    /// Close the connection without an answer.
    Close,
    /// Keep the connection open and discard what arrives, without an answer.
    Silent,
}

impl Answer {
    /// An answer with a JSON body.
    ///
    /// # Panics
    /// If `value` can't be serialized as JSON.
    #[must_use]
    pub fn json(status: u16, value: &impl Serialize) -> Answer {
        let body = serde_json::to_vec(value).expect("the stand-ins' types serialize as JSON");
        Answer::Full(Response {
            status,
            headers: vec![("Content-Type".into(), "application/json".into())],
            body,
        })
    }

    /// An answer with a text body.
    #[must_use]
    pub fn text(status: u16, text: &str) -> Answer {
        Answer::Full(Response {
            status,
            headers: Vec::new(),
            body: text.as_bytes().to_vec(),
        })
    }
}

/// Function that answers requests.
pub type Handler = Box<dyn Fn(&Request) -> Answer + Send + Sync>;

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    pub connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { connections: 4096 }
    }
}

/// A running server; dropping it closes its port and its connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    stopped: AtomicBool,
    open: Mutex<HashMap<u64, TcpStream>>,
}

impl Server {
    /// Listens on a free loopback port.
    ///
    /// # Panics
    /// If no port is free or the thread can't be started.
    #[must_use]
    pub fn start(options: &Options, handler: Handler) -> Server {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port is free");
        let addr = listener
            .local_addr()
            .expect("a bound listener has an address");
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        let connections = options.connections;
        std::thread::spawn(move || accept(&listener, &accepting, connections, &handler.into()));
        Server { addr, shared }
    }

    /// Address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its URL, `http://IP:PORT`.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open().len()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        // Wakes the accepting thread, which then closes the port.
        let _ = TcpStream::connect(self.addr);
        for stream in self.shared.open().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn open(&self) -> std::sync::MutexGuard<'_, HashMap<u64, TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>, limit: usize, handler: &Arc<Handler>) {
    let mut connection = 0;
    loop {
        while shared.open().len() >= limit && !shared.is_stopped() {
            std::thread::sleep(ACCEPT_POLL_INTERVAL);
        }
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        if shared.is_stopped() {
            return;
        }
        let Ok(registered) = stream.try_clone() else {
            continue;
        };
        shared.open().insert(connection, registered);
        let (shared, handler) = (shared.clone(), handler.clone());
        std::thread::spawn(move || {
            // An error means that the peer closed the connection, which it may do at any time.
            let _ = serve(connection, stream, &handler);
            shared.open().remove(&connection);
        });
        connection += 1;
    }
}

fn serve(connection: u64, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut req) = read_request(&mut reader, &mut stream)? {
        req.connection = connection;
        match handler(&req) {
            Answer::Full(response) => write_response(&mut stream, &response, response.body.len())?,
            Answer::Cut(response) => {
                write_response(&mut stream, &response, response.body.len() / 2)?;
                break;
            }
            Answer::Close => break,
            Answer::Silent => {
                io::copy(&mut reader, &mut io::sink())?;
            }
        }
    }
    stream.shutdown(Shutdown::Both)
}

fn write_response(stream: &mut TcpStream, response: &Response, len: usize) -> io::Result<()> {
    let mut buf = format!("HTTP/1.1 {} Status\r\n", response.status).into_bytes();
    for (name, value) in &response.headers {
        buf.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    buf.extend(format!("Content-Length: {}\r\n\r\n", response.body.len()).into_bytes());
    buf.extend(&response.body[..len]);
    stream.write_all(&buf)
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
    stream: &mut TcpStream,
) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut req = parse_head(&head)?;
    if req.header("expect").is_some() {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let is_chunked = req.header("transfer-encoding").is_some();
    req.body = if is_chunked {
        read_chunks(reader)?
    } else {
        let len = req.header("content-length").unwrap_or("0");
        read_exact(reader, len.parse().map_err(io::Error::other)?)?
    };
    Ok(Some(req))
}

/// Reads up to and including the empty line. `None` if the peer closed before that, or if the head
/// is too large.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::new();
    loop {
        let start = head.len();
        let read = reader
            .take(MAX_HEAD_BYTES as u64)
            .read_until(b'\n', &mut head)?;
        if read == 0 || head.len() > MAX_HEAD_BYTES {
            return Ok(None);
        }
        if &head[start..] == b"\r\n" {
            return Ok(Some(head));
        }
    }
}

fn parse_head(head: &[u8]) -> io::Result<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).map_err(io::Error::other)?;
    let target = parsed.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = parsed.headers.iter();
    let headers = headers.map(|header| {
        let value = String::from_utf8_lossy(header.value);
        (header.name.to_lowercase().into(), value.into())
    });
    Ok(Request {
        method: parsed.method.unwrap_or_default().into(),
        path: path.into(),
        query: query.into(),
        headers: headers.collect(),
        ..Request::default()
    })
}

fn read_exact(reader: &mut impl Read, len: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        body.extend(read_exact(reader, len)?);
        reader.read_line(&mut line)?;
        if len == 0 {
            return Ok(body);
        }
    }
}
