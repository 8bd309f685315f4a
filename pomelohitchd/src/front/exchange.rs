//! One request from its head to its answer.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::config::{Service, Team};
use pomelohitch_core::id::KeyHash;
use pomelohitch_core::state::Phase;
use pomelohitch_core::{State, key};
use pomelohitch_peer::permits::Verdict;
use pomelohitch_route::dispatch::{Completion, Sent};
use pomelohitch_route::headers::Headers;
use pomelohitch_route::problem::Kind;
use pomelohitch_route::send::{self, Answer, Connection, Outgoing, Sender};
use pomelohitch_route::{Head, Problem, Ran, Terms};
use rouille::{Request, Response, ResponseBody};

use crate::freshness;
use crate::jobs_api;
use crate::node::Node;
use crate::permits::keys::{self, Granted};
use crate::permits::{self, NoTurn, Wanted};

/// The result of this module.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// When to come back if no runner takes requests.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When to come back if the entry's knowledge is too old.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When to come back if an idempotency key can't be checked.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How requests are answered.
#[derive(Debug)]
pub struct Exchange {
    node: Arc<Node>,
    sender: Sender,
}

/// A request whose caller is known.
#[derive(Debug)]
struct Call {
    id: Box<str>,
    key: KeyHash,
    team: Team,
    service: Service,
    terms: Terms,
    deadline: Instant,
    out: Outgoing,
}

impl Exchange {
    /// Answers from what `node` knows.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Exchange {
        Exchange {
            node,
            sender: Sender::new(send::Options::default()),
        }
    }

    /// Answers a request that arrived whole; `arrived` is when its head had.
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
        let key = shown_key(&head.headers)?;
        let (state, team) = self.check_key(&key)?;
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
        let call = read_call(&state, key, team, &head, target, body, arrived)?;
        let runners = check_runners(&state, &call.service);
        let answered = runners.and_then(|()| self.call(&call));
        self.node
            .burn
            .answered(&call.service, &call.team.id, &answered, arrived);
        answered.map(endpoint_response)
    }

    /// The team whose key it is, by a state that isn't old.
    ///
    /// A process that wakes from a pause learns within moments that its knowledge is recent again,
    /// while it still holds the state of before. So the state is taken after that was checked, not
    /// before: a key that was withdrawn meanwhile would be accepted otherwise.
    fn check_key(&self, key: &KeyHash) -> Result<(Arc<State>, Team)> {
        if !freshness::is_fresh(&self.node) {
            let detail = "neither the log nor the peers were heard lately";
            let problem = Problem::not_run(Kind::StaleKnowledge, detail);
            return Err(problem.retry_after(STALE_RETRY_AFTER));
        }
        let state = self.node.state.load_full();
        let is_withdrawn = self.node.bad_news.load().withdrawn_keys.contains(key);
        let team = state.team_of_key(key).filter(|_| !is_withdrawn).cloned();
        match team {
            Some(team) => Ok((state, team)),
            None => Err(Problem::not_run(Kind::UnknownKey, "the key isn't in force")),
        }
    }

    fn call(&self, call: &Call) -> Result<Answer> {
        let granted = self.claim_key(call)?;
        let answered = self.send_in_turn(call);
        // The key stays taken unless the request certainly didn't run: then the caller may send
        // it again.
        if let (Some(granted), Err(problem)) = (granted, &answered)
            && problem.ran == Ran::No
        {
            keys::release(&self.node, &granted);
        }
        answered
    }

    /// A request that may run any number of times needs nobody's leave.
    fn claim_key(&self, call: &Call) -> Result<Option<Granted>> {
        let Some(key) = call.terms.key.as_ref().filter(|_| !call.terms.idempotent) else {
            return Ok(None);
        };
        let key = format!("{}/{}/{key}", call.service.id, call.team.id);
        match keys::claim(&self.node, &key, &call.id) {
            Ok(granted) => Ok(Some(granted)),
            // This request didn't run, but one with its key may have: "no" would invite the
            // caller to send it again under another key.
            Err(Verdict::Taken) => Err(Problem::unknown(
                Kind::DuplicateKey,
                "a request with this idempotency key was sent to the endpoint before",
            )),
            Err(_) => Err(Problem::not_run(
                Kind::KeyUnchecked,
                "who remembers this idempotency key can't be asked now",
            )
            .retry_after(KEY_RETRY_AFTER)),
        }
    }

    fn send_in_turn(&self, call: &Call) -> Result<Answer> {
        let wanted = Wanted {
            service: &call.service.id,
            team: &call.team.id,
            priority: call.terms.priority,
            deadline: call.deadline,
        };
        let mut sent = permits::acquire(&self.node, &wanted).map_err(no_turn)?;
        let mut may_have_run = false;
        let mut connection = if call.terms.idempotent {
            Connection::Reused
        } else {
            Connection::New
        };
        loop {
            if let Err(problem) = self.check_again(call, &sent) {
                permits::end(&self.node, &sent, Completion::Refused);
                let ran = if may_have_run { Ran::Unknown } else { Ran::No };
                return Err(Problem { ran, ..problem });
            }
            let error = match self.try_once(call, &sent, connection) {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            may_have_run |= !error.is_not_run();
            if let Some(next) = self.next_try(call, &sent, &error) {
                // Whatever made the first try fail, the next one doesn't trust old connections.
                connection = Connection::New;
                sent = next;
                continue;
            }
            return Err(problem_of(&error, may_have_run).at(sent.runner));
        }
    }

    /// Right before sending: a process that was paused since its turn came may have been held for
    /// dead, and its permits given to others; and a key may be withdrawn while its request waits
    /// for its turn.
    fn check_again(&self, call: &Call, sent: &Sent) -> Result<()> {
        let (_, team) = self.check_key(&call.key)?;
        if !permits::may_send(&self.node, sent) {
            let detail = "this entry instance was held for dead meanwhile";
            let problem = Problem::not_run(Kind::StaleKnowledge, detail);
            return Err(problem.retry_after(STALE_RETRY_AFTER));
        }
        if team.id == call.team.id {
            return Ok(());
        }
        Err(Problem::not_run(
            Kind::UnknownKey,
            "the key is another team's now",
        ))
    }

    fn try_once(&self, call: &Call, sent: &Sent, connection: Connection) -> send::Result<Answer> {
        // The runner was chosen by the state of before, which may have been a pause ago.
        let state = self.node.state.load();
        let runner = state.fleet.instances.get(&sent.runner);
        if runner.is_none_or(|runner| runner.phase != Phase::Active) {
            permits::end(&self.node, sent, Completion::Refused);
            return Err(send::Error::Unsent {
                reason: "the runner takes no new work".into(),
            });
        }
        let left = call.deadline.saturating_duration_since(Instant::now());
        let limit = self.limit_of_try(call, connection, left);
        let mut out = call.out.clone();
        out.headers
            .add("Request-Timeout-Ms", &left.as_millis().to_string());
        let answered = self.sender.send(sent.addr, &out, connection, limit);
        permits::end(&self.node, sent, end_of(&answered));
        answered
    }

    /// A kept connection may have gone silent: a request that may run twice doesn't spend its whole
    /// time on finding that out.
    fn limit_of_try(&self, call: &Call, connection: Connection, left: Duration) -> Duration {
        match connection {
            Connection::New => left,
            Connection::Reused => permits::patience(&self.node, &call.service.id)
                .map_or(left, |patience| left.min(patience)),
        }
    }

    /// A request that may not run twice is tried again only if no byte of it has left.
    fn next_try(&self, call: &Call, sent: &Sent, error: &send::Error) -> Option<Sent> {
        let is_unsent = matches!(error, send::Error::Unsent { .. });
        let has_time = Instant::now() < call.deadline;
        let may_try = has_time && (call.terms.idempotent || is_unsent);
        let next = may_try.then(|| permits::retry(&self.node, sent)).flatten();
        if next.is_some() {
            metrics::counter!("request_retries").increment(1);
        }
        next
    }
}

