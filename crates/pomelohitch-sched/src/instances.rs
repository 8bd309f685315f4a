//! State of the instances: moves between pools and maintenance in waves.
//!
//! An instance is moved or maintained only when nothing runs on it. It is therefore reserved first,
//! so that it gets no new work; lasting tasks are moved to other endpoints, and the other runs
//! complete.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::evacuations::Evacuations;
use crate::id::{EndpointId, InstanceId, ServiceName, ZoneName};
use crate::order::OperationOutcome;
use crate::progress::{self, Record};
use crate::resources::Resources;
use crate::{Steady, UnixMs};

/// State of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// In service.
    Up,
    /// Being moved to another pool.
    Moving,
    /// Being maintained.
    Maintenance,
    /// Not running.
    Down,
}

/// An instance as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Instance id.
    pub id: InstanceId,
    /// Its pool.
    pub pool: ServiceName,
    /// Its state.
    pub state: InstanceState,
    /// Availability zone.
    pub zone: ZoneName,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Machine kind and rack, in this order; neither changes when the instance moves between pools.
    pub labels: Arc<[Box<str>]>,
    /// Endpoint that currently runs on it.
    pub endpoint: Option<EndpointId>,
}

/// A maintenance wave: a set of instances to be maintained within a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Wave number.
    pub number: u64,
    /// Instances to maintain.
    pub instances: Vec<InstanceId>,
    /// Time limit for the whole wave.
    pub within: Duration,
    /// Largest number of instances that may be down at the same time.
    pub max_down: usize,
}

/// Durable state of a wave: only what the platform has confirmed. An order that was in flight when
/// its leader ended may never have been carried out; if it counted as done, the instance would be
/// left out of the wave. Ordering it again is harmless, because the platform answers that it is
/// done already.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Confirmed {
    instances: BTreeSet<InstanceId>,
    is_completed: bool,
    /// Instances that were about to leave for good. Without this, a new leader that finds them
    /// missing would wait for them as it does for crashed ones.
    leaving: BTreeSet<InstanceId>,
}

/// A wave and what was reported of it.
#[derive(Debug, Clone)]
struct WaveState {
    wave: Wave,
    seen_at: Steady,
    /// Time of the wave that had passed before this leader saw it.
    passed_before: Duration,
    reported: Option<bool>,
}

/// An instance with an operation that is not known to be over.
#[derive(Debug, Clone, PartialEq, Eq)]
struct UnderWay {
    decided_at: Steady,
    endpoint: Option<EndpointId>,
    /// Outcome of the call and when it was known; `None` while the call is in flight.
    outcome: Option<(OperationOutcome, Steady)>,
    to: Option<ServiceName>,
}

impl UnderWay {
    /// When the platform accepted the operation, if it did.
    fn accepted_at(&self) -> Option<Steady> {
        match self.outcome {
            Some((OperationOutcome::Taken, at)) => Some(at),
            _ => None,
        }
    }

    /// Whether the operation may be ordered again. One without an answer may have been carried out: the
    /// instance counts as down until an entry of a list requested at `listed_at` can't be from before
    /// it.
    fn may_be_repeated(
        &self,
        now: Steady,
        instance: Option<&Instance>,
        listed_at: Option<Steady>,
    ) -> bool {
        let is_known = match self.outcome {
            None | Some((OperationOutcome::Taken, _)) => false,
            Some((OperationOutcome::Unanswered, at)) => {
                listed_at.is_some_and(|listed| listed > at + self.max_age(instance))
            }
            Some(_) => true,
        };
        is_known && now > self.decided_at + RETRY_AFTER
    }

    /// Whether an entry of a list requested at `asked_at` shows that the operation is over: the instance
    /// is up, and the entry can't be from before the operation.
    fn is_over(&self, instance: Option<&Instance>, asked_at: Steady) -> bool {
        let is_down = instance.is_some_and(|i| i.state != InstanceState::Up);
        let accepted_at = self.accepted_at();
        !is_down && accepted_at.is_some_and(|at| asked_at > at + self.max_age(instance))
    }

