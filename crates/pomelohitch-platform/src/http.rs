//! A client for JSON over HTTP whose calls have a timeout, and whose errors say whether the call
//! may have had an effect.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DecodeSnafu, Effect, Error, Result, StatusSnafu, TransportSnafu};

/// How much of the answer's body an error keeps.
const MAX_ERROR_BODY_BYTES: usize = 512;

/// Largest answer that is read. The library's default of 10 MiB is less than a thousand large
/// records take; a reader would then fail at the same offset on every attempt.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// A client of one base address that reuses connections.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    base: Box<str>,
}

impl Client {
    /// A client of `base`, such as `http://127.0.0.1:80`; `timeout` applies to each call as a
    /// whole.
    #[must_use]
    pub fn new(base: &str, timeout: Duration) -> Client {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build()
            .into();
        Client {
            agent,
            base: base.trim_end_matches('/').into(),
        }
    }

    /// The base address.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.base
    }

    /// Sends a GET request for `path` and decodes the answer.
    ///
    /// # Errors
    /// If the platform can't be reached, refuses, or its answer can't be decoded.
    pub fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T> {
        let url = format!("{}{path}", self.base);
        let answer = self.agent.get(&url).call();
        self.read(step, answer, Effect::None)
    }

    /// Sends `body` to `path` in a POST request and decodes the answer.
    ///
    /// # Errors
    /// If the platform can't be reached, refuses, or its answer can't be decoded.
    pub fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let url = format!("{}{path}", self.base);
        let body = serde_json::to_vec(body).context(DecodeSnafu {
            step,
            peer: self.peer(),
        })?;
        let req = self
            .agent
            .post(&url)
            .header("Content-Type", "application/json");
        self.read(step, req.send(&body[..]), Effect::Unknown)
    }

    fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
        effect_if_lost: Effect,
    ) -> Result<T> {
        let peer = self.peer();
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(source) => {
                let effect = if is_unsent(&source) {
                    Effect::None
                } else {
                    effect_if_lost
                };
                return Err(source).context(TransportSnafu { step, peer, effect });
            }
        };
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let body = body.read_to_vec().context(TransportSnafu {
            step,
            peer,
            effect: effect_if_lost,
        })?;
        let status = answer.status().as_u16();
        if status == 200 {
            return serde_json::from_slice(&body).context(DecodeSnafu { step, peer });
        }
        let effect = effect_of(status, effect_if_lost);
        let body = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BODY_BYTES)]);
        StatusSnafu {
            step,
            peer,
            effect,
            status,
            body,
        }
        .fail()
    }
}

/// Whether the connection was never established, so that no byte of the request was sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        _ => false,
    }
}

/// The effect of a call that failed with this status. With 4xx and 503 the platform did nothing;
/// any other status says no more than a lost answer.
fn effect_of(status: u16, effect_if_lost: Effect) -> Effect {
    match status {
        400..=499 | 503 => Effect::None,
        _ => effect_if_lost,
    }
}

impl Error {
    /// Whether the platform refused with this status.
    #[must_use]
    pub fn is_status(&self, status: u16) -> bool {
        self.status() == Some(status)
    }
}
