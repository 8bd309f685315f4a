//! Sends a request to a runner, and retries it if that is allowed.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelohitch_core::state::Phase;
use pomelohitch_route::dispatch::{Completion, Sent};
use pomelohitch_route::problem::Kind;
use pomelohitch_route::send::patience::{MayAbandon, Patience};
use pomelohitch_route::send::{self, Answer, Connection, Gate};
use pomelohitch_route::{Problem, Ran};

use super::{Call, Exchange, NO_RUNNER_RETRY_AFTER, Result, STALE_RETRY_AFTER, check_key};
use crate::node::Node;
use crate::permits;
use crate::permits::keys::{self, Granted};

impl Exchange {
    /// Sends a request that has a runner and permits, and retries it if that is allowed.
    pub(super) fn send(
        &self,
        call: &Arc<Call>,
        mut sent: Sent,
        granted: Option<&Granted>,
    ) -> Result<Answer> {
        let mut may_have_run = false;
        let mut connection = if call.terms.idempotent {
            Connection::Reused
        } else {
            Connection::New
        };
        loop {
            if let Err(problem) = recheck(&self.node, call, &sent) {
                permits::complete(&self.node, &sent, Completion::Refused);
                let ran = if may_have_run { Ran::Unknown } else { Ran::No };
                return Err(Problem { ran, ..problem });
            }
            let Failure { error, next } = match self.attempt(call, &sent, granted, connection) {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            may_have_run |= !error.is_not_run();
            let next = next.map(|next| *next);
            if let Some(next) = next.or_else(|| self.next_attempt(call, &sent, &error)) {
                metrics::counter!("request_retries").increment(1);
                // After a failure, a reused connection isn't trusted any more.
                connection = Connection::New;
                sent = next;
                continue;
            }
            return Err(problem_of(&error, may_have_run).at(sent.runner));
        }
    }

    fn attempt(
        &self,
        call: &Arc<Call>,
        sent: &Sent,
        granted: Option<&Granted>,
        connection: Connection,
    ) -> Result<Answer, Failure> {
        if !is_runner_active(&self.node, sent) {
            permits::complete(&self.node, sent, Completion::Refused);
            let reason = "the runner takes no new work".into();
            return Err(Failure::from(send::Error::Unsent { reason }));
        }
        let left = call.deadline.saturating_duration_since(Instant::now());
        let mut out = call.out.clone();
        out.headers
            .add("Request-Timeout-Ms", &left.as_millis().to_string());
        let next = Rc::new(Cell::new(None));
        let patience = Patience {
            timeout: left,
            abandon: self.abandonment(call, sent, connection, &next),
        };
        let gate = gate(&self.node, call, sent, granted);
        let answered = self
            .sender
            .send(sent.addr, &out, connection, patience, gate);
        permits::complete(&self.node, sent, completion_of(&answered));
        answered.map_err(|error| Failure {
            error,
            next: next.take().map(Box::new),
        })
    }

    /// When an attempt is abandoned. A reused connection may be dead, so an idempotent request
    /// doesn't spend its whole remaining time on it if another attempt can be made, which is put
    /// into `next`.
    fn abandonment(
        &self,
        call: &Arc<Call>,
        sent: &Sent,
        connection: Connection,
        next: &Rc<Cell<Option<Sent>>>,
    ) -> Option<(Duration, MayAbandon)> {
        if connection == Connection::New {
            return None;
        }
        let after = permits::attempt_timeout(&self.node, &call.service.id)?;
        let (node, call) = (self.node.clone(), call.clone());
        let (sent, next) = (sent.clone(), next.clone());
        let may_abandon = move || {
            // After a suspension, only an answer to this attempt may still be of use.
            let retry = has_time(&node, &call)
                .then(|| permits::retry(&node, &sent))
                .flatten();
            let is_possible = retry.is_some();
            next.set(retry);
            is_possible
        };
        Some((after, Box::new(may_abandon)))
    }

    /// The next attempt, if there is one. A request that isn't idempotent is retried only if none
    /// of its bytes were sent.
    fn next_attempt(&self, call: &Call, sent: &Sent, error: &send::Error) -> Option<Sent> {
        let is_unsent = matches!(error, send::Error::Unsent { .. } | send::Error::Withheld);
        let may_retry = (call.terms.idempotent || is_unsent) && has_time(&self.node, call);
        may_retry
            .then(|| permits::retry(&self.node, sent))
            .flatten()
    }
}

/// Why an attempt gave no answer, and the next one if it was abandoned for that.
struct Failure {
    error: send::Error,
    next: Option<Box<Sent>>,
}

impl From<send::Error> for Failure {
    fn from(error: send::Error) -> Failure {
        Failure { error, next: None }
    }
}

/// Whether a request can still be answered before its deadline. It may have waited in the queue, and
/// the process may have been suspended.
fn has_time(node: &Node, call: &Call) -> bool {
    let left = call.deadline.saturating_duration_since(Instant::now());
    permits::has_time(node, &call.service.id, left, call.terms.timeout)
}

/// Repeats the checks right before sending. While the process was paused, the deadline may have
/// come too close, its incarnation may have been ended and its permits granted to others; the key may have
/// been withdrawn while the request waited in the queue.
fn recheck(node: &Node, call: &Call, sent: &Sent) -> Result<()> {
    if !has_time(node, call) {
        let retry_after = permits::expected_wait(node, &call.service.id, &call.team.id);
        let detail = "too little of its timeout is left for a run";
        return Err(Problem::not_run(Kind::WaitedTooLong, detail).retry_after(retry_after));
    }
    let (_, team) = check_key(node, &call.key)?;
    if !permits::may_send(node, sent) {
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

/// Whether the runner accepts work. It was chosen by an earlier state, which is outdated if the
/// process was paused.
fn is_runner_active(node: &Node, sent: &Sent) -> bool {
    let state = node.state.load();
    let runner = state.fleet.instances.get(&sent.runner);
    runner.is_some_and(|runner| runner.phase == Phase::Active)
}

/// Repeats all checks right before the first byte, and reports the use of the idempotency key.
fn gate(node: &Arc<Node>, call: &Arc<Call>, sent: &Sent, granted: Option<&Granted>) -> Gate {
    let (node, call, sent) = (node.clone(), call.clone(), sent.clone());
    let granted = granted.cloned();
    Box::new(move || {
        let may_send = granted.as_ref().is_none_or(Granted::is_current)
            && recheck(&node, &call, &sent).is_ok()
            && is_runner_active(&node, &sent);
        if !may_send {
            metrics::counter!("requests_withheld").increment(1);
        } else if let Some(granted) = &granted {
            keys::report_use(&node, granted);
        }
        may_send
    })
}

fn completion_of(answered: &send::Result<Answer>) -> Completion {
    match answered {
        Ok(_) => Completion::Answered,
        Err(send::Error::Unsent { .. }) => Completion::Unsent,
        Err(send::Error::NotStarted | send::Error::Withheld) => Completion::Refused,
        Err(send::Error::Late { .. } | send::Error::Lost { .. }) => Completion::Unknown,
    }
}

/// The problem document for failed attempts.
///
/// `error` is that of the last attempt; an earlier attempt may have run even if the last one
/// certainly didn't.
fn problem_of(error: &send::Error, may_have_run: bool) -> Problem {
    let detail = error.to_string();
    let problem = match error {
        send::Error::Unsent { .. } | send::Error::NotStarted => {
            Problem::not_run(Kind::RunnerRefused, detail).retry_after(NO_RUNNER_RETRY_AFTER)
        }
        send::Error::Withheld => {
            Problem::not_run(Kind::StaleKnowledge, detail).retry_after(STALE_RETRY_AFTER)
        }
        send::Error::Late { .. } => Problem::unknown(Kind::AnswerLate, detail),
        send::Error::Lost { .. } => Problem::unknown(Kind::AnswerLost, detail),
    };
    if may_have_run {
        Problem::unknown(problem.kind, problem.detail)
    } else {
        problem
    }
}
