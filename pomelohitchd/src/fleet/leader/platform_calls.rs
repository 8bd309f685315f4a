//! Calls to the platform's instances and policy services, and the status of waves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use pomelohitch_adapter::records;
use pomelohitch_adapter::store::{AppendCondition, Topic};
use pomelohitch_adapter::{Client, instances, policy};
use pomelohitch_sched::instances::Instance;
use pomelohitch_sched::order::{Operation, OperationOutcome};
use pomelohitch_sched::{EndpointId, Epoch, InstanceId, Steady, TaskId};
use tracing::{info, warn};

use super::confirmation::Confirmation;
use super::core::Event;
use super::skipped::Skipped;
use crate::fleet::clock;
use crate::fleet::shared::{Shared, spawn};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An operation is sent only if the store confirmed the leadership within this time. A later leader
/// waits for longer before its first operation, so that the operations of two leaders don't
/// interleave.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);
/// Timeout for appending the status of a wave.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the status is appended again after a failure.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Age from which a decided operation isn't sent any more: work may have been placed on the
/// instance meanwhile.
const MAX_OPERATION_AGE: Duration = Duration::from_millis(800);
/// Time that an operation takes.
const OPERATION_TIME: Duration = Duration::from_millis(10);
/// Bounds of the number of threads for operations.
const OPERATION_THREADS: std::ops::RangeInclusive<usize> = 4..=32;

/// An operation on an instance, and when it was decided.
type DecidedOperation = (InstanceId, Operation, Steady);

/// A step to ask the policy about, the endpoints in question, and the timeout.
type PolicyRequest = (TaskId, Vec<EndpointId>, Duration);

/// Queues to the threads that make these calls. The threads end when this is dropped.
#[derive(Debug)]
pub struct PlatformCalls {
    list_requests: Sender<()>,
    operations: Sender<DecidedOperation>,
    statuses: Sender<(u64, bool)>,
    policy_requests: Sender<PolicyRequest>,
}

impl PlatformCalls {
    /// Starts the threads.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        events: &Sender<Event>,
        confirmation: &Arc<Confirmation>,
    ) -> std::io::Result<PlatformCalls> {
        Ok(PlatformCalls {
            list_requests: start_list_requests(shared, events.clone())?,
            operations: start_operations(shared, epoch, events, confirmation)?,
            statuses: start_statuses(shared, epoch)?,
            policy_requests: start_policy_requests(shared, events.clone())?,
        })
    }

    /// Requests the list of instances; it is sent as [`Event::Instances`].
    pub fn list_instances(&self) {
        let _ = self.list_requests.send(());
    }

    /// Requests an operation, decided at `at`, on an instance; its outcome is sent as
    /// [`Event::Operated`].
    pub fn operate(&self, instance: InstanceId, operation: Operation, at: Steady) {
        let _ = self.operations.send((instance, operation, at));
    }

    /// Writes the status of a wave to the store.
    pub fn write_wave_status(&self, wave: u64, is_completed: bool) {
        let _ = self.statuses.send((wave, is_completed));
    }

    /// Requests the policy's advice on a step; it is sent as [`Event::Advised`], or
    /// [`Event::AdviceFailed`] after `timeout` at the latest.
    pub fn request_advice(&self, step: TaskId, endpoints: Vec<EndpointId>, timeout: Duration) {
        let _ = self.policy_requests.send((step, endpoints, timeout));
    }
}