    /// How long after the operation a list has to be requested so that an entry can't be from before
    /// it: less if the instance is in the pool that it was moved to, or runs another endpoint.
    fn max_age(&self, instance: Option<&Instance>) -> Duration {
        let is_changed = |i: &Instance| {
            let is_replaced = i.endpoint.is_some() && i.endpoint != self.endpoint;
            is_replaced || self.to.as_ref() == Some(&i.pool)
        };
        if instance.is_some_and(is_changed) {
            LIST_LAG
        } else {
            MAX_LIST_AGE
        }
    }
}

/// State of all instances and waves.
#[derive(Debug, Clone, Default)]
pub struct Instances {
    list: BTreeMap<InstanceId, Instance>,
    listed_at: Option<Steady>,
    /// When the request for the list that is in flight was sent.
    asked_at: Option<Steady>,
    waves: BTreeMap<u64, WaveState>,
    confirmed: BTreeMap<u64, Confirmed>,
    /// When each wave was requested, as a former leader recorded it in the fleet's time.
    requested_ms: BTreeMap<u64, UnixMs>,
    /// Time of the last operation that a former leader ordered, by instance.
    former_orders: BTreeMap<InstanceId, UnixMs>,
    absent_since: BTreeMap<InstanceId, Steady>,
    leaving: BTreeSet<InstanceId>,
    under_way: BTreeMap<InstanceId, UnderWay>,
    /// Instances that the newest list shows as being moved.
    moving: BTreeSet<InstanceId>,
}

/// Largest age of the state that a list shows, counted from the request.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(5);
/// A list requested less than this after the outcome of an operation was known may not reflect the
/// operation yet.
const LIST_LAG: Duration = Duration::from_millis(300);
/// An operation that was not accepted, or not answered, is ordered again after this time.
const RETRY_AFTER: Duration = Duration::from_millis(1500);
/// An instance that is missing from the list for longer than this is gone; a crashed instance is
/// missing for at most 10 s.
const CRASHED_GONE_AFTER: Duration = Duration::from_secs(16);
/// The same if its endpoint had announced that it leaves. An instance whose endpoint is only
/// replaced is back within three seconds.
const LEAVING_GONE_AFTER: Duration = Duration::from_secs(5);

impl Instances {
    /// Whether the record with this key is restored by [`Instances::restore`].
    #[must_use]
    pub fn has_record(key: &str) -> bool {
        key.starts_with([WAVE_PREFIX, REQUEST_PREFIX, OPERATION_PREFIX])
    }

    /// Restores what a former leader recorded of a wave or an operation.
    pub fn restore(&mut self, key: &str, value: &[u8]) {
        if let Some(number) = key.strip_prefix(REQUEST_PREFIX) {
            if let (Ok(number), Ok(at_ms)) = (number.parse(), postcard::from_bytes(value)) {
                self.requested_ms.insert(number, at_ms);
            }
            return;
        }
        if let Some(id) = key.strip_prefix(OPERATION_PREFIX) {
            // If the time cannot be decoded, the operation counts as ordered just now.
            let at_ms = postcard::from_bytes(value).unwrap_or(UnixMs::MAX);
            self.former_orders.insert(id.into(), at_ms);
            return;
        }
        let number = key.get(1..).and_then(|n| n.parse().ok());
        if let (Some(number), Ok(confirmed)) = (number, postcard::from_bytes(value)) {
            self.confirmed.insert(number, confirmed);
        }
    }

    /// When a former leader last ordered an operation on the instance; `None` if none did.
    #[must_use]
    pub fn former_order_ms(&self, id: &InstanceId) -> Option<UnixMs> {
        self.former_orders.get(id).copied()
    }

    /// The latest moment at which a former leader recorded a wave's request, in the fleet's time.
    #[must_use]
    pub fn newest_request_ms(&self) -> Option<UnixMs> {
        self.requested_ms.values().max().copied()
    }

