//! Decides which waiting request goes to which runner, for one entry instance.
//!
//! Performs no I/O and reads no clock: the caller passes in the configuration, arrivals,
//! completions, messages from peers and the current time, and gets back the requests to send.
//!
//! * `parts`: the share of each pool that this entry instance and its teams are entitled to.
//! * `holdings`: the permits held here, and the requests for permits sent to their homes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pomelohitch_core::id::{InstanceId, MemberId, PoolId, ServiceId, TeamId};
use pomelohitch_permits::{Holder, Load, Resource};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::budget::RetryBudget;
use crate::pick::{Candidate, Outcome, Picker};
use crate::queue::{self, Monotonic, Queue, Refusal, Waiting};

mod holdings;
mod parts;

/// The part of the fleet's state that dispatching depends on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// This entry instance.
    pub own: MemberId,
    /// All entry instances, this one included.
    pub members: BTreeSet<MemberId>,
    /// The configured services.
    pub services: BTreeMap<ServiceId, ServiceTerms>,
    /// Share (relative weight) of each team.
    pub shares: BTreeMap<TeamId, u32>,
    /// Runners of each pool that accept requests.
    pub pools: BTreeMap<PoolId, Vec<Runner>>,
}

/// Settings of a service that matter for dispatching.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTerms {
    /// The pool of its runners.
    pub pool: PoolId,
    /// Maximum number of requests that one runner executes concurrently.
    pub slots: u32,
    /// Bound of the queue at this entry instance, see [`queue::Options::bound`].
    pub queue: usize,
    /// Upper bound on the run time of a request: once it has passed since sending, the request has
    /// certainly stopped.
    pub longest_run: Monotonic,
}

/// A runner that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Its id.
    pub id: InstanceId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Whether it is in this entry instance's availability zone.
    pub is_same_zone: bool,
}

/// A request to be sent now; its permits have been taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
    /// The runner.
    pub runner: InstanceId,
    /// Address on which the runner listens.
    pub addr: SocketAddr,
    /// When it was sent.
    pub at: Monotonic,
    /// The incarnation that took its permits.
    generation: Generation,
}

/// Counts the incarnations of this process. A later one sends nothing with the permits that an
/// earlier one took.
pub type Generation = u64;

/// How a request that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The complete answer has arrived.
    Answered,
    /// The runner refused to start it.
    Refused,
    /// It could not be sent.
    Unsent,
    /// The answer was lost or late; the request may still be running.
    Unknown,
}

/// Resources to ask for in addition to those with a change to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskScope {
    /// No further resources.
    Changed,
    /// Resources of which this member holds less than its assigned part.
    BelowPart,
    /// All resources.
    All,
}

