//! Deadline, priority and idempotency, as the caller states them in headers.

use std::time::Duration;

use snafu::Snafu;

use crate::headers::Headers;

/// Priority of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// An interactive request; served first.
    #[default]
    Quick,
    /// It may wait while quick requests are served.
    Patient,
}

/// Terms that a caller states for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key: of the requests with the same key, one runs.
    pub key: Option<Box<str>>,
    /// Time that the caller waits for the answer.
    pub timeout: Duration,
    /// Priority of the request.
    pub priority: Priority,
}

/// A header has an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{name} has to be {expected}"))]
pub struct Error {
    name: &'static str,
    expected: &'static str,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum timeout that a caller may state.
pub const MAX_TIMEOUT: Duration = Duration::from_mins(10);
/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

const IDEMPOTENT: &str = "Request-Idempotent";
const KEY: &str = "Idempotency-Key";
const TIMEOUT: &str = "Request-Timeout-Ms";
const PRIORITY: &str = "Request-Priority";

impl Terms {
    /// Reads the terms of a request with `method`. Without a stated timeout, `default` applies.
    ///
    /// # Errors
    /// If a header is invalid: ignoring it could run a request twice.
    pub fn read(method: &str, headers: &Headers, default: Duration) -> Result<Terms> {
        Ok(Terms {
            idempotent: read_idempotent(method, headers)?,
            key: read_key(headers)?,
            timeout: read_timeout(headers, default)?,
            priority: read_priority(headers)?,
        })
    }
}

fn read_idempotent(method: &str, headers: &Headers) -> Result<bool> {
    match single(headers, IDEMPOTENT, "stated once")? {
        None => Ok(is_idempotent_method(method)),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => invalid(IDEMPOTENT, "true or false"),
    }
}

/// Whether RFC 9110, section 9.2.2 defines the method as idempotent.
fn is_idempotent_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
    )
}

fn read_key(headers: &Headers) -> Result<Option<Box<str>>> {
    let expected = "1 to 128 bytes, stated once";
    match single(headers, KEY, expected)? {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => invalid(KEY, expected),
        key => Ok(key.map(Into::into)),
    }
}

fn read_timeout(headers: &Headers, default: Duration) -> Result<Duration> {
    let expected = "1 to 600000, stated once";
    let Some(text) = single(headers, TIMEOUT, expected)? else {
        return Ok(default);
    };
    let timeout = text.parse().ok().map(Duration::from_millis);
    match timeout {
        Some(timeout) if !timeout.is_zero() && timeout <= MAX_TIMEOUT => Ok(timeout),
        _ => invalid(TIMEOUT, expected),
    }
}

fn read_priority(headers: &Headers) -> Result<Priority> {
    match single(headers, PRIORITY, "stated once")? {
        None | Some("quick") => Ok(Priority::Quick),
        Some("patient") => Ok(Priority::Patient),
        Some(_) => invalid(PRIORITY, "quick or patient"),
    }
}

fn single<'a>(
    headers: &'a Headers,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<&'a str>> {
    let mut values = headers.all(name);
    let first = values.next();
    let more = values.next();
    if more.is_some() {
        return invalid(name, expected);
    }
    Ok(first)
}

fn invalid<T>(name: &'static str, expected: &'static str) -> Result<T> {
    Err(Error { name, expected })
}
