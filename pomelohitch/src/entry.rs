//! Client of the administration API of entry instances.

use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// A request to the administration API failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No address of an entry instance is given.
    #[snafu(display("no entry instance is named; give --admin-url or POMELOHITCH_ADMIN_URL"))]
    NoUrl,
    /// No operators' key is given.
    #[snafu(display("no operators' key is given; set POMELOHITCH_ADMIN_KEY"))]
    NoKey,
    /// The entry instance is unreachable, or its response did not arrive in time.
    #[snafu(display("{step} at {entry}: {source}; try another entry instance"))]
    Transport {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The HTTP client's error.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The entry instance rejects the operators' key (status 401).
    #[snafu(display("{step} at {entry}: the operators' key isn't in force there"))]
    UnknownKey {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
    },
    /// The entry instance answers a GET with a status other than 200.
    #[snafu(display("{step} at {entry}: status {status}: {body}"))]
    Status {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The HTTP status.
        status: u16,
        /// Body of the response.
        body: Box<str>,
    },
    /// The response body does not decode as the expected type.
    #[snafu(display("{step} at {entry}: cannot decode the response (other version?): {source}"))]
    Decode {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The JSON decoder's error.
        source: serde_json::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Entry instances, tried in order until one is reachable.
#[derive(Debug, Clone, Default)]
pub struct AdminClient {
    /// Addresses of their operators' ports, such as `http://127.0.0.1:80`.
    pub urls: Vec<Box<str>>,
    /// The operators' key.
    pub key: Option<Box<str>>,
    /// Timeout of one call.
    pub timeout: Duration,
}

const UNAUTHORIZED: u16 = 401;

impl AdminClient {
    /// Sends a GET for `path` to the entry instances in order until one is reachable, and decodes
    /// its response. `step` names the operation in errors.
    ///
    /// # Errors
    /// The error of the last entry instance that was tried.
    pub fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T> {
        self.try_each(|url| {
            let (_, body) = self.call(step, url, path, None)?;
            serde_json::from_str(&body).context(DecodeSnafu { step, entry: url })
        })
    }

    /// Posts `body` to the entry instances in order until one is reachable, and returns the status
    /// and body of its response; of the statuses only 401 is an error.
    ///
    /// # Errors
    /// The error of the last entry instance that was tried.
    pub fn post(&self, step: &'static str, path: &str, body: &str) -> Result<(u16, String)> {
        self.try_each(|url| self.call(step, url, path, Some(body)))
    }

    fn try_each<T>(&self, call_one: impl Fn(&str) -> Result<T>) -> Result<T> {
        let mut last = Error::NoUrl;
        for url in &self.urls {
            match call_one(url.trim_end_matches('/')) {
                Err(error @ Error::Transport { .. }) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    fn call(
        &self,
        step: &'static str,
        entry: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<(u16, String)> {
        let Some(key) = &self.key else {
            return NoKeySnafu.fail();
        };
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(self.timeout))
            .http_status_as_error(false)
            .build()
            .into();
        let url = format!("{entry}{path}");
        let bearer = format!("Bearer {key}");
        let response = match body {
            Some(body) => agent.post(&url).header("Authorization", bearer).send(body),
            None => agent.get(&url).header("Authorization", bearer).call(),
        };
        let mut response = response.context(TransportSnafu { step, entry })?;
        let text = response.body_mut().read_to_string();
        let text = text.context(TransportSnafu { step, entry })?;
        let status = response.status().as_u16();
        match status {
            UNAUTHORIZED => UnknownKeySnafu { step, entry }.fail(),
            _ if body.is_none() && status != 200 => StatusSnafu {
                step,
                entry,
                status,
                body: text,
            }
            .fail(),
            _ => Ok((status, text)),
        }
    }
}
