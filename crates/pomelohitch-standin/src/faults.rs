//! Faults that the stand-ins share, and the server of the control address.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::server::{Answer, Options, Request, Server};

/// Faults of calls to the platform: the field `calls` in the faults of log, instances and workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallFaults {
    /// Every call is answered with `503` and has no effect.
    pub down: bool,
    /// Delay of every call before it takes effect.
    #[serde(rename = "delay_ms", with = "pomelohitch_core::millis")]
    pub delay: Duration,
    /// This many of the next calls other than `GET` take effect, and their connections are closed
    /// without an answer.
    pub lose_answers: u32,
}

/// A value that the handle, the control address and the service share.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<T> Shared<T> {
    /// Shares `value`.
    #[must_use]
    pub fn new(value: T) -> Shared<T> {
        Shared(Arc::new(Mutex::new(value)))
    }

    /// Locks the value, also after a panic of a holder: every update leaves the value consistent.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a call with `answer_call` under the call faults that `select` returns.
pub(crate) fn with_call_faults<F>(
    faults: &Shared<F>,
    select: fn(&mut F) -> &mut CallFaults,
    req: &Request,
    answer_call: impl FnOnce() -> Answer,
) -> Answer {
    let delay = select(&mut faults.lock()).delay;
    std::thread::sleep(delay);
    if select(&mut faults.lock()).down {
        return Answer::text(503, "down");
    }
    let answer = answer_call();
    let mut faults = faults.lock();
    let faults = select(&mut faults);
    if &*req.method == "GET" {
        // A read that was waiting when the service went down is refused as well.
        return if faults.down {
            Answer::text(503, "down")
        } else {
            answer
        };
    }
    if faults.lose_answers == 0 {
        return answer;
    }
    faults.lose_answers -= 1;
    Answer::Close
}

/// Starts the server of a control address: `set` replaces the faults, `ledger` returns the counts.
pub(crate) fn start_control<F, L>(
    set: impl Fn(F) + Send + Sync + 'static,
    ledger: impl Fn() -> L + Send + Sync + 'static,
) -> Server
where
    F: DeserializeOwned,
    L: Serialize,
{
    let handler = move |req: &Request| match (&*req.method, &*req.path) {
        ("POST", "/faults") => match req.json() {
            Ok(faults) => {
                set(faults);
                Answer::json(200, &serde_json::json!({}))
            }
            Err(answer) => answer,
        },
        ("GET", "/ledger") => Answer::json(200, &ledger()),
        _ => Answer::text(404, "not found"),
    };
    Server::start(&Options::default(), Box::new(handler))
}
