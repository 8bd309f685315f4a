//! Handles one request: checks its key, dispatches it and builds the answer.
//!
//! * `sending`: sends a request that has a runner and permits.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::config::{Service, Team};
use pomelohitch_core::id::KeyHash;
use pomelohitch_core::{State, key};
use pomelohitch_route::dispatch::{Completion, Sent};
use pomelohitch_route::headers::Headers;
use pomelohitch_route::problem::Kind;
use pomelohitch_route::send::{self, Answer, Outgoing, Sender};
use pomelohitch_route::{Head, Problem, Ran, Terms};
use rouille::{Request, Response, ResponseBody};

use crate::freshness;
use crate::jobs_api;
use crate::node::Node;
use crate::permits::keys::{self, Granted};
use crate::permits::{self, AcquireError, AcquireRequest};

mod sending;

/// A result whose error becomes a problem document.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// `Retry-After` if no runner takes requests.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` if the state of this entry instance is stale.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` if an idempotency key can't be checked.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Delays between two attempts to claim an idempotency key.
const MIN_KEY_BACKOFF: Duration = Duration::from_millis(5);
const MAX_KEY_BACKOFF: Duration = Duration::from_millis(100);

/// Answers requests of callers.
#[derive(Debug)]
pub struct Exchange {
    node: Arc<Node>,
    sender: Sender,
}

/// An authenticated request.
#[derive(Debug)]
struct Call {
    key: KeyHash,
    team: Team,
    service: Service,
    terms: Terms,
    deadline: Instant,
    out: Outgoing,
}

impl Exchange {
    /// Creates an exchange that serves requests by the current state of `node`.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Exchange {
        let sender = Sender::new(send::Options::default(), node.suspensions.clone());
        Exchange { node, sender }
    }

    /// Answers a complete request; `arrived` is the time at which its head was complete.
    #[must_use]
    pub fn answer(
        &self,
        head: Head,
        body: Vec<u8>,
        peer: SocketAddr,
        arrived: Instant,
    ) -> Response {
        metrics::counter!("requests").increment(1);
        let answered = self.try_answer(head, body, peer, arrived);
        answered.unwrap_or_else(|problem| {
            metrics::counter!("problems", "step" => problem.kind.step()).increment(1);
            problem_response(&problem)
        })
    }

    fn try_answer(
        &self,
        head: Head,
        body: Vec<u8>,
        peer: SocketAddr,
        arrived: Instant,
    ) -> Result<Response> {
        let key = bearer_key(&head.headers)?;
        let checked = check_key(&self.node, &key);
        let (state, team) = checked.map_err(|problem| of_job(problem, &head))?;
        if is_jobs_path(&head.target) {
            return Ok(jobs_api::answer(
                &self.node,
                &team,
                &request(head, body, peer),
            ));
        }
        let Some(target) = head.target.strip_prefix("/s/") else {
            let detail = "paths begin with /s/SERVICE/ or /v1/jobs";
            return Err(Problem::not_run(Kind::NotFound, detail));
        };
        let call = Arc::new(read_call(&state, key, team, &head, target, body, arrived)?);
        let runners = check_runners(&state, &call.service);
        let answered = runners.and_then(|()| self.call(&call));
        self.node
            .burn
            .record_answer(&call.service, &call.team.id, &answered, arrived);
        answered.map(endpoint_response)
    }

    fn call(&self, call: &Arc<Call>) -> Result<Answer> {
        let (sent, granted) = self.acquire(call)?;
        let answered = self.send(call, sent, granted.as_ref());
        // The key stays taken unless the request certainly didn't run, in which case the caller may
        // send it again.
        if let (Some(granted), Err(problem)) = (granted, &answered)
            && problem.ran == Ran::No
        {
            keys::release(&self.node, &granted);
        }
        answered
    }

    /// Waits until the request has a runner, its permits and its idempotency key.
    ///
    /// The key is claimed last: a request that waits for a runner doesn't keep it from another
    /// entry instance that has one.
    fn acquire(&self, call: &Call) -> Result<(Sent, Option<Granted>)> {
        let Some(key) = idempotency_key(call) else {
            return Ok((self.acquire_permits(call, false)?, None));
        };
        match keys::check(&self.node, &key, call.deadline) {
            Err(error) if !error.is_transient() => return Err(key_problem(&error)),
            Ok(()) | Err(_) => {}
        }
        let mut backoff = MIN_KEY_BACKOFF;
        let mut is_repeated = false;
        loop {
            let sent = self.acquire_permits(call, is_repeated)?;
            let error = match keys::claim(&self.node, &key, call.deadline) {
                Ok(granted) => return Ok((sent, Some(granted))),
                Err(error) => error,
            };
            permits::complete(&self.node, &sent, Completion::Refused);
            if !error.is_transient() || Instant::now() + backoff >= call.deadline {
                return Err(key_problem(&error));
            }
            std::thread::sleep(backoff);
            backoff = MAX_KEY_BACKOFF.min(backoff * 2);
            is_repeated = true;
        }
    }

    fn acquire_permits(&self, call: &Call, is_repeated: bool) -> Result<Sent> {
        let request = AcquireRequest {
            service: &call.service.id,
            team: &call.team.id,
            priority: call.terms.priority,
            deadline: call.deadline,
            is_repeated,
        };
        permits::acquire(&self.node, &request).map_err(acquire_problem)
    }
}

