//! Serves callers: passes their requests to the leader, which may be this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use pomelohitch_adapter::call::{Effect, Request};
use pomelohitch_adapter::callers as format;
use pomelohitch_route::Head;
use pomelohitch_sched::cell::calls::Verb;
use pomelohitch_sched::order::Answer;
use rouille::Response;
use tracing::{info, warn};

use super::leader::core::{Event, Incoming as LeaderCall};
use super::shared::Shared;
use super::wire;
use crate::front::{Incoming, Limits, Service};

/// How long a request may wait for a leader, or for its answer, before the caller is told to come
/// back: long enough for a change of leader, which takes about a second and a half.
const PATIENCE: Duration = Duration::from_millis(2200);
/// Never more than this part of the time that the caller gives, so that the answer still finds
/// it.
const PATIENCE_PART: f64 = 0.7;
/// Time for one try at the leader.
const TRY_WITHIN: Duration = Duration::from_millis(1200);
/// Pause before another try.
const AGAIN_AFTER: Duration = Duration::from_millis(60);
/// When to come back if no leader is known.
const RETRY_AFTER: &str = "1";

/// Limits for callers.
#[must_use]
pub fn limits() -> Limits {
    Limits {
        idle_tick: Duration::from_secs(1),
        leaving_tick: Duration::from_millis(100),
        leaving_grace: Duration::from_millis(1500),
        request: pomelohitch_route::head::Limits {
            body_bytes: 256 * 1024,
            ..pomelohitch_route::head::Limits::default()
        },
        ..Limits::default()
    }
}

/// How requests of callers are answered.
#[must_use]
pub fn service(shared: &Arc<Shared>) -> Service {
    let leaving = shared.clone();
    let shared = shared.clone();
    Service {
        is_leaving: Box::new(move || leaving.is_leaving()),
        answer: Box::new(move |incoming| answer(&shared, &incoming)),
    }
}

/// How the balancer's questions are answered.
#[must_use]
pub fn readiness(shared: &Arc<Shared>) -> Service {
    let leaving = shared.clone();
    let shared = shared.clone();
    Service {
        is_leaving: Box::new(move || leaving.is_leaving()),
        answer: Box::new(move |incoming| {
            let is_ready = &*incoming.head.target == format::READY_PATH && is_ready(&shared);
            let status = if is_ready { 200 } else { 503 };
            Response::text("").with_status_code(status)
        }),
    }
}

/// A leader that was heard this long ago is still taken for one: a change of leader is over by
/// then, and readiness shouldn't flicker with each.
const READY_WITHIN: Duration = Duration::from_secs(3);

fn is_ready(shared: &Shared) -> bool {
    let silent_for = super::clock::steady().saturating_sub(shared.view().heard_at);
    let knows_leader = shared.view().leader.is_some() && silent_for < READY_WITHIN;
    !shared.is_leaving() && (shared.leading().is_some() || knows_leader)
}

/// What became of a try at the leader.
enum Try {
    /// The leader's answer.
    Answered(Response),
    /// Nothing was done.
    Undone,
    /// It may have been done.
    Unknown,
}

/// Answers a caller: the leader's answer, or after some patience that there is none.
///
/// Once a try may have handed a job in, no refusal of a later try is passed back, whatever its
/// reason: a key may be withdrawn between the two, and the caller would take the job for refused
/// while it runs. Reads have no effect, so that every answer to them is true.
pub fn answer(shared: &Shared, incoming: &Incoming) -> Response {
    let patience = patience(&incoming.head);
    let has_effect = has_effect(&incoming.head.method);
    let mut may_be_done = false;
    loop {
        match try_once(shared, incoming, patience) {
            Try::Answered(response) if may_be_done && !confirms(response.status_code) => {
                if response.status_code != UNAVAILABLE {
                    return give_up(incoming, may_be_done);
                }
            }
            Try::Answered(response) => return response,
            Try::Undone => {}
            Try::Unknown => may_be_done |= has_effect,
        }
        if incoming.arrived.elapsed() + AGAIN_AFTER >= patience {
            return give_up(incoming, may_be_done);
        }
        shared.wait(AGAIN_AFTER);
    }
}

/// The leader can't serve the request now; it may a moment later.
const UNAVAILABLE: u16 = 503;
/// The job isn't held, which is also what a repeated cancel is told.
const GONE: u16 = 410;

fn has_effect(method: &str) -> bool {
    !matches!(method, "GET" | "HEAD")
}

/// Whether an answer is true even if an earlier try was carried out.
fn confirms(status: u16) -> bool {
    (200..300).contains(&status) || status == GONE
}

fn patience(head: &Head) -> Duration {
    let deadline = head.headers.get(format::DEADLINE_HEADER);
    let deadline = deadline.and_then(|d| d.trim().parse().ok());
    deadline.map_or(PATIENCE, |ms| {
        PATIENCE.min(Duration::from_millis(ms).mul_f64(PATIENCE_PART))
    })
}

