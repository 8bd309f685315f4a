//! Forwards callers' requests to a leader in another process.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::call::{self, Effect, Request};
use pomelohitch_sched::forwarding::Window;
use pomelohitch_sched::{Epoch, Steady};
use tracing::info;

use super::callers::{GONE, Reply, Try, json};
use super::clock;
use super::shared::Shared;
use super::wire::{self, Leader};
use crate::front::Incoming;

/// How long a request waits for a slot of the window.
const PLACE_WITHIN: Duration = Duration::from_millis(400);

/// The requests that this process has forwarded to the leader and that await an answer.
#[derive(Debug, Default)]
pub struct Forwarding {
    state: Mutex<State>,
    freed: Condvar,
}

/// State for one leadership.
#[derive(Debug, Default)]
struct State {
    epoch: Epoch,
    window: Window,
    /// Queues of which the leader refuses new jobs, with the end of the refusal; by [`queue`].
    refusing: HashMap<Box<str>, Steady>,
}

/// One request's slot of the window.
#[derive(Debug)]
struct Place<'a> {
    forwarding: &'a Forwarding,
    /// Leadership to whose window the slot belongs.
    epoch: Epoch,
    taken_at: Steady,
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
    fn take(&self, epoch: Epoch, within: Duration) -> Result<Place<'_>, Duration> {
        let mut state = self.lock();
        if state.epoch < epoch {
            *state = State {
                epoch,
                ..State::default()
            };
        }
        let is_full = |state: &mut State| !state.window.take();
        let waited = self.freed.wait_timeout_while(state, within, is_full);
        let (state, waited) = waited.unwrap_or_else(PoisonError::into_inner);
        if waited.timed_out() {
            return Err(state.window.retry_after());
        }
        // During the wait, the window may have been replaced by that of a later leader.
        Ok(Place {
            forwarding: self,
            epoch: state.epoch,
            taken_at: clock::steady(),
        })
    }

    /// Records that the leader with `epoch` refuses new jobs of a queue for the given time.
    fn refuses(&self, epoch: Epoch, queue: Box<str>, time: Duration) {
        let now = clock::steady();
        let mut state = self.lock();
        if state.epoch == epoch {
            state.refusing.retain(|_, until| *until > now);
            state.refusing.insert(queue, now + time);
        }
    }

    /// How much longer the leader with `epoch` refuses new jobs of a queue, if it does.
    fn refused_for(&self, epoch: Epoch, queue: &str) -> Option<Duration> {
        let state = self.lock();
        let until = state.refusing.get(queue).filter(|_| state.epoch == epoch)?;
        let left = until.saturating_sub(clock::steady());
        (!left.is_zero()).then_some(left)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Releases the slot; `change` reports to the window how the request ended.
    fn free(self, change: impl FnOnce(&mut Window, Steady, Duration)) {
        let now = clock::steady();
        let mut state = self.forwarding.lock();
        if state.epoch == self.epoch {
            change(&mut state.window, now, now.saturating_sub(self.taken_at));
        }
        drop(state);
        self.forwarding.freed.notify_one();
    }
}

/// Forwards a request and waits for the answer.
pub(super) fn pass_on(
    shared: &Shared,
    leader: &Leader,
    incoming: &Incoming,
    within: Duration,
) -> Try {
    let place = shared
        .forwarding
        .take(leader.epoch, PLACE_WITHIN.min(within));
    let place = match place {
        Ok(place) => place,
        Err(retry_after) => return Try::Full(retry_after),
    };
    let queue = queue(incoming);
    let refused_for = shared.forwarding.refused_for(leader.epoch, &queue);
    let refused_for = refused_for.filter(|_| &*incoming.head.method == "POST");
    let what = if refused_for.is_some() {
        Sent::Question
    } else {
        Sent::Whole
    };
    let sent = send(shared, leader, incoming, what, within);
    match &sent {
        Try::Answered(reply) => {
            if let Some(time) = reply.queue_refused_for {
                shared.forwarding.refuses(reply.epoch, queue, time);
            }
            place.free(Window::answered);
        }
        Try::Unknown(_) => place.free(Window::gave_up),
        Try::Undone | Try::Full(_) => place.free(|window, _, _| window.unsent()),
    }
    match (refused_for, sent) {
        (Some(time), Try::Answered(reply)) if reply.response.status_code == GONE => Try::Full(time),
        (Some(_), Try::Unknown(_)) => Try::Undone,
        (_, sent) => sent,
    }
}

/// Which part of a request is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// Head and body.
    Whole,
    /// Only the question whether the job was accepted before, which takes a fraction of the job's
    /// size. Sent while the leader refuses new jobs of the queue.
    Question,
}

/// The queue of a request's job: the host, and the path without its last segment.
fn queue(incoming: &Incoming) -> Box<str> {
    let head = &incoming.head;
    let host = head.headers.get("Host").unwrap_or_default();
    let (prefix, _) = head.target.rsplit_once('/').unwrap_or_default();
    format!("{host}{prefix}").into()
}

fn send(
    shared: &Shared,
    leader: &Leader,
    incoming: &Incoming,
    what: Sent,
    within: Duration,
) -> Try {
    let epoch = leader.epoch;
    let head = &incoming.head;
    let path = format!("{}{}", wire::CALL, head.target);
    let for_epoch = epoch.to_string();
    let host = head.headers.get("Host").unwrap_or_default();
    let mut headers = vec![(wire::CALLER_HOST, host), (wire::FOR_EPOCH, &for_epoch)];
    let key = head.headers.get("Authorization");
    headers.extend(key.map(|key| ("Authorization", key)));
    let body = match what {
        Sent::Whole => (!incoming.body.is_empty()).then_some(&incoming.body[..]),
        Sent::Question => {
            headers.push((wire::CONFIRM, "1"));
            Some(&[][..])
        }
    };
    let answer = shared.leader_client(leader.addr).pass_on(
        &head.method,
        &Request {
            step: "forward request",
            path: &path,
            body,
            headers: &headers,
            within,
        },
    );
    match answer {
        Ok(answer) => understand(answer, epoch),
        Err(error) => {
            info!(%error, "call to leader failed");
            match error.effect() {
                Effect::None => Try::Undone,
                Effect::Unknown => Try::Unknown(epoch),
            }
        }
    }
}

/// Interprets the answer of a process that was expected to be the leader with `epoch`.
fn understand(answer: call::Answer, epoch: Epoch) -> Try {
    let Some(answered_by) = answer.header(wire::LEADER_EPOCH) else {
        return if answer.status == 504 {
            Try::Unknown(epoch)
        } else {
            Try::Undone
        };
    };
    // Epoch 0, if the header isn't a number, never counts as later than that of an earlier attempt.
    let epoch = answered_by.parse().unwrap_or(0);
    let retry_after = answer.header("Retry-After").map(str::to_owned);
    let refused_ms = answer.header(wire::QUEUE_REFUSED_MS);
    let refused_ms = refused_ms.and_then(|ms| ms.parse().ok());
    Try::Answered(Reply {
        epoch,
        queue_refused_for: refused_ms.map(Duration::from_millis),
        response: json(answer.status, answer.body, retry_after),
    })
}
