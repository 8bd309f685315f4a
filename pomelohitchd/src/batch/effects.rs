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
const CALLS: usize = 16;

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
pub struct Ask {
    /// The job.
    pub job: JobId,
    /// The attempt, with its worker.
    pub attempt: Attempt,
    /// The operation.
    pub call: Call,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Learned {
    /// This happened to the attempt.
    Event(Event),
    /// It has ended; how is only known from its reports.
    Ended,
    /// No usable answer. The call is repeated later if the attempt is still current.
    Nothing,
    /// The call succeeded and has no effect on the log.
    Done,
}

/// A finished call with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The call.
    pub ask: Ask,
    /// Its result.
    pub learned: Learned,
}

/// A pool of threads that make calls. After a drop, each thread ends when its current call is done.
#[derive(Debug)]
pub struct Effects {
    asks: mpsc::Sender<Ask>,
    outcomes: mpsc::Receiver<Outcome>,
}

impl Effects {
    /// Starts the threads.
    #[must_use]
    pub fn start(node: &Arc<Node>) -> Effects {
        let (asks, asked) = mpsc::channel();
        let (tx, outcomes) = mpsc::channel();
        let asked = Arc::new(Mutex::new(asked));
        for _ in 0..CALLS {
            let (node, asked, tx) = (node.clone(), asked.clone(), tx.clone());
            std::thread::spawn(move || make_calls(&node, &asked, &tx));
        }
        Effects { asks, outcomes }
    }

    /// Queues a call.
    pub fn ask(&self, ask: Ask) {
        // Can't fail: the threads keep the receiver until this is dropped.
        let _ = self.asks.send(ask);
    }

    /// Calls that finished since the last call of this function.
    pub fn outcomes(&self) -> impl Iterator<Item = Outcome> {
        self.outcomes.try_iter()
    }
}

fn make_calls(node: &Node, asked: &Mutex<mpsc::Receiver<Ask>>, tx: &mpsc::Sender<Outcome>) {
    loop {
        let next = asked.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(ask) = next else { return };
        let learned = make_call(node, &ask);
        if tx.send(Outcome { ask, learned }).is_err() {
            return;
        }
    }
}

fn make_call(node: &Node, ask: &Ask) -> Learned {
    let op = ask.attempt.attempt;
    match &ask.call {
        Call::Start(start) if is_wanted(node, ask) => start_attempt(node, ask, start),
        Call::Start(_) => Learned::Nothing,
        Call::Act(action, lease) => act(node, ask, *action, *lease),
        Call::Throttle => {
            let effect = effect(ask, Action::Throttle, Duration::ZERO);
            match (node.workers.apply)(&effect) {
                Ok(()) => metrics::counter!("tasks_throttled").increment(1),
                Err(error) => tracing::debug!(%error, op, "could not throttle"),
            }
            Learned::Done
        }
    }
}

/// Whether the attempt is still to be started and this member still plans. Checked just before
/// the call, because the call may have been queued or the process paused for a long time.
///
/// The worker's fencing covers the race between this check and the call: a planner that settles
/// the attempt meanwhile does so by querying the task, after which the worker refuses its start.
fn is_wanted(node: &Node, ask: &Ask) -> bool {
    let state = node.state.load();
    let entry = state.jobs.get(&ask.job);
    let placed = entry.is_some_and(|entry| match &entry.state {
        JobState::Placed(attempt) => *attempt == ask.attempt,
        _ => false,
    });
    placed && super::is_planner(node)
}

/// Starts an attempt. If the call fails it may still have taken effect, so the task is queried.
/// If the worker doesn't know the task, that query also rules out a later start.
fn start_attempt(node: &Node, ask: &Ask, start: &Start) -> Learned {
    if (node.workers.start)(&ask.attempt.worker, start).is_ok() {
        return Learned::Event(Event::Started);
    }
    metrics::counter!("task_start_errors").increment(1);
    look_up(node, ask.attempt.attempt, Learned::Event(Event::Started))
}

fn act(node: &Node, ask: &Ask, action: Action, lease: Duration) -> Learned {
    match (node.workers.apply)(&effect(ask, action, lease)) {
        Ok(()) => match action {
            Action::Stop => Learned::Event(Event::Stopped),
            Action::Checkpoint => Learned::Event(Event::Checkpointed),
            Action::Renew | Action::Throttle => Learned::Done,
        },
        // No such task is running: it never started or has ended.
        Err(error) if error.is_status(404) => look_up(node, ask.attempt.attempt, Learned::Nothing),
        Err(_) => Learned::Nothing,
    }
}

fn look_up(node: &Node, op: AttemptId, if_running: Learned) -> Learned {
    match (node.workers.task)(op) {
        Ok(TaskState::Running) => if_running,
        Ok(TaskState::Ended) => Learned::Ended,
        Ok(TaskState::Never) => Learned::Event(Event::NotStarted),
        Err(_) => Learned::Nothing,
    }
}

fn effect(ask: &Ask, action: Action, lease: Duration) -> Effect {
    Effect {
        worker: ask.attempt.worker.clone(),
        op: ask.attempt.attempt,
        action,
        lease,
    }
}
