//! Instances: moves between pools and maintenance in waves.
//!
//! An instance is only moved or maintained when nothing runs on it. It is therefore reserved
//! first, which keeps new work away; what lasts is moved elsewhere, the rest ends by itself.

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

/// How an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// At work.
    Up,
    /// On its way to another pool.
    Moving,
    /// Being maintained.
    Maintenance,
    /// Not there.
    Down,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Which instance.
    pub id: InstanceId,
    /// The pool that it is in.
    pub pool: ServiceName,
    /// How it is.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Room for tasks.
    pub capacity: Resources,
    /// Its kind and its rack; both stay with it, whichever pool it is in.
    pub labels: Arc<[Box<str>]>,
    /// The endpoint that lives on it now.
    pub endpoint: Option<EndpointId>,
}

/// Instances that are due for maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Which wave.
    pub number: u64,
    /// Its instances.
    pub instances: Vec<InstanceId>,
    /// The time for all of it.
    pub within: Duration,
    /// How many may be down at once.
    pub at_once: usize,
}

/// What lasts of a wave: only what the platform has confirmed. An order that was on its way when
/// its leader ended may never have been carried out, and counted as done it would leave the
/// instance out of its wave for good. Ordered again it does no harm, as the platform answers that
/// it is done already.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Confirmed {
    instances: BTreeSet<InstanceId>,
    is_completed: bool,
    /// Instances that were about to leave for good: a leader that takes over finds them missing,
    /// and would wait for them as for ones that crashed.
    leaving: BTreeSet<InstanceId>,
}

/// A wave and how far it is.
#[derive(Debug, Clone)]
struct WaveState {
    wave: Wave,
    seen_at: Steady,
    told: Option<bool>,
}

/// An instance that was ordered down and isn't known to be back.
#[derive(Debug, Clone, PartialEq, Eq)]
struct UnderWay {
    since: Steady,
    endpoint: Option<EndpointId>,
    is_answered: bool,
    to: Option<ServiceName>,
}

/// All instances and waves.
#[derive(Debug, Clone, Default)]
pub struct Instances {
    list: BTreeMap<InstanceId, Instance>,
    listed_at: Option<Steady>,
    asked_at: Option<Steady>,
    waves: BTreeMap<u64, WaveState>,
    confirmed: BTreeMap<u64, Confirmed>,
    /// When former leaders last ordered an operation on an instance.
    former_orders: BTreeMap<InstanceId, UnixMs>,
    absent_since: BTreeMap<InstanceId, Steady>,
    leaving: BTreeSet<InstanceId>,
    under_way: BTreeMap<InstanceId, UnderWay>,
}

/// After a call that was taken, a list that was asked for earlier than this may not show it yet.
const LIST_LAG: Duration = Duration::from_millis(300);
/// A call that wasn't taken, or not answered, is made again after this.
const UNANSWERED_AFTER: Duration = Duration::from_millis(1500);
/// An instance missing from the list for longer than any crash of today lasts (10 s) is gone.
const GONE_AFTER: Duration = Duration::from_secs(16);
/// One whose endpoint had announced that it leaves is gone after this: an instance whose endpoint is
/// only replaced is back within two or three seconds.
const LEFT_AFTER: Duration = Duration::from_secs(5);

impl Instances {
    /// Takes in what a former leader recorded of a wave or an operation.
    pub fn restore(&mut self, key: &str, value: &[u8]) {
        if let Some(id) = key.strip_prefix(OPERATION_PREFIX) {
            // Without a time that can be read the order counts as given just now.
            let at_ms = postcard::from_bytes(value).unwrap_or(UnixMs::MAX);
            self.former_orders.insert(id.into(), at_ms);
            return;
        }
        let number = key.get(1..).and_then(|n| n.parse().ok());
        if let (Some(number), Ok(confirmed)) = (number, postcard::from_bytes(value)) {
            self.confirmed.insert(number, confirmed);
        }
    }

    /// When a former leader last ordered an operation on the instance, if any did.
    #[must_use]
    pub fn former_order_ms(&self, id: &InstanceId) -> Option<UnixMs> {
        self.former_orders.get(id).copied()
    }

    /// Takes in a wave that operators ask for. A wave keeps its number for good.
    pub fn wave(&mut self, wave: Wave, now: Steady) {
        self.waves.entry(wave.number).or_insert(WaveState {
            wave,
            seen_at: now,
            told: None,
        });
    }

    /// Takes in the platform's list, asked for at `asked_at`.
    ///
    /// Returns endpoints whose lives have ended, since their instances live others now.
    pub fn listed(&mut self, list: Vec<Instance>, asked_at: Steady) -> Vec<EndpointId> {
        let list: BTreeMap<_, _> = list.into_iter().map(|i| (i.id.clone(), i)).collect();
        let replaced = self.list.values().filter_map(|before| {
            let now = list.get(&before.id)?.endpoint.as_ref()?;
            let before = before.endpoint.as_ref()?;
            (now != before).then(|| before.clone())
        });
        let replaced = replaced.collect();
        self.list = list;
        self.note_absent(asked_at);
        self.listed_at = Some(asked_at);
        self.asked_at = None;
        let list = &self.list;
        self.under_way
            .retain(|id, u| !is_back(list.get(id), u, asked_at));
        replaced
    }