    /// Adds a wave requested by operators. The first definition of a wave number stays in force.
    ///
    /// Returns the record of the moment, the fleet's time `fleet_ms`, if no former leader has seen
    /// the wave. Otherwise the wave's time has been passing since the recorded moment. The fleet's
    /// time may be wrong after a loss of all members; what it adds is therefore limited to the
    /// wave's time, and is nothing if the recorded moment lies ahead of it.
    ///
    /// # Errors
    ///
    /// If the record cannot be encoded, which does not happen for these types.
    pub fn add_wave(
        &mut self,
        wave: Wave,
        now: Steady,
        fleet_ms: UnixMs,
    ) -> progress::Result<Option<Record>> {
        let number = wave.number;
        if self.waves.contains_key(&number) {
            return Ok(None);
        }
        let requested_ms = self.requested_ms.get(&number).copied();
        let passed_ms = requested_ms.map_or(0, |at| fleet_ms.saturating_sub(at));
        let state = WaveState {
            passed_before: Duration::from_millis(passed_ms).min(wave.within),
            wave,
            seen_at: now,
            reported: None,
        };
        self.waves.insert(number, state);
        if requested_ms.is_some() || self.is_completed(number) {
            return Ok(None);
        }
        self.requested_ms.insert(number, fleet_ms);
        let key = format!("{REQUEST_PREFIX}{number}").into();
        progress::encode(key, &fleet_ms).map(Some)
    }

    /// The instances that run endpoints by the newest list.
    #[must_use]
    pub fn hosts(&self) -> BTreeMap<EndpointId, InstanceId> {
        let running = self
            .list
            .values()
            .filter_map(|i| Some((i.endpoint.clone()?, i.id.clone())));
        running.collect()
    }

    /// Whether a list requested at `asked_at` is older than the newest one.
    #[must_use]
    pub fn is_outdated(&self, asked_at: Steady) -> bool {
        self.listed_at.is_some_and(|at| asked_at < at)
    }

    /// Processes the platform's list, which was requested at `asked_at`.
    ///
    /// Returns the endpoints whose instances now run other endpoints. An outdated list has no effect.
    pub fn update_list(&mut self, list: Vec<Instance>, asked_at: Steady) -> Vec<EndpointId> {
        if self.is_outdated(asked_at) {
            return Vec::new();
        }
        let list: BTreeMap<_, _> = list.into_iter().map(|i| (i.id.clone(), i)).collect();
        let replaced = self.list.values().filter_map(|before| {
            let now = list.get(&before.id)?.endpoint.as_ref()?;
            let before = before.endpoint.as_ref()?;
            (now != before).then(|| before.clone())
        });
        let replaced = replaced.collect();
        let moving = list.values().filter(|i| i.state == InstanceState::Moving);
        self.moving = moving.map(|i| i.id.clone()).collect();
        self.list = list;
        self.record_absences(asked_at);
        self.listed_at = Some(asked_at);
        self.asked_at = None;
        let list = &self.list;
        self.under_way
            .retain(|id, u| !u.is_over(list.get(id), asked_at));
        replaced
    }

    /// Records that these instances are about to leave for good, because their endpoints drain.
    /// Other instances of the newest list no longer count as leaving. Returns the changed records of
    /// waves that contain them.
    ///
    /// # Errors
    ///
    /// If a record cannot be encoded, which does not happen for these types.
    pub fn record_leaving(
        &mut self,
        leaving: BTreeSet<InstanceId>,
    ) -> progress::Result<Vec<Record>> {
        let list = &self.list;
        self.leaving.retain(|id| !list.contains_key(id));
        self.leaving.extend(leaving);
        let mut records = Vec::new();
        for (&number, state) in &self.waves {
            let in_wave = state.wave.instances.iter();
            let leaving: BTreeSet<_> = in_wave.filter(|id| self.leaving.contains(*id)).collect();
            let confirmed = self.confirmed.entry(number).or_default();
            if confirmed.is_completed || leaving.iter().all(|id| confirmed.leaving.contains(*id)) {
                continue;
            }
            confirmed.leaving.extend(leaving.into_iter().cloned());
            records.push(wave_record(number, confirmed)?);
        }
        Ok(records)
    }

