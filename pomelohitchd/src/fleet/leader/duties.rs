//! Calls of instances and policy, and the status of waves.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{self, Sender};
use std::time::Duration;

use pomelohitch_adapter::records;
use pomelohitch_adapter::store::{Guard, Topic};
use pomelohitch_adapter::{Client, instances, policy};
use pomelohitch_sched::order::{Operation, OperationOutcome};
use pomelohitch_sched::{EndpointId, Epoch, InstanceId, TaskId};
use tracing::{info, warn};

use super::core::{Event, confirmed_ago};
use crate::fleet::clock;
use crate::fleet::shared::{Shared, spawn};

/// A connection that isn't made by then won't be.
const CONNECT: Duration = Duration::from_millis(400);
/// An operation is sent only if the store confirmed the leadership within this time: a later
/// leader waits for longer before its first operation, so that holders never take turns.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(1500);
/// Time for the status of a wave to be written.
const STATUS_WITHIN: Duration = Duration::from_secs(1);
/// Pause before it is tried again.
const STATUS_AGAIN: Duration = Duration::from_millis(250);

enum Call {
    List,
    Operate(InstanceId, Operation),
}

/// Threads that make these calls. They end when this is dropped.
#[derive(Debug)]
pub struct Duties {
    calls: Sender<Call>,
    statuses: Sender<(u64, bool)>,
    questions: Sender<(TaskId, Vec<EndpointId>)>,
}

impl std::fmt::Debug for Call {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Call::List => f.write_str("List"),
            Call::Operate(id, operation) => write!(f, "Operate({id}, {operation:?})"),
        }
    }
}

impl Duties {
    /// Starts the threads.
    ///
    /// # Errors
    /// If the system has no room for another thread.
    pub fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        events: &Sender<Event>,
        confirmed: Arc<AtomicU64>,
    ) -> std::io::Result<Duties> {
        Ok(Duties {
            calls: start_calls(shared, epoch, events.clone(), confirmed)?,
            statuses: start_statuses(shared, epoch)?,
            questions: start_questions(shared, events.clone())?,
        })
    }

    /// Reads the list of instances.
    pub fn list(&self) {
        let _ = self.calls.send(Call::List);
    }

    /// Operates on an instance.
    pub fn operate(&self, instance: InstanceId, operation: Operation) {
        let _ = self.calls.send(Call::Operate(instance, operation));
    }

    /// Tells how a wave is.
    pub fn wave_status(&self, wave: u64, is_completed: bool) {
        let _ = self.statuses.send((wave, is_completed));
    }

    /// Asks the policy about a step.
    pub fn advise(&self, step: TaskId, endpoints: Vec<EndpointId>) {
        let _ = self.questions.send((step, endpoints));
    }
}

fn start_calls(
    shared: &Arc<Shared>,
    epoch: Epoch,
    events: Sender<Event>,
    confirmed: Arc<AtomicU64>,
) -> std::io::Result<Sender<Call>> {
    let (tx, rx) = mpsc::channel();
    let site = shared.site.load_full();
    let client = site.instances.map(|addr| Client::new(addr, CONNECT));
    let shared = shared.clone();
    spawn("instances", move || {
        for call in rx {
            // What still waits when the leadership ends isn't sent: the next leader has begun.
            if shared.leading().is_none_or(|l| l.epoch != epoch) {
                return;
            }
            let event = match call {
                Call::List => list(client.as_ref()),
                Call::Operate(id, operation) => {
                    let outcome = match &client {
                        Some(client) if confirmed_ago(&confirmed) < CONFIRMED_WITHIN => {
                            instances::operate(client, &id, &operation, &site.member, epoch)
                        }
                        Some(_) => OperationOutcome::Later,
                        None => OperationOutcome::Refused,
                    };
                    Event::Operated(id, operation, outcome)
                }
            };
            if events.send(event).is_err() {
                return;
            }
        }
    })?;
    Ok(tx)
}

fn list(client: Option<&Client>) -> Event {
    let asked_at = clock::steady();
    let list = client.map(instances::list);
    match list {
        Some(Ok(list)) => Event::Instances(Some(list), asked_at),
        Some(Err(error)) => {
            info!(%error, "instances not listed");
            Event::Instances(None, asked_at)
        }
        None => Event::Instances(None, asked_at),
    }
}

fn start_statuses(shared: &Arc<Shared>, epoch: Epoch) -> std::io::Result<Sender<(u64, bool)>> {
    let (tx, rx) = mpsc::channel();
    let store = shared.store();
    let shared = shared.clone();
    spawn("wave status", move || {
        for (wave, is_completed) in rx {
            let record = match records::wave_status(wave, is_completed) {
                Ok(record) => record,
                Err(error) => {
                    warn!(%error, wave, "status can't be written");
                    continue;
                }
            };
            while shared.leading().is_some_and(|l| l.epoch == epoch) {
                let records = std::slice::from_ref(&record);
                match store.append(Topic::Status, records, Guard::Free, STATUS_WITHIN) {
                    Ok(_) => break,
                    Err(error) => info!(%error, wave, "status written again"),
                }
                std::thread::sleep(STATUS_AGAIN);
            }
        }
    })?;
    Ok(tx)
}

fn start_questions(
    shared: &Arc<Shared>,
    events: Sender<Event>,
) -> std::io::Result<Sender<(TaskId, Vec<EndpointId>)>> {
    let (tx, rx) = mpsc::channel::<(TaskId, Vec<EndpointId>)>();
    let policy = shared.site.load().policy;
    let client = policy.map(|addr| Client::new(addr, CONNECT));
    spawn("policy", move || {
        for (step, endpoints) in rx {
            let Some(client) = &client else {
                warn!(%step, "no policy is set to ask");
                continue;
            };
            match policy::advise(client, step, &endpoints) {
                Ok(advice) => {
                    let event = Event::Advised(step, advice.tickets, advice.valid);
                    if events.send(event).is_err() {
                        return;
                    }
                }
                Err(error) => info!(%error, %step, "policy asked in vain"),
            }
        }
    })?;
    Ok(tx)
}