/// Returns the current state and the team that `key` belongs to.
///
/// The state is loaded after the freshness check, not before. Otherwise a process that resumes after
/// a pause could pass the check while it holds the state from before the pause, and accept a key
/// that was withdrawn meanwhile.
fn check_key(node: &Node, key: &KeyHash) -> Result<(Arc<State>, Team)> {
    if !freshness::is_fresh(node) {
        let detail = "neither the log nor the peers were heard lately";
        let problem = Problem::not_run(Kind::StaleKnowledge, detail);
        return Err(problem.retry_after(STALE_RETRY_AFTER));
    }
    let state = node.state.load_full();
    let is_withdrawn = node.known_withdrawals.load().withdrawn_keys.contains(key);
    let team = state.team_of_key(key).filter(|_| !is_withdrawn).cloned();
    match team {
        Some(team) => Ok((state, team)),
        None => Err(Problem::not_run(Kind::UnknownKey, "the key isn't in force")),
    }
}

/// The idempotency key of a request that must not run twice. Idempotent requests may run any number
/// of times and need no key.
fn idempotency_key(call: &Call) -> Option<Box<str>> {
    let key = call.terms.key.as_ref().filter(|_| !call.terms.idempotent)?;
    Some(format!("{}/{}/{key}", call.service.id, call.team.id).into())
}

fn key_problem(error: &keys::Error) -> Problem {
    let detail = error.to_string();
    let problem = match error {
        // This request didn't run, but another one with its key may have. With `ran: no` the caller
        // would send it again under another key.
        keys::Error::Taken { .. } => return Problem::unknown(Kind::DuplicateKey, detail),
        _ => Problem::not_run(Kind::KeyUnchecked, detail).retry_after(KEY_RETRY_AFTER),
    };
    match error.peer() {
        Some(peer) => problem.at(peer.clone()),
        None => problem,
    }
}

fn bearer_key(headers: &Headers) -> Result<KeyHash> {
    let header = headers.get("Authorization");
    let header = header.and_then(|value| value.strip_prefix("Bearer "));
    header
        .map(key::hash)
        .ok_or_else(|| Problem::not_run(Kind::UnknownKey, "show a key: Authorization: Bearer KEY"))
}