fn give_up(incoming: &Incoming, may_be_done: bool) -> Response {
    let waited_ms = incoming.arrived.elapsed().as_millis();
    warn!(path = %incoming.head.target, method = %incoming.head.method, may_be_done, waited_ms,
        "request given up: no answer of a leader");
    metrics::counter!("requests_given_up").increment(1);
    if may_be_done {
        return Response::text("{}").with_status_code(504);
    }
    Response::text("{}")
        .with_status_code(503)
        .with_additional_header("Retry-After", RETRY_AFTER)
}

fn try_once(shared: &Shared, incoming: &Incoming, patience: Duration) -> Try {
    let left = patience.saturating_sub(incoming.arrived.elapsed());
    if left.is_zero() {
        return Try::Undone;
    }
    if shared.leading().is_some() {
        let host = incoming.head.headers.get("Host").unwrap_or_default();
        return ask_here(shared, incoming, host, &incoming.head.target, left);
    }
    let own = shared.site.load().internal;
    match shared.view().leader {
        Some(leader) if leader.addr != own => {
            pass_on(shared, leader.addr, incoming, left.min(TRY_WITHIN))
        }
        _ => Try::Undone,
    }
}

/// Answers a request that another entry instance passed on.
pub fn answer_passed_on(shared: &Shared, incoming: &Incoming, path: &str) -> Response {
    let host = incoming.head.headers.get(wire::CALLER_HOST);
    let host = host.unwrap_or_default();
    let epoch = shared.leading().map_or(0, |l| l.epoch);
    match ask_here(shared, incoming, host, path, TRY_WITHIN) {
        Try::Answered(response) => {
            response.with_additional_header(wire::LEADER_EPOCH, epoch.to_string())
        }
        Try::Undone => Response::text("").with_status_code(421),
        Try::Unknown => Response::text("").with_status_code(504),
    }
}

/// Hands a request to the leader in this process.
fn ask_here(shared: &Shared, incoming: &Incoming, host: &str, path: &str, within: Duration) -> Try {
    let Some(leading) = shared.leading() else {
        return Try::Undone;
    };
    let verb = match &*incoming.head.method {
        "POST" => Verb::Submit(format::draft(&incoming.body)),
        "GET" | "HEAD" => Verb::Read,
        "DELETE" => Verb::Cancel,
        _ => return Try::Answered(Response::text("{}").with_status_code(405)),
    };
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    let (tx, rx) = mpsc::sync_channel(1);
    let call = LeaderCall {
        host: host.into(),
        path: path.into(),
        key: bearer(&incoming.head).map(Into::into),
        verb,
        reply: tx,
    };
    if leading.events.send(Event::Call(call)).is_err() {
        return Try::Undone;
    }
    let answer: Result<Answer, _> = rx.recv_timeout(within);
    match answer {
        Ok(answer) => {
            log_answer(incoming, &answer);
            Try::Answered(respond(&answer))
        }
        Err(_) => Try::Unknown,
    }
}

/// States are asked for often and change nothing, so that only refusals of them are told.
fn log_answer(incoming: &Incoming, answer: &Answer) {
    if matches!(answer, Answer::State(_) | Answer::Waiting(_)) {
        return;
    }
    let took_ms = incoming.arrived.elapsed().as_millis();
    info!(path = %incoming.head.target, method = %incoming.head.method, ?answer, took_ms, "answered");
}

fn bearer(head: &Head) -> Option<&str> {
    let value = head.headers.get("Authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn respond(answer: &Answer) -> Response {
    let reply = format::reply(answer);
    json(
        reply.status,
        reply.body,
        reply.retry_after.map(|s| s.to_string()),
    )
}

fn json(status: u16, body: Vec<u8>, retry_after: Option<String>) -> Response {
    let response = Response::from_data("application/json", body).with_status_code(status);
    match retry_after {
        Some(seconds) => response.with_additional_header("Retry-After", seconds),
        None => response,
    }
}

fn pass_on(shared: &Shared, leader: SocketAddr, incoming: &Incoming, within: Duration) -> Try {
    let head = &incoming.head;
    let path = format!("{}{}", wire::CALL, head.target);
    let host = head.headers.get("Host").unwrap_or_default();
    let mut headers = vec![(wire::CALLER_HOST, host)];
    headers.extend(
        head.headers
            .get("Authorization")
            .map(|a| ("Authorization", a)),
    );
    let answer = shared.leader_client(leader).pass_on(
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
        Ok(answer) if answer.header(wire::LEADER_EPOCH).is_some() => {
            let retry_after = answer.header("Retry-After").map(str::to_owned);
            Try::Answered(json(answer.status, answer.body, retry_after))
        }
        Ok(answer) if answer.status == 504 => Try::Unknown,
        Ok(_) => Try::Undone,
        Err(error) => {
            info!(%error, "leader didn't answer");
            match error.effect() {
                Effect::None => Try::Undone,
                Effect::Unknown => Try::Unknown,
            }
        }
    }
}
