//! Forwards callers' requests to a leader in another process.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::call::{self, Effect, Request};
use pomelohitch_route::Head;
use pomelohitch_sched::attempts::GONE;
use pomelohitch_sched::forwarding::Window;
use pomelohitch_sched::{Epoch, Steady};
use tracing::info;

use super::callers::{ATTEMPT_TIMEOUT, Attempt, Reply, json};
use super::clock;
use super::shared::Shared;
use super::wire::{self, Leader};
use crate::front::Incoming;

/// How long a request waits for a slot of the window.
const SLOT_TIMEOUT: Duration = Duration::from_millis(400);

/// The requests that this process has forwarded to the leader and that await an answer.
#[derive(Debug, Default)]
pub struct Forwarding {
    state: Mutex<State>,
    slot_released: Condvar,
}

/// State for one leadership.
#[derive(Debug, Default)]
struct State {
    epoch: Epoch,
    window: Window,
    /// Queues of which the leader refuses new jobs, with the end of the refusal; by [`queue_key`].
    refused_queues: HashMap<Box<str>, Steady>,
}

/// One request's slot of the window.
#[derive(Debug)]
struct Slot<'a> {
    forwarding: &'a Forwarding,
    /// Leadership to whose window the slot belongs.
    epoch: Epoch,
    acquired_at: Steady,
}

impl Forwarding {
    /// Number of requests that await an answer of the newest leader.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lock().window.in_flight()
    }

    /// Acquires a slot for a request to the leader with `epoch`.
    ///
    /// # Errors
    /// If none becomes free in time: how long the caller should wait before a retry.
    fn acquire(&self, epoch: Epoch, timeout: Duration) -> Result<Slot<'_>, Duration> {
        let mut state = self.lock();
        if state.epoch < epoch {
            *state = State {
                epoch,
                ..State::default()
            };
        }
        let is_full = |state: &mut State| !state.window.try_acquire();
        let waited = self
            .slot_released
            .wait_timeout_while(state, timeout, is_full);
        let (state, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        if waited.timed_out() {
            return Err(state.window.retry_after());
        }
        // During the wait, the window may have been replaced by that of a later leader.
        Ok(Slot {
            forwarding: self,
            epoch: state.epoch,
            acquired_at: clock::steady(),
        })
    }

    /// Records that the leader with `epoch` refuses new jobs of a queue for the given time.
    fn record_refusal(&self, epoch: Epoch, queue: Box<str>, time: Duration) {
        let now = clock::steady();
        let mut state = self.lock();
        if state.epoch == epoch {
            state.refused_queues.retain(|_, until| *until > now);
            state.refused_queues.insert(queue, now + time);
        }
    }

    /// How much longer the leader with `epoch` refuses new jobs of a queue, if it does.
    fn refused_for(&self, epoch: Epoch, queue: &str) -> Option<Duration> {
        let state = self.lock();
        let until = state
            .refused_queues
            .get(queue)
            .filter(|_| state.epoch == epoch)?;
        let remaining = until.saturating_sub(clock::steady());
        (!remaining.is_zero()).then_some(remaining)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot<'_> {
    /// Releases the slot; `change` reports to the window how the request ended.
    fn release(self, change: impl FnOnce(&mut Window, Steady, Duration)) {
        let now = clock::steady();
        let mut state = self.forwarding.lock();
        if state.epoch == self.epoch {
            change(&mut state.window, now, now.saturating_sub(self.acquired_at));
        }
        drop(state);
        self.forwarding.slot_released.notify_one();
    }
}

/// Forwards a request and waits for the answer, for at most `remaining`.
pub(super) fn forward(
    shared: &Shared,
    leader: &Leader,
    incoming: &Incoming,
    remaining: Duration,
) -> Attempt {
    let started_at = clock::steady();
    let slot = shared
        .forwarding
        .acquire(leader.epoch, SLOT_TIMEOUT.min(remaining));
    let slot = match slot {
        Ok(slot) => slot,
        Err(retry_after) => return Attempt::Overloaded(retry_after),
    };
    let waited = clock::steady().saturating_sub(started_at);
    let timeout = ATTEMPT_TIMEOUT.min(remaining.saturating_sub(waited));
    if timeout.is_zero() {
        slot.release(|window, _, _| window.cancelled());
        return Attempt::NotExecuted;
    }
    let queue = queue_key(incoming);
    let refused_for = shared.forwarding.refused_for(leader.epoch, &queue);
    let refused_for = refused_for.filter(|_| &*incoming.head.method == "POST");
    let payload = if refused_for.is_some() {
        Payload::Confirmation
    } else {
        Payload::Complete
    };
    let attempt = send(shared, leader, incoming, payload, timeout);
    match &attempt {
        Attempt::Answered(reply) => {
            if let Some(time) = reply.queue_refused_for {
                shared.forwarding.record_refusal(reply.epoch, queue, time);
            }
            slot.release(Window::answered);
        }
        Attempt::Unknown(_) => slot.release(Window::timed_out),
        Attempt::NotExecuted | Attempt::Overloaded(_) | Attempt::QueueRefused(_) => {
            slot.release(|window, _, _| window.cancelled());
        }
    }
    match (refused_for, attempt) {
        (Some(time), Attempt::Answered(reply)) if reply.response.status_code == GONE => {
            if reply.is_effect_possible == Some(true) {
                Attempt::Overloaded(time)
            } else {
                Attempt::QueueRefused(time)
            }
        }
        (Some(_), Attempt::Unknown(_)) => Attempt::NotExecuted,
        (_, attempt) => attempt,
    }
}