/// Refuses at once if the pool has no active instance, because no waiting time can be estimated.
fn check_runners(state: &State, service: &Service) -> Result<()> {
    if state.fleet.active_in(&service.pool) > 0 {
        return Ok(());
    }
    let detail = "no instance of the service's pool is active";
    Err(Problem::not_run(Kind::NoRunner, detail).retry_after(NO_RUNNER_RETRY_AFTER))
}

fn acquire_problem(reason: AcquireError) -> Problem {
    match reason {
        AcquireError::Refused(refusal) => Problem::not_run(
            Kind::QueueFull,
            "it would not be served before its deadline",
        )
        .retry_after(refusal.retry_after),
        AcquireError::Expired { retry_after } => Problem::not_run(
            Kind::WaitedTooLong,
            "no runner and permit came free before its deadline",
        )
        .retry_after(retry_after),
    }
}

fn is_jobs_path(target: &str) -> bool {
    let path = target.split('?').next().unwrap_or_default();
    path == "/v1/jobs" || path.starts_with("/v1/jobs/")
}

/// The problem of a request that was refused before its job was looked at. A submit or cancel may
/// repeat an earlier one, which was taken in.
pub(super) fn of_job(problem: Problem, head: &Head) -> Problem {
    let may_be_repeat = match &*head.method {
        "POST" => head.headers.get("Idempotency-Key").is_some(),
        method => method == "DELETE",
    };
    let ran = if is_jobs_path(&head.target) && may_be_repeat {
        Ran::Unknown
    } else {
        problem.ran
    };
    Problem { ran, ..problem }
}

fn request(head: Head, body: Vec<u8>, peer: SocketAddr) -> Request {
    let headers = head.headers.iter();
    let headers = headers
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Request::fake_http_from(peer, head.method, head.target, headers, body)
}

fn read_call(
    state: &State,
    key: KeyHash,
    team: Team,
    head: &Head,
    target: &str,
    body: Vec<u8>,
    arrived: Instant,
) -> Result<Call> {
    let (name, path) = split_target(target);
    let Some(service) = state.config.services.get(name) else {
        let detail = format!("no service '{}'", name.escape_default());
        return Err(Problem::not_run(Kind::NotFound, detail));
    };
    let terms = Terms::read(&head.method, &head.headers, service.timeout)
        .map_err(|error| Problem::not_run(Kind::BadRequest(400), error.to_string()))?;
    let id: Box<str> = uuid::Uuid::new_v4().to_string().into();
    let mut headers = head.headers.end_to_end();
    headers.add("Request-Id", &id);
    headers.add("Request-Team", &team.id);
    headers.add("Request-Service", &service.id);
    Ok(Call {
        key,
        team,
        service: service.clone(),
        deadline: arrived + terms.timeout,
        terms,
        out: Outgoing {
            method: head.method.clone(),
            target: path,
            headers,
            body,
        },
    })
}

/// Splits `SERVICE/PATH?QUERY` into the service and the target that is sent to the runner.
fn split_target(target: &str) -> (&str, Box<str>) {
    let end = target.find(['/', '?']).unwrap_or(target.len());
    let (name, rest) = target.split_at(end);
    let path = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}").into()
    };
    (name, path)
}

fn endpoint_response(answer: Answer) -> Response {
    let headers = answer.headers.iter();
    Response {
        status_code: answer.status,
        headers: headers
            .map(|(name, value)| (name.to_owned().into(), value.to_owned().into()))
            .collect(),
        data: ResponseBody::from_data(answer.body),
        upgrade: None,
    }
}

/// A problem document as a response.
#[must_use]
pub fn problem_response(problem: &Problem) -> Response {
    let mut headers: Vec<(Cow<'static, str>, Cow<'static, str>)> =
        vec![("Content-Type".into(), "application/problem+json".into())];
    if let Some(secs) = problem.retry_after_secs() {
        headers.push(("Retry-After".into(), secs.to_string().into()));
    }
    Response {
        status_code: problem.kind.status(),
        headers,
        data: ResponseBody::from_data(problem.document()),
        upgrade: None,
    }
}