    /// Endpoint that ran on the instance before the operation in progress.
    #[must_use]
    pub fn endpoint_before(&self, id: &InstanceId) -> Option<EndpointId> {
        self.under_way.get(id)?.endpoint.clone()
    }

    /// Whether an operation is in progress on the instance that the endpoint runs on.
    #[must_use]
    pub fn is_endpoint_under_way(&self, id: &EndpointId) -> bool {
        let mut endpoints = self.under_way.values().filter_map(|u| u.endpoint.as_ref());
        endpoints.any(|endpoint| endpoint == id)
    }

    /// Endpoints on instances with an operation in progress.
    #[must_use]
    pub fn endpoints_under_way(&self) -> BTreeSet<EndpointId> {
        let endpoints = self.under_way.values().filter_map(|u| u.endpoint.clone());
        endpoints.collect()
    }

    /// Records that reading the list failed.
    pub fn list_failed(&mut self) {
        self.asked_at = None;
    }

    /// Whether to request the list now, at most once per `interval`; records the request if so.
    pub fn wants_list(&mut self, now: Steady, interval: Duration) -> bool {
        let is_due = self.listed_at.is_none_or(|at| now >= at + interval);
        let is_asked = self.asked_at.is_some();
        if is_due && !is_asked {
            self.asked_at = Some(now);
            return true;
        }
        false
    }

    /// Whether any wave is not completed.
    #[must_use]
    pub fn has_open_wave(&self) -> bool {
        self.waves.keys().any(|n| !self.is_completed(*n))
    }

    /// Whether any operation is not known to be over.
    #[must_use]
    pub fn has_under_way(&self) -> bool {
        !self.under_way.is_empty()
    }

    fn is_completed(&self, number: u64) -> bool {
        self.confirmed.get(&number).is_some_and(|c| c.is_completed)
    }

    /// Instances that are still to be maintained in some open wave.
    #[must_use]
    pub fn due_for_maintenance(&self) -> BTreeSet<InstanceId> {
        let remaining = self.remaining();
        remaining.into_iter().flat_map(|r| r.left).collect()
    }

    /// All instances of the newest list.
    #[must_use]
    pub fn list(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.list
    }

    /// When the newest list was requested.
    #[must_use]
    pub fn listed_at(&self) -> Option<Steady> {
        self.listed_at
    }

    /// Remaining instances of each open wave, with the number that may be taken down now.
    #[must_use]
    pub fn remaining(&self) -> Vec<Remaining> {
        let open = self.waves.iter().filter(|(n, _)| !self.is_completed(**n));
        open.map(|(&number, state)| {
            let confirmed = self.confirmed.get(&number);
            let is_down = |id: &&InstanceId| {
                let is_listed_down = self
                    .list
                    .get(*id)
                    .is_some_and(|i| i.state == InstanceState::Maintenance);
                self.under_way.contains_key(*id) || is_listed_down
            };
            let down = state.wave.instances.iter().filter(is_down).count();
            let is_left = |id: &&InstanceId| {
                let is_done = confirmed.is_some_and(|c| c.instances.contains(*id));
                !is_done && !self.under_way.contains_key(*id) && !self.is_gone(id)
            };
            let left = state.wave.instances.iter().filter(is_left);
            Remaining {
                wave: number,
                left: left.cloned().collect(),
                may_begin: state.wave.max_down.saturating_sub(down),
                max_down: state.wave.max_down,
                since: state.seen_at,
                passed_before: state.passed_before,
                within: state.wave.within,
            }
        })
        .collect()
    }

    /// Pool that the instance is being moved to.
    #[must_use]
    pub fn destination(&self, id: &InstanceId) -> Option<&ServiceName> {
        self.under_way.get(id)?.to.as_ref()
    }

    /// Thousandths of a core of the instances that are being moved to the pool and whose zone is
    /// not being evacuated.
    #[must_use]
    pub fn arriving_cpu(&self, pool: &ServiceName, evacuations: &Evacuations) -> u64 {
        let arriving = self.arriving(pool);
        let usable = arriving.filter(|i| !evacuations.contains(&i.zone));
        usable.map(|i| i.capacity.cpu).sum()
    }

