//! Passes requests of callers on to a leader in another process.

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::call::{Effect, Request};
use pomelohitch_sched::forwarding::Window;
use pomelohitch_sched::{Epoch, Steady};
use tracing::info;

use super::callers::{Try, json};
use super::clock;
use super::shared::Shared;
use super::wire::{self, Leader};
use crate::front::Incoming;

/// A request waits this long for a place in the window.
const PLACE_WITHIN: Duration = Duration::from_millis(400);

/// The requests that this process has passed on to the leader and that aren't answered.
#[derive(Debug, Default)]
pub struct Forwarding {
    state: Mutex<State>,
    freed: Condvar,
}

/// The window of one leadership.
#[derive(Debug, Default)]
struct State {
    epoch: Epoch,
    window: Window,
}

/// One request's place in the window.
#[derive(Debug)]
struct Place<'a> {
    forwarding: &'a Forwarding,
    epoch: Epoch,
    taken_at: Steady,
}

impl Forwarding {
    /// Takes a place for a request to the leader with `epoch`.
    ///
    /// # Errors
    /// If none gets free within `within`: when to come back.
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
        Ok(Place {
            forwarding: self,
            epoch,
            taken_at: clock::steady(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Gives the place back; `change` tells the window how the request ended.
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

/// Passes a request on and waits for the answer.
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
    let sent = send(shared, leader.addr, leader.epoch, incoming, within);
    match &sent {
        Try::Answered(..) => place.free(Window::answered),
        Try::Unknown(_) => place.free(Window::gave_up),
        Try::Undone | Try::Full(_) => place.free(|window, _, _| window.unsent()),
    }
    sent
}

fn send(
    shared: &Shared,
    addr: SocketAddr,
    epoch: Epoch,
    incoming: &Incoming,
    within: Duration,
) -> Try {
    let head = &incoming.head;
    let path = format!("{}{}", wire::CALL, head.target);
    let for_epoch = epoch.to_string();
    let host = head.headers.get("Host").unwrap_or_default();
    let mut headers = vec![(wire::CALLER_HOST, host), (wire::FOR_EPOCH, &for_epoch)];
    let key = head.headers.get("Authorization");
    headers.extend(key.map(|key| ("Authorization", key)));
    let answer = shared.leader_client(addr).pass_on(
        &head.method,
        &Request {
            step: "pass on",
            path: &path,
            body: (!incoming.body.is_empty()).then_some(&incoming.body[..]),
            headers: &headers,
            within,
        },
    );
    match answer {
        Ok(answer) => match answer.header(wire::LEADER_EPOCH).map(str::parse) {
            Some(answered_by) => {
                let retry_after = answer.header("Retry-After").map(str::to_owned);
                // Without a number the answer settles no doubt about an earlier try.
                let answered_by = answered_by.unwrap_or(0);
                Try::Answered(answered_by, json(answer.status, answer.body, retry_after))
            }
            None if answer.status == 504 => Try::Unknown(epoch),
            None => Try::Undone,
        },
        Err(error) => {
            info!(%error, "leader didn't answer");
            match error.effect() {
                Effect::None => Try::Undone,
                Effect::Unknown => Try::Unknown(epoch),
            }
        }
    }
}