    /// Notes that these instances are about to leave for good: their endpoints drain. All others of the
    /// list stay. Returns the records of waves that ask for them.
    ///
    /// # Errors
    /// If a record can't be encoded, which for these types doesn't happen.
    pub fn leaving(&mut self, leaving: BTreeSet<InstanceId>) -> progress::Result<Vec<Record>> {
        let list = &self.list;
        self.leaving.retain(|id| !list.contains_key(id));
        self.leaving.extend(leaving);
        let mut records = Vec::new();
        for (&number, state) in &self.waves {
            let asked = state.wave.instances.iter();
            let leaving: BTreeSet<_> = asked.filter(|id| self.leaving.contains(*id)).collect();
            let confirmed = self.confirmed.entry(number).or_default();
            if confirmed.is_completed || leaving.iter().all(|id| confirmed.leaving.contains(*id)) {
                continue;
            }
            confirmed.leaving.extend(leaving.into_iter().cloned());
            records.push(wave_record(number, confirmed)?);
        }
        Ok(records)
    }

    /// The endpoint that lived on an instance before the operation that is under way.
    #[must_use]
    pub fn endpoint_before(&self, id: &InstanceId) -> Option<EndpointId> {
        self.under_way.get(id)?.endpoint.clone()
    }

    /// Endpoints on instances that an operation is under way for.
    #[must_use]
    pub fn endpoints_under_way(&self) -> BTreeSet<EndpointId> {
        let endpoints = self.under_way.values().filter_map(|u| u.endpoint.clone());
        endpoints.collect()
    }

    /// Takes in that the list couldn't be read.
    pub fn list_failed(&mut self) {
        self.asked_at = None;
    }

    /// Whether to ask for the list now, at most every `every`.
    pub fn wants_list(&mut self, now: Steady, every: Duration) -> bool {
        let is_due = self.listed_at.is_none_or(|at| now >= at + every);
        let is_asked = self.asked_at.is_some();
        if is_due && !is_asked {
            self.asked_at = Some(now);
            return true;
        }
        false
    }

    /// Whether some wave isn't completed.
    #[must_use]
    pub fn has_open_wave(&self) -> bool {
        self.waves.keys().any(|n| !self.is_completed(*n))
    }

    /// Whether an operation isn't known to be over.
    #[must_use]
    pub fn has_under_way(&self) -> bool {
        !self.under_way.is_empty()
    }

    fn is_completed(&self, number: u64) -> bool {
        self.confirmed.get(&number).is_some_and(|c| c.is_completed)
    }

    /// Instances that some open wave still asks for.
    #[must_use]
    pub fn due(&self) -> BTreeSet<InstanceId> {
        let remaining = self.remaining();
        remaining.into_iter().flat_map(|r| r.left).collect()
    }

    /// Every instance of the newest list.
    #[must_use]
    pub fn list(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.list
    }

    /// When the newest list was asked for.
    #[must_use]
    pub fn listed_at(&self) -> Option<Steady> {
        self.listed_at
    }