    /// Instances that are being moved to the pool. Visits only instances in operation: there may be
    /// thousands of others.
    fn arriving(&self, pool: &ServiceName) -> impl Iterator<Item = &Instance> {
        let ordered = self.under_way.iter();
        let ordered = ordered.filter(|(_, u)| u.to.as_ref() == Some(pool));
        let ordered = ordered.filter_map(|(id, _)| self.list.get(id));
        let listed = self.moving.iter();
        let listed = listed.filter(|id| !self.under_way.contains_key(*id));
        let listed = listed.filter_map(|id| self.list.get(id));
        ordered.chain(listed.filter(|i| i.pool == *pool))
    }

    /// Whether any instance is being moved to the pool.
    #[must_use]
    pub fn has_arriving(&self, pool: &ServiceName) -> bool {
        let mut listed = self.moving.iter().filter_map(|id| self.list.get(id));
        self.under_way.values().any(|u| u.to.as_ref() == Some(pool))
            || listed.any(|i| i.pool == *pool)
    }

    /// Records an order to maintain an instance, or to move it to the pool `to`.
    pub fn operation_started(&mut self, id: &InstanceId, now: Steady, to: Option<ServiceName>) {
        let endpoint = self.list.get(id).and_then(|i| i.endpoint.clone());
        self.under_way.insert(
            id.clone(),
            UnderWay {
                decided_at: now,
                endpoint,
                outcome: None,
                to,
            },
        );
    }

    /// Withdraws the operation decided at `at`, which was dropped before it was sent. A newer
    /// operation on the instance stays.
    pub fn operation_dropped(&mut self, id: &InstanceId, at: Steady) {
        if self.under_way.get(id).is_some_and(|u| u.decided_at == at) {
            self.under_way.remove(id);
        }
    }

    /// Whether an operation on the instance is not known to be over.
    #[must_use]
    pub fn is_under_way(&self, id: &InstanceId) -> bool {
        self.under_way.contains_key(id)
    }

    /// Processes the outcome of an operation; returns the wave's record if it changed.
    ///
    /// # Errors
    ///
    /// If the record cannot be encoded, which does not happen for these types.
    pub fn operation_ended(
        &mut self,
        id: &InstanceId,
        wave: Option<u64>,
        outcome: OperationOutcome,
        now: Steady,
    ) -> progress::Result<Option<Record>> {
        if let Some(under_way) = self.under_way.get_mut(id) {
            under_way.outcome = Some((outcome, now));
        }
        match outcome {
            OperationOutcome::Taken => wave.map(|w| self.confirm(w, id)).transpose(),
            // Ordered again after `RETRY_AFTER`. This includes refusals because the instance
            // does not exist: it may have crashed and come back.
            OperationOutcome::Refused
            | OperationOutcome::Busy
            | OperationOutcome::Later
            | OperationOutcome::Unanswered => Ok(None),
        }
    }

    fn confirm(&mut self, wave: u64, id: &InstanceId) -> progress::Result<Record> {
        let confirmed = self.confirmed.entry(wave).or_default();
        confirmed.instances.insert(id.clone());
        wave_record(wave, confirmed)
    }

    /// Drops operations that had no effect, and those without an answer once a later list shows what
    /// became of them, so that they are ordered again. If one was carried out, the repeated order is
    /// confirmed.
    pub fn forget_unanswered(&mut self, now: Steady) {
        let (list, listed_at) = (&self.list, self.listed_at);
        self.under_way
            .retain(|id, u| !u.may_be_repeated(now, list.get(id), listed_at));
    }

