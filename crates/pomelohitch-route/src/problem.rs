//! Error answers made by the entry instance itself, as problem documents (RFC 9457).

use std::time::Duration;

use serde::Serialize;

/// Whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly did not and will not run: no byte of it was handed to a connection, or the
    /// runner reported that it did not start it.
    No,
    /// It may have run, may be running, or may still run.
    Unknown,
}

/// An error answer of the entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The kind of problem.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Ran,
    /// Explanation of this occurrence.
    pub detail: Box<str>,
    /// The peer at which it occurred; `None` if at the entry instance itself.
    pub peer: Option<Box<str>>,
    /// Time after which to retry; sent only if the request did not run.
    pub retry_after: Option<Duration>,
}

/// The kind of problem, which determines the status, the title and the step at which it occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed or not supported; the value is the HTTP status.
    BadRequest(u16),
    /// The key is missing or not valid.
    UnknownKey,
    /// There is no such service or path.
    NotFound,
    /// The key cannot be checked now, because this entry's copy of the configuration is too old.
    StaleKnowledge,
    /// The entry is shutting down or has reached its maximum number of connections.
    EntryFull,
    /// The queue is full, or the expected wait exceeds the deadline.
    QueueFull,
    /// The deadline passed while the request was queued.
    WaitedTooLong,
    /// The team has reached its limit of running requests.
    TeamLimit,
    /// No runner accepts requests.
    NoRunner,
    /// The runner could not be reached, or refused to start the request.
    RunnerRefused,
    /// The answer was lost, truncated or too large.
    AnswerLost,
    /// The answer did not arrive before the deadline.
    AnswerLate,
    /// A request with this idempotency key is running or has run, so it is not run again.
    DuplicateKey,
    /// The idempotency key could not be checked with its home.
    KeyUnchecked,
}

/// Prefix of the `type` of every problem.
const TYPE_PREFIX: &str = "urn:pomelohitch:problem:";

impl Kind {
    /// The HTTP status, the last part of the `type`, the title and the step.
    fn properties(self) -> (u16, &'static str, &'static str, &'static str) {
        match self {
            Kind::BadRequest(status) => (status, "bad-request", "Bad request", "read request"),
            Kind::UnknownKey => (
                401,
                "unknown-key",
                "Key missing or not in force",
                "check key",
            ),
            Kind::NotFound => (404, "not-found", "No such service", "find service"),
            Kind::StaleKnowledge => (503, "stale-knowledge", "Entry is out of touch", "check key"),
            Kind::EntryFull => (503, "entry-full", "Entry takes no more requests", "accept"),
            Kind::QueueFull => (
                503,
                "queue-full",
                "No capacity before the deadline",
                "admit",
            ),
            Kind::WaitedTooLong => (503, "waited-too-long", "No capacity in time", "queue"),
            Kind::TeamLimit => (
                429,
                "team-limit",
                "Upper limit of the team reached",
                "admit",
            ),
            Kind::NoRunner => (503, "no-runner", "No runner takes requests", "pick runner"),
            Kind::RunnerRefused => (503, "runner-refused", "Runner didn't start it", "send"),
            Kind::AnswerLost => (502, "answer-lost", "Answer lost", "receive"),
            Kind::AnswerLate => (504, "answer-late", "No answer in time", "receive"),
            Kind::DuplicateKey => (
                409,
                "duplicate-key",
                "Idempotency key in use",
                "check repeat",
            ),
            Kind::KeyUnchecked => (
                503,
                "key-unchecked",
                "Repeat can't be ruled out",
                "check repeat",
            ),
        }
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        self.properties().0
    }

    /// The step at which it occurs.
    #[must_use]
    pub fn step(self) -> &'static str {
        self.properties().3
    }
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: Box<str>,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: Ran,
    step: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer: Option<&'a str>,
}

impl Problem {
    /// Creates a problem of a request that certainly did not run.
    #[must_use]
    pub fn not_run(kind: Kind, detail: impl Into<Box<str>>) -> Problem {
        Problem {
            kind,
            ran: Ran::No,
            detail: detail.into(),
            peer: None,
            retry_after: None,
        }
    }

    /// Creates a problem of a request that may have run.
    #[must_use]
    pub fn unknown(kind: Kind, detail: impl Into<Box<str>>) -> Problem {
        Problem {
            ran: Ran::Unknown,
            ..Problem::not_run(kind, detail)
        }
    }

    /// Sets the peer at which the problem occurred.
    #[must_use]
    pub fn at(self, peer: impl Into<Box<str>>) -> Problem {
        Problem {
            peer: Some(peer.into()),
            ..self
        }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(self, after: Duration) -> Problem {
        Problem {
            retry_after: Some(after),
            ..self
        }
    }

    /// Serialises the problem as `application/problem+json`.
    ///
    /// # Panics
    /// Never: strings and integers always serialise.
    #[must_use]
    pub fn document(&self) -> Vec<u8> {
        let (status, name, title, step) = self.kind.properties();
        let document = Document {
            r#type: format!("{TYPE_PREFIX}{name}").into(),
            title,
            status,
            detail: &self.detail,
            ran: self.ran,
            step,
            peer: self.peer.as_deref(),
        };
        serde_json::to_vec(&document).expect("strings and integers always serialise")
    }

    /// Value of the `Retry-After` header in seconds, rounded up, at least 1. `None` if the request
    /// may have run.
    #[must_use]
    pub fn retry_after_secs(&self) -> Option<u64> {
        let after = self.retry_after.filter(|_| self.ran == Ran::No)?;
        let whole = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        Some(whole.max(1))
    }
}
