//! Reads requests from one connection and writes their answers.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_route::problem::Kind;
use pomelohitch_route::suspension::MAX_GAP;
use pomelohitch_route::{Head, Problem, head};
use rouille::Response;
use snafu::Snafu;

use super::exchange;
use super::{Front, Incoming};

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Limits in time and bytes on reading and discarding what the caller still sends after a refusal.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 1024 * 1024;
/// `Retry-After` of a refusal for lack of memory or connections.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why no request was read.
#[derive(Debug, Snafu)]
enum Error {
    /// The caller closed the connection, or was idle for too long.
    #[snafu(display("the connection ended"))]
    Ended,
    /// The caller sends too slowly.
    #[snafu(display("the request didn't arrive in time"))]
    Slow,
    /// The bytes can't become a request.
    #[snafu(display("{source}"))]
    Unreadable { source: head::Error },
    /// The bodies of all connections exceed their memory limit.
    #[snafu(display("no room for the body"))]
    BodyBudgetExhausted,
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// A connection, with the bytes read beyond its last request.
struct Connection<'a> {
    front: &'a Front,
    stream: &'a Arc<TcpStream>,
    buf: Vec<u8>,
}

/// Serves the requests of one connection, one after another.
pub fn serve(front: &Front, stream: &Arc<TcpStream>, peer: SocketAddr) {
    // Each answer is one write, so Nagle's algorithm would only delay it.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(front.limits.write_timeout));
    let mut connection = Connection {
        front,
        stream,
        buf: Vec::new(),
    };
    while connection.serve_one(peer) {}
}

impl Connection<'_> {
    /// Serves a request; returns whether another one may follow.
    fn serve_one(&mut self, peer: SocketAddr) -> bool {
        let head = match self.read_head() {
            Ok(head) => head,
            Err(error) => return self.refuse(&error, None),
        };
        let arrived = Instant::now();
        let Some(_guard) = self.front.body_bytes.take(head.body_length) else {
            return self.refuse(&Error::BodyBudgetExhausted, Some(&head));
        };
        let body = match self.read_body(&head) {
            Ok(body) => body,
            Err(error) => return self.refuse(&error, Some(&head)),
        };
        let (keep_alive, is_head) = (head.keep_alive, &*head.method == "HEAD");
        let response = (self.front.service.answer)(Incoming {
            head,
            body,
            peer,
            arrived,
            caller: self.stream.clone(),
        });
        let is_last = !keep_alive || self.front.is_leaving();
        self.write(response, is_last, is_head) && !is_last
    }

    fn read_head(&mut self) -> Result<Head> {
        let limits = &self.front.limits;
        self.wait_for_request()?;
        let deadline = Instant::now() + limits.head_timeout;
        loop {
            let parsed = head::parse(&self.buf, &limits.request);
            if let Some(head) = parsed.map_err(|source| Error::Unreadable { source })? {
                self.buf.drain(..head.length);
                return Ok(head);
            }
            self.read_until(deadline)?;
        }
    }

    /// Waits for the first byte of a request. A shutdown ends the wait after `shutdown_grace`, so
    /// that callers have time to notice it.
    fn wait_for_request(&mut self) -> Result<()> {
        let limits = &self.front.limits;
        let mut deadline = Instant::now() + limits.idle_timeout;
        let mut is_leaving = false;
        while self.buf.is_empty() {
            if !is_leaving && self.front.is_leaving() {
                is_leaving = true;
                deadline = deadline.min(Instant::now() + limits.shutdown_grace);
            }
            let now = Instant::now();
            if now >= deadline {
                return EndedSnafu.fail();
            }
            match self.read_until(deadline.min(now + limits.idle_check_interval)) {
                Ok(()) | Err(Error::Slow) => {}
                Err(error) => return Err(error),
            }
            // The caller may have been suspended as well, or may be sending a request just now.
            let resumed = Instant::now();
            if resumed.saturating_duration_since(now) > limits.idle_check_interval + MAX_GAP {
                deadline = deadline.max(resumed + limits.idle_check_interval);
            }
        }
        Ok(())
    }

    fn read_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.expects_continue && self.buf.len() < head.body_length {
            let sent = (&mut &**self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            sent.map_err(|_| Error::Ended)?;
        }
        let deadline = Instant::now() + self.front.limits.body_timeout;
        while self.buf.len() < head.body_length {
            self.read_until(deadline)?;
        }
        let rest = self.buf.split_off(head.body_length);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Reads some bytes before `deadline`, which covers the whole head or body: a timeout per read
    /// would let a caller that sends single bytes hold its connection forever.
    fn read_until(&mut self, deadline: Instant) -> Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return SlowSnafu.fail();
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; READ_BYTES];
        match (&mut &**self.stream).read(&mut chunk) {
            Ok(0) => EndedSnafu.fail(),
            Ok(count) => {
                self.buf.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                SlowSnafu.fail()
            }
            Err(_) => EndedSnafu.fail(),
        }
    }

    /// Answers with a problem document, if the caller is still connected, and ends the connection.
    ///
    /// `head` is that of the request, if it was read.
    fn refuse(&mut self, error: &Error, head: Option<&Head>) -> bool {
        let detail = error.to_string();
        let bad_request = |status| {
            let problem = Problem::not_run(Kind::BadRequest(status), &*detail);
            unread_response(problem, head)
        };
        let response = match error {
            Error::Ended => return false,
            Error::Slow => bad_request(408),
            Error::Unreadable { source } => bad_request(source.status()),
            Error::BodyBudgetExhausted => (self.front.limits.no_room)(&detail, head),
        };
        metrics::counter!("requests_unreadable").increment(1);
        if self.write(response, true, false) {
            self.linger();
        }
        false
    }

    /// Lingering close: reads and discards what the caller still sends. Closing a connection with
    /// unread bytes resets it, and the reset may overtake the answer.
    fn linger(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let deadline = Instant::now() + LINGER;
        let mut dropped = 0;
        while dropped < LINGER_BYTES {
            self.buf.clear();
            if self.read_until(deadline).is_err() {
                return;
            }
            dropped += self.buf.len();
        }
    }

    fn write(&self, response: Response, is_last: bool, is_head: bool) -> bool {
        let Some(bytes) = encode(response, is_last, is_head) else {
            return false;
        };
        (&mut &**self.stream).write_all(&bytes).is_ok()
    }
}