/// Which part of a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Payload {
    /// Head and body.
    Complete,
    /// Only the question whether the job was accepted before, which takes a fraction of the job's
    /// size. Sent while the leader refuses new jobs of the queue.
    Confirmation,
}

/// The queue of a request's job: the host, and the path without its last segment.
fn queue_key(incoming: &Incoming) -> Box<str> {
    let head = &incoming.head;
    let host = head.headers.get("Host").unwrap_or_default();
    let (prefix, _) = head.target.rsplit_once('/').unwrap_or_default();
    format!("{host}{prefix}").into()
}

fn send(
    shared: &Shared,
    leader: &Leader,
    incoming: &Incoming,
    payload: Payload,
    timeout: Duration,
) -> Attempt {
    let epoch = leader.epoch;
    let head = &incoming.head;
    let path = format!("{}{}", wire::FORWARD_PREFIX, head.target);
    let for_epoch = epoch.to_string();
    let host = head.headers.get("Host").unwrap_or_default();
    let mut headers = vec![
        (wire::CALLER_HOST_HEADER, host),
        (wire::FOR_EPOCH_HEADER, &for_epoch),
    ];
    let key = head.headers.get("Authorization");
    headers.extend(key.map(|key| ("Authorization", key)));
    let body = match payload {
        Payload::Complete => (!incoming.body.is_empty()).then_some(&incoming.body[..]),
        Payload::Confirmation => {
            headers.push((wire::CONFIRM_HEADER, "1"));
            Some(&[][..])
        }
    };
    let answer = shared.leader_client(leader.addr).call_with_method(
        &head.method,
        &Request {
            step: "forward request",
            path: &path,
            body,
            headers: &headers,
            timeout,
        },
    );
    match answer {
        Ok(answer) => interpret(answer, epoch, head),
        Err(error) => {
            let effect = error.effect();
            info!(path = %head.target, method = %head.method, epoch, ?effect, %error,
                "call to leader failed");
            match effect {
                Effect::None => Attempt::NotExecuted,
                Effect::Unknown => Attempt::Unknown(epoch),
            }
        }
    }
}

/// Whether an answer without an epoch says that its sender refused the request unexecuted. Members
/// do so before they read a request or if they don't lead.
fn excludes_execution(status: u16) -> bool {
    matches!(status, 400..=499 | 503)
}

/// Interprets the answer of a process that was expected to be the leader with `epoch`.
fn interpret(answer: call::Answer, epoch: Epoch, head: &Head) -> Attempt {
    let Some(answered_by) = answer.header(wire::LEADER_EPOCH_HEADER) else {
        info!(path = %head.target, method = %head.method, epoch, status = answer.status,
            "request not answered by the leader");
        return if excludes_execution(answer.status) {
            Attempt::NotExecuted
        } else {
            Attempt::Unknown(epoch)
        };
    };
    // Epoch 0, if the header isn't a number, never counts as later than that of an earlier attempt.
    let epoch = answered_by.parse().unwrap_or(0);
    let retry_after = answer.header("Retry-After").map(str::to_owned);
    let refused_ms = answer.header(wire::QUEUE_REFUSED_MS_HEADER);
    let refused_ms = refused_ms.and_then(|ms| ms.parse().ok());
    let is_effect_possible = match answer.header(wire::EFFECT_HEADER) {
        Some("0") => Some(false),
        Some("1") => Some(true),
        _ => None,
    };
    Attempt::Answered(Reply {
        epoch,
        is_effect_possible,
        queue_refused_for: refused_ms.map(Duration::from_millis),
        response: json(answer.status, answer.body, retry_after),
    })
}
