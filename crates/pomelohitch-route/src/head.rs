//! Parses the head of a caller's request, within size limits.
//!
//! Performs no I/O: the caller reads from the connection and decides how long to wait for more
//! bytes.

use snafu::Snafu;

use crate::headers::Headers;

/// Size limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the head in bytes, including the empty line that ends it.
    pub head_bytes: usize,
    /// Maximum length of the body in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
        }
    }
}

/// Maximum number of headers.
pub const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The method, as sent.
    pub method: Box<str>,
    /// Path and query, as sent; starts with `/`.
    pub target: Box<str>,
    /// All headers, in the order received.
    pub headers: Headers,
    /// Length of the head in bytes.
    pub length: usize,
    /// Length of the body in bytes.
    pub body_length: usize,
    /// Whether the caller keeps the connection open for another request.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Why a request cannot be parsed. The connection has to be closed after any of these, since it is
/// unknown where the next request begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The bytes are not well-formed HTTP/1.1.
    #[snafu(display("the request isn't well-formed HTTP/1.1"))]
    Malformed,
    /// The head is longer than [`Limits::head_bytes`] or has more than [`MAX_HEADERS`] headers.
    #[snafu(display("the head of the request is too large"))]
    HeadTooLarge,
    /// The body is longer than [`Limits::body_bytes`].
    #[snafu(display("the body of the request is too large"))]
    BodyTooLarge,
    /// The length of the body is stated more than once or is not a number.
    ///
    /// Two parsers that use different values would see different requests in the same bytes, and a
    /// caller could smuggle a request past the key check.
    #[snafu(display("the length of the body is ambiguous"))]
    AmbiguousLength,
    /// The body is chunked, so its total length is not stated.
    #[snafu(display("the length of the body has to be stated by Content-Length"))]
    LengthRequired,
    /// The `Expect` header has a value other than `100-continue`.
    #[snafu(display("the expectation can't be met"))]
    Expectation,
}

impl Error {
    /// The HTTP status for this error.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Error::Malformed | Error::AmbiguousLength => 400,
            Error::LengthRequired => 411,
            Error::BodyTooLarge => 413,
            Error::Expectation => 417,
            Error::HeadTooLarge => 431,
        }
    }
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Parses a head at the start of `buf`; `None` if more bytes are needed.
///
/// # Errors
/// If the request is malformed, too large or not supported.
pub fn parse(buf: &[u8], limits: &Limits) -> Result<Option<Head>> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut slots);
    let length = match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() >= limits.head_bytes => {
            return HeadTooLargeSnafu.fail();
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return HeadTooLargeSnafu.fail(),
        Err(_) => return MalformedSnafu.fail(),
    };
    if length > limits.head_bytes {
        return HeadTooLargeSnafu.fail();
    }
    let version = req.version.unwrap_or_default();
    let headers = read_headers(req.headers)?;
    let head = Head {
        method: req.method.unwrap_or_default().into(),
        target: req.path.unwrap_or_default().into(),
        length,
        body_length: body_length(&headers, limits)?,
        keep_alive: keep_alive(&headers, version),
        expects_continue: expects_continue(&headers)?,
        headers,
    };
    let has_host = head.headers.all("Host").count() == 1 || version == 0;
    if !has_host || !head.target.starts_with('/') {
        return MalformedSnafu.fail();
    }
    Ok(Some(head))
}

fn read_headers(raw: &[httparse::Header<'_>]) -> Result<Headers> {
    let mut headers = Headers::default();
    for header in raw {
        let Ok(value) = std::str::from_utf8(header.value) else {
            return MalformedSnafu.fail();
        };
        headers.add(header.name, value);
    }
    Ok(headers)
}

fn body_length(headers: &Headers, limits: &Limits) -> Result<usize> {
    let mut lengths = headers.all("Content-Length");
    let first = lengths.next();
    let has_more = lengths.next().is_some();
    let is_chunked = headers.get("Transfer-Encoding").is_some();
    if has_more || (is_chunked && first.is_some()) {
        return AmbiguousLengthSnafu.fail();
    }
    if is_chunked {
        return LengthRequiredSnafu.fail();
    }
    let Some(text) = first else { return Ok(0) };
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return AmbiguousLengthSnafu.fail();
    }
    // The text consists of digits only, so parsing fails only on overflow.
    match text.parse() {
        Ok(length) if length <= limits.body_bytes => Ok(length),
        _ => BodyTooLargeSnafu.fail(),
    }
}

fn keep_alive(headers: &Headers, version: u8) -> bool {
    let says = |word| headers.has_token("Connection", word);
    !says("close") && (version == 1 || says("keep-alive"))
}

fn expects_continue(headers: &Headers) -> Result<bool> {
    match headers.get("Expect") {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => ExpectationSnafu.fail(),
    }
}