    /// Whether an instance is missing from the list and will not come back: it was about to leave,
    /// or it has been missing for too long. A crashed instance may be missing for some seconds.
    fn is_gone(&self, id: &InstanceId) -> bool {
        let since = self.absent_since.get(id);
        let listed_at = self.listed_at.unwrap_or_default();
        let was_leaving = |c: &Confirmed| c.leaving.contains(id);
        let gone_after = if self.leaving.contains(id) || self.confirmed.values().any(was_leaving) {
            LEAVING_GONE_AFTER
        } else {
            CRASHED_GONE_AFTER
        };
        since.is_some_and(|&since| listed_at.saturating_sub(since) > gone_after)
    }

    fn record_absences(&mut self, asked_at: Steady) {
        let due = self.waves.values().flat_map(|w| &w.wave.instances);
        for id in due {
            if self.list.contains_key(id) {
                self.absent_since.remove(id);
            } else {
                self.absent_since.entry(id.clone()).or_insert(asked_at);
            }
        }
    }

    /// Whether every instance of a wave has been maintained or is gone for good.
    ///
    /// A maintained instance may already be moving to another pool: pools are scaled all the time,
    /// and a large wave would hardly ever find all of its instances at rest.
    fn is_wave_over(&self, number: u64) -> bool {
        let Some(state) = self.waves.get(&number) else {
            return false;
        };
        let confirmed = self.confirmed.get(&number);
        let is_done = |id: &InstanceId| {
            let is_maintained = confirmed.is_some_and(|c| c.instances.contains(id));
            match self.under_way.get(id) {
                Some(under_way) => is_maintained && under_way.to.is_some(),
                None => is_maintained || self.is_gone(id),
            }
        };
        self.listed_at.is_some() && state.wave.instances.iter().all(is_done)
    }

    /// Waves whose status has changed: number, whether completed, and the record that has to be
    /// durable before the status is reported.
    ///
    /// # Errors
    ///
    /// If a record cannot be encoded, which does not happen for these types.
    pub fn take_status_changes(&mut self) -> progress::Result<Vec<(u64, bool, Option<Record>)>> {
        let mut changed = Vec::new();
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let was_completed = self.is_completed(number);
            let is_completed = was_completed || self.is_wave_over(number);
            let mut record = None;
            if is_completed && !was_completed {
                let confirmed = self.confirmed.entry(number).or_default();
                confirmed.is_completed = true;
                record = Some(wave_record(number, confirmed)?);
            }
            if let Some(state) = self.waves.get_mut(&number)
                && state.reported != Some(is_completed)
            {
                state.reported = Some(is_completed);
                changed.push((number, is_completed, record));
            }
        }
        Ok(changed)
    }
}

/// What remains to be done of a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remaining {
    /// Wave number.
    pub wave: u64,
    /// Instances that are still to be taken down.
    pub left: Vec<InstanceId>,
    /// Number of instances that may be taken down now.
    pub may_begin: usize,
    /// Largest number of instances that may be down at the same time.
    pub max_down: usize,
    /// When this leader first saw the wave.
    pub since: Steady,
    /// Time that had passed before.
    pub passed_before: Duration,
    /// Time limit for the whole wave.
    pub within: Duration,
}

impl Remaining {
    /// Time until the limit of the whole wave; zero once it is over.
    #[must_use]
    pub fn time_left(&self, now: Steady) -> Duration {
        let passed = self.passed_before + now.saturating_sub(self.since);
        self.within.saturating_sub(passed)
    }
}

/// First character of the key of a wave's record.
const WAVE_PREFIX: char = 'w';
/// First character of the key of the record of when a wave was requested.
const REQUEST_PREFIX: char = 'r';
/// First character of the key of an operation's record.
const OPERATION_PREFIX: char = 'o';

/// Encodes the record of an operation on an instance, ordered at `at_ms`.
///
/// # Errors
///
/// If encoding fails, which does not happen for these types.
pub fn operation_record(id: &InstanceId, at_ms: UnixMs) -> progress::Result<Record> {
    progress::encode(format!("{OPERATION_PREFIX}{id}").into(), &at_ms)
}

fn wave_record(number: u64, confirmed: &Confirmed) -> progress::Result<Record> {
    progress::encode(format!("{WAVE_PREFIX}{number}").into(), confirmed)
}
