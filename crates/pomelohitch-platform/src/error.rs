//! Errors of calls to the platform.

use snafu::Snafu;

/// Whether a failed call had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It had none: it only reads, nothing was sent, or the platform refused it.
    None,
    /// It may have had one: the answer was lost, late or unreadable, or reports a server error.
    Unknown,
}

/// The error of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The platform couldn't be reached, or its answer didn't arrive.
    #[snafu(display("{step} at {peer}: {source}"))]
    Transport {
        /// The operation that the call was part of.
        step: &'static str,
        /// The base address called.
        peer: Box<str>,
        /// Whether the call had an effect.
        effect: Effect,
        /// The error of the HTTP client.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The platform answered with a status other than 200.
    #[snafu(display("{step} at {peer}: status {status}: {body}"))]
    Status {
        /// The operation that the call was part of.
        step: &'static str,
        /// The base address called.
        peer: Box<str>,
        /// Whether the call had an effect.
        effect: Effect,
        /// The HTTP status.
        status: u16,
        /// The start of the body.
        body: Box<str>,
    },
    /// The request or the answer couldn't be encoded or decoded as JSON.
    #[snafu(display("{step} at {peer}: unreadable answer: {source}"))]
    Decode {
        /// The operation that the call was part of.
        step: &'static str,
        /// The base address called.
        peer: Box<str>,
        /// The error of the JSON library.
        source: serde_json::Error,
    },
    /// The log no longer keeps the requested offset.
    #[snafu(display("offset {from} of {stream} is no longer kept; the oldest is {first}"))]
    Trimmed {
        /// The stream.
        stream: Box<str>,
        /// The requested offset.
        from: u64,
        /// The oldest offset that the log keeps.
        first: u64,
    },
    /// The log's head is below the offset read so far: the log lost its newest records.
    #[snafu(display("{stream} ends at {head}, but was read up to {next}"))]
    HeadRegressed {
        /// The stream.
        stream: Box<str>,
        /// The offset of the next record to read.
        next: u64,
        /// The log's head.
        head: u64,
    },
    /// The log's answer skips a record.
    #[snafu(display("{stream} has {offset} where {next} was expected"))]
    Gap {
        /// The stream.
        stream: Box<str>,
        /// The offset of the next record to read.
        next: u64,
        /// The offset of the record in its place.
        offset: u64,
    },
}

impl Error {
    /// Whether the failed call had an effect.
    #[must_use]
    pub fn effect(&self) -> Effect {
        match self {
            Error::Transport { effect, .. } | Error::Status { effect, .. } => *effect,
            Error::Decode { .. } => Effect::Unknown,
            Error::Trimmed { .. } | Error::HeadRegressed { .. } | Error::Gap { .. } => Effect::None,
        }
    }

    /// The HTTP status, if the platform answered with one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// The result of this crate's calls.
pub type Result<T, E = Error> = std::result::Result<T, E>;
