//! A small HTTP/1.1 server and client over std sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as read from a connection.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// A parameter of the query, percent-decoded.
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.into_iter().find(|(n, _)| *n == name)?;
        let (mut out, bytes) = (Vec::new(), value.as_bytes());
        let mut at = 0;
        while at < bytes.len() {
            let hex = value
                .get(at + 1..at + 3)
                .and_then(|h| u8::from_str_radix(h, 16).ok());
            match (bytes[at], hex) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    at += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// What a server does with a request.
pub enum Reply {
    Full(u16, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    pub fn json(status: u16, text: impl Into<String>) -> Reply {
        Reply::Full(status, text.into().into_bytes())
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Reads one message; returns the first line, the headers and the body.
fn read_message(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = find(buf, b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    buf.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, v)| v.parse::<usize>().ok())
        .unwrap_or(0);
    while buf.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..count]);
    }
    let rest = buf.split_off(length);
    let body = std::mem::replace(buf, rest);
    Ok(Some((first, headers, body)))
}

/// Serves the requests of one connection, one after another.
pub fn serve(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Reply) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Ok(Some((first, headers, body))) = read_message(&mut stream, &mut buf) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let req = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Reply::Full(status, body) = handler(&req) else {
            break;
        };
        let mut out = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(&body);
        if stream.write_all(&out).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends a request over a connection of its own; an error if no answer is complete in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<(u16, Vec<u8>)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    let _ = stream.set_nodelay(true);
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut out = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut buf = Vec::new();
    let message = read_message(&mut stream, &mut buf)?;
    let broken = || std::io::Error::other("the connection ended without an answer");
    let (first, _, body) = message.ok_or_else(broken)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .ok_or_else(broken)?;
    Ok((status, body))
}