    /// Instances of each open wave that are still to be taken down, with how many may be now.
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
                may_begin: state.wave.at_once.saturating_sub(down),
                at_once: state.wave.at_once,
                since: state.seen_at,
                within: state.wave.within,
            }
        })
        .collect()
    }

    /// The pool that an instance is on its way to.
    #[must_use]
    pub fn destination(&self, id: &InstanceId) -> Option<&ServiceName> {
        self.under_way.get(id)?.to.as_ref()
    }

    /// Thousandths of a core of the instances that are on their way to the pool and may be given
    /// work there.
    #[must_use]
    pub fn awaited_cpu(&self, pool: &ServiceName, evacuations: &Evacuations) -> u64 {
        let is_coming = |i: &&Instance| match self.under_way.get(&i.id) {
            Some(under_way) => under_way.to.as_ref() == Some(pool),
            None => i.state == InstanceState::Moving && i.pool == *pool,
        };
        let usable = self.list.values().filter(|i| !evacuations.cover(&i.zone));
        let coming = usable.filter(is_coming);
        coming.map(|i| i.capacity.cpu).sum()
    }

    /// Whether an instance is on its way to the pool.
    #[must_use]
    pub fn is_awaited(&self, pool: &ServiceName) -> bool {
        let is_moving = |i: &Instance| i.state == InstanceState::Moving && i.pool == *pool;
        self.under_way.values().any(|u| u.to.as_ref() == Some(pool))
            || self.list.values().any(is_moving)
    }

    /// Notes that an instance is ordered down, or to another pool.
    pub fn set_under_way(&mut self, id: &InstanceId, now: Steady, to: Option<ServiceName>) {
        let endpoint = self.list.get(id).and_then(|i| i.endpoint.clone());
        self.under_way.insert(
            id.clone(),
            UnderWay {
                since: now,
                endpoint,
                is_answered: false,
                to,
            },
        );
    }

    /// Takes in that the operation decided at `at` was given up before it was ordered. Another may
    /// have been decided since.
    pub fn unsent(&mut self, id: &InstanceId, at: Steady) {
        if self.under_way.get(id).is_some_and(|u| u.since == at) {
            self.under_way.remove(id);
        }
    }

    /// Whether an operation on the instance isn't known to be over.
    #[must_use]
    pub fn is_under_way(&self, id: &InstanceId) -> bool {
        self.under_way.contains_key(id)
    }

    /// Takes in how an operation ended; returns the record of what is confirmed by it.
    ///
    /// # Errors
    /// If the record can't be encoded, which for these types doesn't happen.
    pub fn operated(
        &mut self,
        id: &InstanceId,
        wave: Option<u64>,
        outcome: OperationOutcome,
        now: Steady,
    ) -> progress::Result<Option<Record>> {
        match outcome {
            OperationOutcome::Taken => {
                if let Some(under_way) = self.under_way.get_mut(id) {
                    under_way.is_answered = true;
                    under_way.since = now;
                }
                wave.map(|w| self.confirm(w, id)).transpose()
            }
            // Ordered again after a while, also when the platform says that there is no such
            // instance: it may have crashed and come back.
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

    /// Calls whose answer was lost are made again; one that was carried out is confirmed then.
    pub fn forget_unanswered(&mut self, now: Steady) {
        self.under_way
            .retain(|_, u| u.is_answered || now <= u.since + UNANSWERED_AFTER);
    }

    /// Whether an instance is missing from the list and won't come back: it was about to leave, or
    /// has been missing for long. One that crashed may be missing for some seconds.
    fn is_gone(&self, id: &InstanceId) -> bool {
        let since = self.absent_since.get(id);
        let listed_at = self.listed_at.unwrap_or_default();
        let was_leaving = |c: &Confirmed| c.leaving.contains(id);
        let gone_after = if self.leaving.contains(id) || self.confirmed.values().any(was_leaving) {
            LEFT_AFTER
        } else {
            GONE_AFTER
        };
        since.is_some_and(|&since| listed_at.saturating_sub(since) > gone_after)
    }

    fn note_absent(&mut self, asked_at: Steady) {
        let due = self.waves.values().flat_map(|w| &w.wave.instances);
        for id in due {
            if self.list.contains_key(id) {
                self.absent_since.remove(id);
            } else {
                self.absent_since.entry(id.clone()).or_insert(asked_at);
            }
        }
    }

    /// Whether every instance of a wave is back from its maintenance, or gone for good.
    ///
    /// One that has been maintained may be on its way to another pool: pools follow demand all the
    /// time, and a large wave would hardly ever find all of its instances at rest.
    fn is_over(&self, number: u64) -> bool {
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

    /// Waves whose status has changed, with the record that has to be durable before it is told.
    ///
    /// # Errors
    /// If a record can't be encoded, which for these types doesn't happen.
    pub fn statuses(&mut self) -> progress::Result<Vec<(u64, bool, Option<Record>)>> {
        let mut changed = Vec::new();
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let was_completed = self.is_completed(number);
            let is_completed = was_completed || self.is_over(number);
            let mut record = None;
            if is_completed && !was_completed {
                let confirmed = self.confirmed.entry(number).or_default();
                confirmed.is_completed = true;
                record = Some(wave_record(number, confirmed)?);
            }
            if let Some(state) = self.waves.get_mut(&number)
                && state.told != Some(is_completed)
            {
                state.told = Some(is_completed);
                changed.push((number, is_completed, record));
            }
        }
        Ok(changed)
    }
}

/// What is left of a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remaining {
    /// Which wave.
    pub wave: u64,
    /// Instances that are still to be ordered down.
    pub left: Vec<InstanceId>,
    /// How many may be ordered down now.
    pub may_begin: usize,
    /// How many may be down at once.
    pub at_once: usize,
    /// When the wave was first seen.
    pub since: Steady,
    /// The time for all of it.
    pub within: Duration,
}

/// What the key of an operation's record begins with.
const OPERATION_PREFIX: char = 'o';

/// The record that an operation on an instance is ordered at that time.
///
/// # Errors
/// If it can't be encoded, which for these types doesn't happen.
pub fn operation_record(id: &InstanceId, at_ms: UnixMs) -> progress::Result<Record> {
    progress::encode(format!("{OPERATION_PREFIX}{id}").into(), &at_ms)
}

fn wave_record(number: u64, confirmed: &Confirmed) -> progress::Result<Record> {
    progress::encode(format!("w{number}").into(), confirmed)
}

fn is_back(instance: Option<&Instance>, under_way: &UnderWay, asked_at: Steady) -> bool {
    let Some(instance) = instance else {
        return under_way.is_answered && asked_at > under_way.since + LIST_LAG;
    };
    let is_up = instance.state == InstanceState::Up;
    is_up && under_way.is_answered && asked_at > under_way.since + LIST_LAG
}
