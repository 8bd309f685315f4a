//! Calls to workers. Each call carries its attempt's id, so repeating it is harmless.

use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;

use pomelohitch_core::id::JobId;
use pomelohitch_core::record::job::{AttemptId, Event};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::Attempt;
use pomelohitch_platform::workers::{Action, Effect, Start, TaskState};

use crate::node::Node;

/// Number of threads, and thus of concurrent calls.
const THREADS: usize = 16;

/// An operation on an attempt at its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Start the attempt.
    Start(Start),
    /// Apply an action to the attempt; the duration is the new lease of a renewal, otherwise zero.
    Act(Action, Duration),
    /// Throttle the attempt.
    Throttle,
}

/// A call about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The job.
    pub job: JobId,
    /// The attempt, with its worker.
    pub attempt: Attempt,
    /// The operation.
    pub call: Call,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The event that the call caused or found out, to be reported to the log.
    Event(Event),
    /// It has ended; how is only known from its reports.
    Ended,
    /// No usable answer. The call is repeated later if the attempt is still current.
    NoAnswer,
    /// The call succeeded and has no effect on the log.
    Done,
}

/// A finished call with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The call.
    pub request: CallRequest,
    /// Its result.
    pub result: CallResult,
}

/// A pool of threads that make calls. After a drop, each thread ends once its current call is
/// finished.
#[derive(Debug)]
pub struct Effects {
    requests: mpsc::Sender<CallRequest>,
    outcomes: mpsc::Receiver<Outcome>,
}

impl Effects {
    /// Starts the threads.
    #[must_use]
    pub fn start(node: &Arc<Node>) -> Effects {
        let (requests, receiver) = mpsc::channel();
        let (tx, outcomes) = mpsc::channel();
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..THREADS {
            let (node, receiver, tx) = (node.clone(), receiver.clone(), tx.clone());
            std::thread::spawn(move || make_calls(&node, &receiver, &tx));
        }
        Effects { requests, outcomes }
    }

    /// Queues a call.
    pub fn submit(&self, request: CallRequest) {
        // Can't fail: the threads keep the receiver until this is dropped.
        let _ = self.requests.send(request);
    }

    /// Calls that finished since the previous `outcomes()`.
    pub fn outcomes(&self) -> impl Iterator<Item = Outcome> {
        self.outcomes.try_iter()
    }
}

fn make_calls(
    node: &Node,
    receiver: &Mutex<mpsc::Receiver<CallRequest>>,
    tx: &mpsc::Sender<Outcome>,
) {
    loop {
        let next = receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        let Ok(request) = next else { return };
        let result = make_call(node, &request);
        if tx.send(Outcome { request, result }).is_err() {
            return;
        }
    }
}

fn make_call(node: &Node, request: &CallRequest) -> CallResult {
    let op = request.attempt.attempt;
    match &request.call {
        Call::Start(start) if is_wanted(node, request) => start_attempt(node, request, start),
        Call::Start(_) => CallResult::NoAnswer,
        Call::Act(action, lease) => apply_action(node, request, *action, *lease),
        Call::Throttle => {
            let effect = effect(request, Action::Throttle, Duration::ZERO);
            match (node.workers.apply)(&effect) {
                Ok(()) => metrics::counter!("tasks_throttled").increment(1),
                Err(error) => tracing::debug!(%error, op, "could not throttle an attempt"),
            }
            CallResult::Done
        }
    }
}

/// Whether the attempt is still to be started and this member still plans. Checked just before
/// the call, because the call may have been queued or the process paused for a long time.
///
/// The worker's fencing covers the race between this check and the call: a planner that settles
/// the attempt meanwhile does so by querying the task, after which the worker refuses its start.
fn is_wanted(node: &Node, request: &CallRequest) -> bool {
    let state = node.state.load();
    let entry = state.jobs.get(&request.job);
    let placed = entry.is_some_and(|entry| match &entry.state {
        JobState::Placed(attempt) => *attempt == request.attempt,
        _ => false,
    });
    placed && super::is_planner(node)
}

/// Starts an attempt. If the call fails it may still have taken effect, so the task is queried.
/// If the worker doesn't know the task, that query also rules out a later start.
fn start_attempt(node: &Node, request: &CallRequest, start: &Start) -> CallResult {
    if (node.workers.start)(&request.attempt.worker, start).is_ok() {
        return CallResult::Event(Event::Started);
    }
    metrics::counter!("task_start_errors").increment(1);
    query_task(
        node,
        request.attempt.attempt,
        CallResult::Event(Event::Started),
    )
}

fn apply_action(node: &Node, request: &CallRequest, action: Action, lease: Duration) -> CallResult {
    match (node.workers.apply)(&effect(request, action, lease)) {
        Ok(()) => match action {
            Action::Stop => CallResult::Event(Event::Stopped),
            Action::Checkpoint => CallResult::Event(Event::Checkpointed),
            Action::Renew | Action::Throttle => CallResult::Done,
        },
        // No such task is running: it never started or has ended.
        Err(error) if error.is_status(404) => {
            query_task(node, request.attempt.attempt, CallResult::NoAnswer)
        }
        Err(_) => CallResult::NoAnswer,
    }
}

fn query_task(node: &Node, op: AttemptId, if_running: CallResult) -> CallResult {
    match (node.workers.task)(op) {
        Ok(TaskState::Running) => if_running,
        Ok(TaskState::Ended) => CallResult::Ended,
        Ok(TaskState::Never) => CallResult::Event(Event::NotStarted),
        Err(_) => CallResult::NoAnswer,
    }
}

fn effect(request: &CallRequest, action: Action, lease: Duration) -> Effect {
    Effect {
        worker: request.attempt.worker.clone(),
        op: request.attempt.attempt,
        action,
        lease,
    }
}