/// Queues, picks runners for and retries the requests of one entry instance. `T` identifies a
/// request to the caller.
#[derive(Debug)]
pub struct Dispatcher<T> {
    view: View,
    queues: BTreeMap<ServiceId, Queue<T>>,
    pickers: BTreeMap<PoolId, Picker>,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    holders: BTreeMap<Resource, Holder>,
    wants: BTreeMap<Resource, u32>,
    running: BTreeMap<(ServiceId, TeamId), u32>,
    running_at: BTreeMap<InstanceId, u32>,
    peers: BTreeMap<MemberId, Vec<Load>>,
    seen_teams: BTreeSet<(ServiceId, TeamId)>,
    /// Slot resources of each pool's runners, in the order of the view.
    slots: BTreeMap<PoolId, Vec<Resource>>,
    /// Inputs from which `wants` was last computed; `None` after a change of the view.
    share_inputs: Option<parts::ShareInputs>,
    /// Whether held permits may have changed since the queues' slot counts were updated.
    permits_changed: bool,
    generation: Generation,
    is_leaving: bool,
    random: StdRng,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher with an empty view. `seed` initialises the random choice between
    /// equally good runners.
    #[must_use]
    pub fn new(seed: u64) -> Dispatcher<T> {
        Dispatcher {
            view: View::default(),
            queues: BTreeMap::new(),
            pickers: BTreeMap::new(),
            budgets: BTreeMap::new(),
            holders: BTreeMap::new(),
            wants: BTreeMap::new(),
            running: BTreeMap::new(),
            running_at: BTreeMap::new(),
            peers: BTreeMap::new(),
            seen_teams: BTreeSet::new(),
            slots: BTreeMap::new(),
            share_inputs: None,
            permits_changed: true,
            generation: 0,
            is_leaving: false,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Replaces the view. Requests queued for services that no longer exist stay queued until they
    /// expire.
    pub fn set_view(&mut self, view: View) {
        for (id, terms) in &view.services {
            let queue = self.queues.entry(id.clone());
            let queue = queue.or_insert_with(|| Queue::new(queue::Options::default()));
            queue.set_bound(terms.queue);
        }
        self.peers.retain(|member, _| view.members.contains(member));
        for (pool, runners) in &view.pools {
            let ids: BTreeSet<_> = runners.iter().map(|runner| &runner.id).collect();
            let picker = self.pickers.entry(pool.clone()).or_default();
            picker.retain(|id| ids.contains(id));
            let slots = runners.iter().map(|r| Resource::Slots(r.id.clone()));
            self.slots.insert(pool.clone(), slots.collect());
        }
        self.view = view;
        self.share_inputs = None;
        self.update_shares();
    }

    /// Starts a new incarnation: the process holds no permits of the previous one but those of
    /// requests that still run.
    pub fn start_incarnation(&mut self) {
        for holder in self.holders.values_mut() {
            holder.resume();
        }
        self.permits_changed = true;
        self.generation += 1;
    }

    /// Whether the permits of a request were taken by the current incarnation.
    #[must_use]
    pub fn is_current(&self, sent: &Sent) -> bool {
        sent.generation == self.generation
    }

    /// Stores the load that a peer reported.
    pub fn set_peer_loads(&mut self, member: MemberId, loads: Vec<Load>) {
        self.peers.insert(member, loads);
    }

    /// Number of requests of each service that run or wait, here and at the peers according to
    /// their last reports.
    #[must_use]
    pub fn demand(&self) -> BTreeMap<ServiceId, u32> {
        let mut demand = BTreeMap::new();
        let own = self.loads();
        for load in self.peers.values().flatten().chain(&own) {
            let count = demand.entry(load.service.clone()).or_insert(0_u32);
            *count = count
                .saturating_add(load.running)
                .saturating_add(load.waiting);
        }
        demand
    }

    /// Number of requests of this entry instance under way at runners for which `is_counted`.
    pub fn running_at(&self, is_counted: impl Fn(&InstanceId) -> bool) -> u32 {
        let running_at = self.running_at.iter();
        let counted = running_at.filter(|(id, _)| is_counted(id));
        counted.map(|(_, count)| count).sum()
    }

    /// The load of this entry instance, to be reported to its peers.
    #[must_use]
    pub fn loads(&self) -> Vec<Load> {
        let mut loads: BTreeMap<(&ServiceId, &TeamId), Load> = BTreeMap::new();
        for ((service, team), count) in &self.running {
            loads.entry((service, team)).or_default().running += count;
        }
        for (service, queue) in &self.queues {
            for (team, count) in queue.waiting_by_team().filter(|(_, count)| *count > 0) {
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                loads.entry((service, team)).or_default().waiting += count;
            }
            for (team, need) in queue.needs() {
                loads.entry((service, team)).or_default().need += thousandths(need);
            }
        }
        let loads = loads.into_iter().map(|((service, team), load)| Load {
            service: service.clone(),
            team: team.clone(),
            ..load
        });
        loads.collect()
    }

    /// Queues a request, or refuses it immediately.
    ///
    /// # Errors
    /// If the request would not be served before its deadline, or its team's part of the queue is
    /// full; the refusal says when to retry.
    ///
    /// # Panics
    /// If `service` isn't in the view.
    pub fn offer(
        &mut self,
        service: &ServiceId,
        req: Waiting<T>,
        now: Monotonic,
    ) -> Result<(), Refusal> {
        let key = (service.clone(), req.team.clone());
        let is_new = self.seen_teams.insert(key);
        let queue = self.queues.get_mut(service);
        let queue = queue.expect("the view has a queue for each of its services");
        let offered = queue.offer(req, now);
        if is_new {
            self.update_shares();
        }
        offered
    }

    /// Returns all requests to send now. `is_fresh` says whether this incarnation's lease covers
    /// the current time; without a lease nothing is sent.
    pub fn dispatch(&mut self, now: Monotonic, is_fresh: bool) -> Vec<(T, Sent)> {
        let mut sent = Vec::new();
        if !is_fresh {
            return sent;
        }
        let services: Vec<_> = self.queues.keys().cloned().collect();
        // Starts at a random service, so that no service of a pool always gets free slots first.
        let first = self.random.next_u64();
        let first = usize::try_from(first % services.len().max(1) as u64).unwrap_or(0);
        for service in services.iter().cycle().skip(first).take(services.len()) {
            while let Some(one) = self.send_one(service, now) {
                sent.push(one);
            }
        }
        sent
    }

    fn send_one(&mut self, service: &ServiceId, now: Monotonic) -> Option<(T, Sent)> {
        let holders = &self.holders;
        let may_run = |team: &TeamId| spare(holders, &Resource::Team(team.clone())) > 0;
        if !self.queues.get(service)?.has_next(may_run) {
            return None;
        }
        let (runner, addr) = self.pick(service, None, now)?;
        let holders = &self.holders;
        let may_run = |team: &TeamId| spare(holders, &Resource::Team(team.clone())) > 0;
        let req = self.queues.get_mut(service)?.next(may_run)?;
        let sent = self.take_permits(service, &req.team, runner, addr, now)?;
        Some((req.token, sent))
    }

    /// Starts another attempt of a request whose last attempt failed. `None` if the retry budget,
    /// the permits or the runners do not allow it now.
    pub fn retry(
        &mut self,
        service: &ServiceId,
        team: &TeamId,
        avoid: &InstanceId,
        now: Monotonic,
        is_fresh: bool,
    ) -> Option<Sent> {
        if !is_fresh || spare(&self.holders, &Resource::Team(team.clone())) == 0 {
            return None;
        }
        if !self.budgets.entry(service.clone()).or_default().try_take() {
            return None;
        }
        let (runner, addr) = self.pick(service, Some(avoid), now)?;
        self.take_permits(service, team, runner, addr, now)
    }

    /// Time after which an attempt on a reused connection without an answer is followed by another
    /// attempt; `None` if no retry is allowed.
    #[must_use]
    pub fn attempt_timeout(&self, service: &ServiceId) -> Option<Monotonic> {
        let may_retry = self
            .budgets
            .get(service)
            .is_some_and(RetryBudget::allows_retry);
        let mean_run = self.queues.get(service)?.mean_run();
        may_retry.then(|| MIN_ATTEMPT_TIMEOUT.max(mean_run * ATTEMPT_TIMEOUT_RUNS))
    }

    /// Whether a request with `left` of its `timeout` is expected to be answered before its deadline.
    ///
    /// A request that is sent too late has an unknown outcome after it has occupied a slot. One that
    /// still has most of its timeout is sent in any case: its caller knows how long its runs take.
    #[must_use]
    pub fn has_time(&self, service: &ServiceId, left: Monotonic, timeout: Monotonic) -> bool {
        let mean_run = self.queues.get(service).map(Queue::mean_run);
        let needed = mean_run.unwrap_or_default() * EXPECTED_RUNS;
        !left.is_zero() && left >= needed.min(timeout / 2)
    }

    /// Takes the permits of a request. The caller has checked in the same step that the lease is
    /// valid.
    fn take_permits(
        &mut self,
        service: &ServiceId,
        team: &TeamId,
        runner: InstanceId,
        addr: SocketAddr,
        now: Monotonic,
    ) -> Option<Sent> {
        let team_resource = Resource::Team(team.clone());
        let slot_resource = Resource::Slots(runner.clone());
        if !self.holders.get_mut(&team_resource)?.take(true) {
            return None;
        }
        if !self.holders.get_mut(&slot_resource)?.take(true) {
            self.holders.get_mut(&team_resource)?.release();
            return None;
        }
        let key = (service.clone(), team.clone());
        *self.running.entry(key).or_default() += 1;
        *self.running_at.entry(runner.clone()).or_default() += 1;
        Some(Sent {
            service: service.clone(),
            team: team.clone(),
            runner,
            addr,
            at: now,
            generation: self.generation,
        })
    }

    fn pick(
        &mut self,
        service: &ServiceId,
        avoid: Option<&InstanceId>,
        now: Monotonic,
    ) -> Option<(InstanceId, SocketAddr)> {
        let terms = self.view.services.get(service)?;
        let runners = self.view.pools.get(&terms.pool)?;
        let slots = self.slots.get(&terms.pool)?;
        let free_slots: Vec<_> = slots.iter().map(|s| spare(&self.holders, s)).collect();
        // Returns early in the usual case under overload: no slot is free.
        if free_slots.iter().all(|spare| *spare == 0) {
            return None;
        }
        let candidates: Vec<_> = runners
            .iter()
            .zip(&free_slots)
            .map(|(runner, spare)| Candidate {
                id: &runner.id,
                is_same_zone: runner.is_same_zone,
                running: self.running_at.get(&runner.id).copied().unwrap_or(0),
                has_slot: *spare > 0,
            })
            .collect();
        let random = self.random.next_u64();
        let picker = self.pickers.entry(terms.pool.clone()).or_default();
        let id = picker.pick(&candidates, avoid, now, random)?;
        let runner = runners.iter().find(|runner| runner.id == id)?;
        Some((id, runner.addr))
    }

    /// Records a first attempt, which adds to the retry budget.
    pub fn record_first_attempt(&mut self, service: &ServiceId) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .record_first_attempt();
    }

    /// Records how a request ended and returns its permits: at once, or, if it may still be
    /// running, when it has certainly stopped.
    pub fn complete(&mut self, sent: &Sent, end: Completion, now: Monotonic) {
        let took = now.saturating_sub(sent.at);
        let outcome = match end {
            Completion::Answered => Outcome::Answered(took),
            Completion::Refused => Outcome::Refused,
            Completion::Unsent | Completion::Unknown => Outcome::Failed,
        };
        let terms = self.view.services.get(&sent.service);
        if let Some(terms) = terms {
            let picker = self.pickers.entry(terms.pool.clone()).or_default();
            picker.record(&sent.runner, outcome, now);
        }
        let longest_run = terms.map_or(DEFAULT_LONGEST_RUN, |terms| terms.longest_run);
        let until = (end == Completion::Unknown).then(|| sent.at + longest_run);
        self.return_permits(sent, until.filter(|until| *until > now));
        if end == Completion::Answered
            && let Some(queue) = self.queues.get_mut(&sent.service)
        {
            queue.record_run(&sent.team, took);
        }
        let key = (sent.service.clone(), sent.team.clone());
        decrement(&mut self.running, &key);
        decrement(&mut self.running_at, &sent.runner);
    }

    fn return_permits(&mut self, sent: &Sent, until: Option<Monotonic>) {
        for resource in [
            Resource::Team(sent.team.clone()),
            Resource::Slots(sent.runner.clone()),
        ] {
            let Some(holder) = self.holders.get_mut(&resource) else {
                continue;
            };
            match until {
                Some(until) => holder.release_at(until),
                None => holder.release(),
            }
        }
    }

    /// Removes and returns queued requests whose deadline has passed.
    pub fn expire(&mut self, now: Monotonic) -> Vec<Waiting<T>> {
        for holder in self.holders.values_mut() {
            holder.expire(now);
        }
        let queues = self.queues.values_mut();
        queues.flat_map(|queue| queue.expire(now)).collect()
    }

    /// The earliest deadline of all queued requests.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Monotonic> {
        let queues = self.queues.values();
        queues.filter_map(Queue::first_deadline).min()
    }

    /// Expected time until a new request of `team` would be answered, for use in `Retry-After`.
    #[must_use]
    pub fn expected_wait(&self, service: &ServiceId, team: &TeamId) -> Monotonic {
        let queue = self.queues.get(service);
        queue.map_or(Monotonic::ZERO, |queue| {
            queue.expected_wait(team, crate::Priority::Quick) + queue.mean_run()
        })
    }
}

/// Minimum time without an answer after which a reused connection counts as broken.
const MIN_ATTEMPT_TIMEOUT: Monotonic = Monotonic::from_secs(1);
/// Number of mean run times without an answer after which a reused connection counts as broken.
const ATTEMPT_TIMEOUT_RUNS: u32 = 8;

/// Number of mean run times within which most runs end.
const EXPECTED_RUNS: u32 = 2;

/// Longest run time assumed for a service that was removed while its requests ran.
const DEFAULT_LONGEST_RUN: Monotonic = Monotonic::from_mins(10);

fn spare(holders: &BTreeMap<Resource, Holder>, resource: &Resource) -> u32 {
    holders.get(resource).map_or(0, Holder::spare)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn thousandths(number: f64) -> u32 {
    (number * 1000.0).ceil() as u32
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
