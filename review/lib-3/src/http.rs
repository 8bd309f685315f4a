//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.into_iter().find(|(k, _)| *k == name)?;
        Some(unescape(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < b.len() {
        let hex = (b[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(c) => {
                out.push(c);
                at += 3;
            }
            None => {
                out.push(b[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub enum Reply {
    Json(u16, String),
    Bytes(u16, Vec<u8>),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves each connection on a thread of its own, for as long as the process lives.
pub fn serve(addr: SocketAddr, handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = connection(&stream, &handler);
            });
        }
    });
    Ok(addr)
}

fn connection(stream: &TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let Some(req) = read_request(&mut reader)? else {
            return Ok(());
        };
        let (status, kind, body) = match handler(&req) {
            Reply::Json(status, text) => (status, "application/json", text.into_bytes()),
            Reply::Bytes(status, bytes) => (status, "application/octet-stream", bytes),
            Reply::Close => return Ok(()),
        };
        let mut out = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend(body);
        (&mut &*stream).write_all(&out)?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = length(&headers);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.push((k.trim().to_owned(), v.trim().to_owned()));
        }
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(k, _)| k.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

/// One call on a connection of its own; the error says why there was no complete answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let run = || -> std::io::Result<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (k, v) in headers {
            head.push_str(&format!("{k}: {v}\r\n"));
        }
        stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let headers = read_headers(&mut reader)?;
        let mut body = vec![0; length(&headers)];
        reader.read_exact(&mut body)?;
        Ok((status, body))
    };
    run().map_err(|error| error.to_string())
}

pub fn body_json(req: &Request) -> Json {
    Json::parse(&req.body).unwrap_or(Json::Null)
}