/// The answer if there is no room for a connection, or for the body of the request with this head.
#[must_use]
pub fn no_room(detail: &str, head: Option<&Head>) -> Response {
    let problem = Problem::not_run(Kind::EntryFull, detail).retry_after(OVERLOAD_RETRY_AFTER);
    unread_response(problem, head)
}

/// The answer to a request that wasn't read completely. An earlier one may have submitted the job.
fn unread_response(problem: Problem, head: Option<&Head>) -> Response {
    let problem = match head {
        Some(head) => exchange::of_job(problem, head),
        None => problem,
    };
    exchange::problem_response(&problem)
}

/// The bytes of the only answer on a connection.
#[must_use]
pub fn last_answer(response: Response) -> Vec<u8> {
    encode(response, true, false).unwrap_or_default()
}

/// Headers that [`encode`] sets itself.
const FRAMING: [&str; 3] = ["connection", "content-length", "transfer-encoding"];

/// The answer as bytes; `None` if its body can't be read.
///
/// The body is in memory, so `Content-Length` is always known and callers detect a truncated
/// answer.
fn encode(response: Response, is_last: bool, is_head: bool) -> Option<Vec<u8>> {
    let status = response.status_code;
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut body = Vec::new();
    reader.read_to_end(&mut body).ok()?;
    let mut bytes = Vec::with_capacity(body.len() + 512);
    // Writing to a `Vec` doesn't fail.
    let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in &response.headers {
        let is_framing = FRAMING.iter().any(|f| name.eq_ignore_ascii_case(f));
        // A line break in a value would start another header.
        if !is_framing && !value.contains(['\r', '\n']) {
            let _ = write!(bytes, "{name}: {value}\r\n");
        }
    }
    let has_length = !matches!(status, 100..=199 | 204 | 304);
    // An answer to HEAD has no body, and no length is better than a wrong one.
    if has_length && !is_head {
        let _ = write!(bytes, "Content-Length: {}\r\n", body.len());
    }
    if is_last {
        let _ = write!(bytes, "Connection: close\r\n");
    }
    let _ = write!(bytes, "\r\n");
    if has_length && !is_head {
        bytes.extend_from_slice(&body);
    }
    Some(bytes)
}

fn reason(status: u16) -> &'static str {
    ureq::http::StatusCode::from_u16(status)
        .ok()
        .and_then(|code| code.canonical_reason())
        .unwrap_or("")
}