fn shown_key(headers: &Headers) -> Result<KeyHash> {
    let shown = headers.get("Authorization");
    let shown = shown.and_then(|value| value.strip_prefix("Bearer "));
    shown
        .map(key::hash)
        .ok_or_else(|| Problem::not_run(Kind::UnknownKey, "show a key: Authorization: Bearer KEY"))
}

/// Without any runner the wait has no end that could be told.
fn check_runners(state: &State, service: &Service) -> Result<()> {
    if state.fleet.active_in(&service.pool) > 0 {
        return Ok(());
    }
    let detail = "no instance of the service's pool is active";
    Err(Problem::not_run(Kind::NoRunner, detail).retry_after(NO_RUNNER_RETRY_AFTER))
}

fn end_of(answered: &send::Result<Answer>) -> Completion {
    match answered {
        Ok(_) => Completion::Answered,
        Err(send::Error::Unsent { .. }) => Completion::Unsent,
        Err(send::Error::NotStarted) => Completion::Refused,
        Err(send::Error::Late | send::Error::Lost { .. }) => Completion::Unknown,
    }
}

fn no_turn(reason: NoTurn) -> Problem {
    match reason {
        NoTurn::Refused(refusal) => Problem::not_run(
            Kind::QueueFull,
            "it would not be served before its deadline",
        )
        .retry_after(refusal.retry_after),
        NoTurn::Expired { retry_after } => Problem::not_run(
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
        id,
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

/// Splits `SERVICE/PATH?QUERY` into the service and what the runner is asked for.
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

/// The one place that turns failed tries into words for the caller.
///
/// The last try alone doesn't tell: one before it may have run although this one certainly
/// didn't.
fn problem_of(error: &send::Error, may_have_run: bool) -> Problem {
    let detail = error.to_string();
    let problem = match error {
        send::Error::Unsent { .. } | send::Error::NotStarted => {
            Problem::not_run(Kind::RunnerRefused, detail).retry_after(NO_RUNNER_RETRY_AFTER)
        }
        send::Error::Late => Problem::unknown(Kind::AnswerLate, detail),
        send::Error::Lost { .. } => Problem::unknown(Kind::AnswerLost, detail),
    };
    if may_have_run {
        Problem::unknown(problem.kind, problem.detail)
    } else {
        problem
    }
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
