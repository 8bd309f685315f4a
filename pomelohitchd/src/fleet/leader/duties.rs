//! Calls of instances and policy, and the status of waves.

use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::records;
use pomelohitch_adapter::store::{Guard, Topic};
use pomelohitch_adapter::{Client, instances, policy};
use pomelohitch_sched::order::{Operation, OperationOutcome};
use pomelohitch_sched::{EndpointId, Epoch, InstanceId, Steady, TaskId};
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

/// An operation that waited so long since it was decided isn't sent: work may have been put on the
/// instance meanwhile.
const STALE: Duration = Duration::from_millis(800);
/// So many operations are under way at a time. Each takes some 10 ms, and the largest site takes 215
/// a second.
const OPERATORS: usize = 4;

/// An operation, and when it was decided.
type Decided = (InstanceId, Operation, Steady);

/// Threads that make these calls. They end when this is dropped.
#[derive(Debug)]
pub struct Duties {
    lists: Sender<()>,
    operations: Sender<Decided>,
    statuses: Sender<(u64, bool)>,
    questions: Sender<(TaskId, Vec<EndpointId>)>,
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
        confirmed: &Arc<AtomicU64>,
    ) -> std::io::Result<Duties> {
        Ok(Duties {
            lists: start_lists(shared, events.clone())?,
            operations: start_operations(shared, epoch, events, confirmed)?,
            statuses: start_statuses(shared, epoch)?,
            questions: start_questions(shared, events.clone())?,
        })
    }

    /// Reads the list of instances.
    pub fn list(&self) {
        let _ = self.lists.send(());
    }

    /// Carries out an operation on an instance that was decided at `at`.
    pub fn operate(&self, instance: InstanceId, operation: Operation, at: Steady) {
        let _ = self.operations.send((instance, operation, at));
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

fn start_lists(shared: &Shared, events: Sender<Event>) -> std::io::Result<Sender<()>> {
    let (tx, rx) = mpsc::channel();
    let instances = shared.site.load().instances;
    let client = instances.map(|addr| Client::new(addr, CONNECT));
    spawn("instances", move || {
        for () in rx {
            if events.send(list(client.as_ref())).is_err() {
                return;
            }
        }
    })?;
    Ok(tx)
}

fn start_operations(
    shared: &Arc<Shared>,
    epoch: Epoch,
    events: &Sender<Event>,
    confirmed: &Arc<AtomicU64>,
) -> std::io::Result<Sender<Decided>> {
    let (tx, rx) = mpsc::channel::<Decided>();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..OPERATORS {
        let (rx, events, confirmed) = (rx.clone(), events.clone(), confirmed.clone());
        let mut operator = Operator::new(shared, epoch, confirmed);
        spawn("operations", move || {
            while let Ok((id, operation, at)) = next(&rx) {
                let Some(outcome) = operator.operate(&id, &operation, at) else {
                    return;
                };
                if events
                    .send(Event::Operated(id, operation, outcome))
                    .is_err()
                {
                    return;
                }
            }
        })?;
    }
    Ok(tx)
}

fn next(rx: &Mutex<Receiver<Decided>>) -> Result<Decided, mpsc::RecvError> {
    rx.lock().unwrap_or_else(PoisonError::into_inner).recv()
}

/// Carries out operations, one at a time.
struct Operator {
    shared: Arc<Shared>,
    epoch: Epoch,
    member: Box<str>,
    client: Option<Client>,
    confirmed: Arc<AtomicU64>,
}

impl Operator {
    fn new(shared: &Arc<Shared>, epoch: Epoch, confirmed: Arc<AtomicU64>) -> Operator {
        let site = shared.site.load();
        Operator {
            shared: shared.clone(),
            epoch,
            member: site.member.clone(),
            // Fences aren't checked: an order that arrives late would be taken beside a later leader's.
            client: site.instances.map(|addr| Client::resetting(addr, CONNECT)),
            confirmed,
        }
    }

    /// How an operation ended; `None` when the leadership has: what still waits then isn't sent,
    /// since the next leader has begun.
    fn operate(
        &mut self,
        id: &InstanceId,
        operation: &Operation,
        at: Steady,
    ) -> Option<OperationOutcome> {
        let is_leader = self
            .shared
            .leadership()
            .is_some_and(|l| l.epoch == self.epoch);
        if !is_leader {
            return None;
        }
        let is_stale = clock::steady().saturating_sub(at) > STALE;
        let is_confirmed = confirmed_ago(&self.confirmed) < CONFIRMED_WITHIN;
        Some(match &self.client {
            None => OperationOutcome::Refused,
            Some(_) if is_stale || !is_confirmed => OperationOutcome::Later,
            Some(client) => instances::operate(client, id, operation, &self.member, self.epoch),
        })
    }
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
            while shared.leadership().is_some_and(|l| l.epoch == epoch) {
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