fn start_list_requests(shared: &Shared, events: Sender<Event>) -> std::io::Result<Sender<()>> {
    let (tx, rx) = mpsc::channel();
    let instances = shared.site.load().instances;
    let client = instances.map(|addr| Client::new(addr, CONNECT_TIMEOUT));
    let mut reader = ListReader::default();
    spawn("instances", move || {
        for () in rx {
            if events.send(reader.list(client.as_ref())).is_err() {
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
    confirmation: &Arc<Confirmation>,
) -> std::io::Result<Sender<DecidedOperation>> {
    let (tx, rx) = mpsc::channel::<DecidedOperation>();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..operation_threads(shared.site.load().operations_per_s) {
        let (rx, events) = (rx.clone(), events.clone());
        let mut worker = OperationWorker::new(shared, epoch, confirmation.clone());
        spawn("operations", move || {
            while let Ok((id, operation, at)) = next_operation(&rx) {
                let Some(outcome) = worker.operate(&id, &operation, at) else {
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

/// Number of threads that carry out as many operations as the platform allows.
#[must_use]
pub fn operation_threads(operations_per_s: f64) -> usize {
    let needed = (operations_per_s * OPERATION_TIME.as_secs_f64()).ceil();
    let threads = OPERATION_THREADS.clone();
    threads
        .clone()
        .find(|&n| f64::from(u32::try_from(n).unwrap_or(u32::MAX)) >= needed)
        .unwrap_or(*threads.end())
}

fn next_operation(
    rx: &Mutex<Receiver<DecidedOperation>>,
) -> Result<DecidedOperation, mpsc::RecvError> {
    rx.lock().unwrap_or_else(PoisonError::into_inner).recv()
}

/// Carries out operations one after another.
struct OperationWorker {
    shared: Arc<Shared>,
    epoch: Epoch,
    member: Box<str>,
    client: Option<Client>,
    confirmation: Arc<Confirmation>,
}

impl OperationWorker {
    fn new(shared: &Arc<Shared>, epoch: Epoch, confirmation: Arc<Confirmation>) -> OperationWorker {
        let site = shared.site.load();
        OperationWorker {
            shared: shared.clone(),
            epoch,
            member: site.member.clone(),
            // Resets the connections of abandoned calls: the instances service doesn't check
            // epochs, so that an operation that arrives late would interleave with those of a
            // later leader.
            client: site
                .instances
                .map(|addr| Client::resetting(addr, CONNECT_TIMEOUT)),
            confirmation,
        }
    }

    /// Carries out an operation and returns its outcome. Returns `None` without sending it if the
    /// leadership has ended, since the next leader may have started.
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
        let now = clock::steady();
        let is_stale = now.saturating_sub(at) > MAX_OPERATION_AGE;
        let confirmed_for = now.saturating_sub(self.confirmation.store_at());
        let is_confirmed = confirmed_for < MAX_CONFIRMATION_AGE;
        Some(match &self.client {
            None => OperationOutcome::Refused,
            Some(_) if is_stale || !is_confirmed => OperationOutcome::Later,
            Some(client) => instances::operate(client, id, operation, &self.member, self.epoch),
        })
    }
}

/// Reads the list of instances again and again.
#[derive(Default)]
struct ListReader {
    skipped: Skipped,
    /// The instances of the last list, by id.
    last: BTreeMap<InstanceId, Instance>,
}

impl ListReader {
    fn list(&mut self, client: Option<&Client>) -> Event {
        let asked_at = clock::steady();
        let list = client.map(instances::list);
        match list {
            Some(Ok(list)) => Event::Instances(Some(self.complete(list)), asked_at),
            Some(Err(error)) => {
                info!(%error, "failed to list instances");
                Event::Instances(None, asked_at)
            }
            None => Event::Instances(None, asked_at),
        }
    }

    /// Adds the instances of the last list whose entries may be those that can't be read now: an
    /// endpoint counts as ended if no listed instance runs it.
    fn complete(&mut self, list: instances::List) -> Vec<Instance> {
        for error in &list.unreadable {
            if self.skipped.insert(error) {
                info!(%error, "instance skipped");
            }
        }
        let unreadable: BTreeSet<_> = list.unreadable.iter().map(records::Error::key).collect();
        let mut last = std::mem::take(&mut self.last);
        if !unreadable.contains("") {
            last.retain(|id, _| unreadable.contains(&**id));
        }
        for instance in list.instances {
            self.skipped.remove(&instance.id);
            last.insert(instance.id.clone(), instance);
        }
        self.last = last;
        self.last.values().cloned().collect()
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
                    warn!(%error, wave, "failed to encode wave status");
                    continue;
                }
            };
            while shared.leadership().is_some_and(|l| l.epoch == epoch) {
                let records = std::slice::from_ref(&record);
                match store.append(
                    Topic::Status,
                    records,
                    AppendCondition::Always,
                    STATUS_TIMEOUT,
                ) {
                    Ok(_) => break,
                    Err(error) => info!(%error, wave, "failed to append wave status; retrying"),
                }
                std::thread::sleep(STATUS_RETRY_DELAY);
            }
        }
    })?;
    Ok(tx)
}

fn start_policy_requests(
    shared: &Arc<Shared>,
    events: Sender<Event>,
) -> std::io::Result<Sender<PolicyRequest>> {
    let (tx, rx) = mpsc::channel::<PolicyRequest>();
    let policy = shared.site.load().policy;
    let client = policy.map(|addr| Client::new(addr, CONNECT_TIMEOUT));
    spawn("policy", move || {
        for (step, endpoints, timeout) in rx {
            let event = match client
                .as_ref()
                .map(|c| policy::advise(c, step, &endpoints, timeout))
            {
                Some(Ok(advice)) => Event::Advised(step, advice.tickets, advice.valid),
                Some(Err(error)) => {
                    info!(%error, %step, "request to the policy service failed");
                    Event::AdviceFailed(step)
                }
                None => {
                    warn!(%step, "no policy service is configured");
                    Event::AdviceFailed(step)
                }
            };
            if events.send(event).is_err() {
                return;
            }
        }
    })?;
    Ok(tx)
}
