//! The append-only log service.

use std::fmt;
use std::time::Duration;

use pomelohitch_core::id::Offset;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::http::Client;

/// The offsets of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record.
    pub first: Offset,
    /// The offset after the last one.
    pub next: Offset,
}

/// A record with its offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its offset.
    pub offset: Offset,
    /// Its content.
    pub data: Box<str>,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// The log's head: the offset that the next append gets.
    pub next: Offset,
    /// The records, in order, without gaps.
    pub records: Vec<Stored>,
}

/// Parameters of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read<'a> {
    /// The stream.
    pub stream: &'a str,
    /// The first offset to read.
    pub from: Offset,
    /// Maximum number of records.
    pub max: usize,
    /// Maximum time to wait for the first record.
    pub wait: Duration,
}

impl Default for Read<'_> {
    fn default() -> Self {
        Read {
            stream: "",
            from: 0,
            max: 1000,
            wait: Duration::ZERO,
        }
    }
}

/// Appends records to a stream, all or none.
pub type AppendFn = Box<dyn Fn(&str, &[Box<str>]) -> Result<Appended> + Send + Sync>;
/// Reads records of a stream.
pub type ReadFn = Box<dyn Fn(&Read<'_>) -> Result<Batch> + Send + Sync>;

/// A client of the log service.
pub struct Log {
    /// Appends records to a stream, all or none.
    pub append: AppendFn,
    /// Reads records of a stream.
    pub read: ReadFn,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Log")
    }
}

#[derive(Deserialize)]
struct TrimmedAnswer {
    first: Offset,
}

impl Log {
    /// A client of the log at `base`; `timeout` applies to each call.
    ///
    /// A read waits for a record for at most half of it. If the log answered only after the
    /// timeout, reads would fail and count as an outage whenever no record is appended for a while.
    #[must_use]
    pub fn http(base: &str, timeout: Duration) -> Log {
        let append_client = Client::new(base, timeout);
        let read_client = Client::new(base, timeout);
        Log {
            append: Box::new(move |stream, records| {
                append_client.post("append", &format!("/log/{stream}"), &records)
            }),
            read: Box::new(move |read| {
                let wait = read.wait.min(timeout / 2);
                read_http(&read_client, &Read { wait, ..*read })
            }),
        }
    }
}

fn read_http(client: &Client, read: &Read<'_>) -> Result<Batch> {
    let Read {
        stream,
        from,
        max,
        wait,
    } = read;
    let wait = wait.as_millis();
    let path = format!("/log/{stream}?from={from}&max={max}&wait_ms={wait}");
    client
        .get("read", &path)
        .map_err(|error| detect_trimmed(error, read))
}

/// Turns status 410 into [`Error::Trimmed`], which must be distinct from other failures: a reader
/// that only retried would never get another record.
fn detect_trimmed(error: Error, read: &Read<'_>) -> Error {
    let Error::Status {
        status: 410, body, ..
    } = &error
    else {
        return error;
    };
    match serde_json::from_str::<TrimmedAnswer>(body) {
        Ok(TrimmedAnswer { first }) => Error::Trimmed {
            stream: read.stream.into(),
            from: read.from,
            first,
        },
        Err(_) => error,
    }
}
