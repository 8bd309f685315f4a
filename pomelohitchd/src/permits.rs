//! Permits, queues and runners of this entry instance, and the exchange with the other ones.
//!
//! One lock guards the dispatcher of `pomelohitch-route` and the homes of `pomelohitch-permits`;
//! every step under it is short and does no I/O. [`run`] sends batches to the homes several times
//! a second.
//!
//! * [`limit_split`]: splits each team's limit between requests and jobs.
//! * `exchange`: permit messages between entry instances.
//! * [`keys`]: idempotency keys.
//! * [`view`]: derives the dispatcher's view from the fleet state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError, mpsc};
use std::time::{Duration, Instant};

use pomelohitch_core::State;
use pomelohitch_core::id::{Incarnation, InstanceId, MemberId, Offset, ServiceId, TeamId};
use pomelohitch_peer::{Call, Command, Commands};
use pomelohitch_permits::{Homes, Monotonic, Resource};
use pomelohitch_route::dispatch::{Completion, Sent};
use pomelohitch_route::queue::{Refusal, Waiting};
use pomelohitch_route::{Dispatcher, Priority};

use crate::freshness;
use crate::node::{KnownWithdrawals, Node};

mod exchange;
pub mod keys;
pub mod limit_split;
pub mod view;

pub use exchange::{on_batch, run, step};
use keys::KeyHome;
use keys::notices::Unacknowledged;
use limit_split::LimitSplits;

/// Permits are exchanged at every tick for this long after the last request, batch or change.
const ACTIVE_FOR: Duration = Duration::from_secs(2);
/// Margin after a request's deadline, so that the queue has time to expire it.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Sends the runner and permits to a waiting request, or `None` if it expires in the queue.
type GrantSender = mpsc::Sender<Option<Sent>>;

/// Dispatcher, permit homes and idempotency keys behind one lock.
#[derive(Debug)]
pub struct Permits {
    start: Instant,
    inner: Mutex<Inner>,
    /// Commands to the peer links; `None` before the start and during shutdown.
    links: Mutex<Option<Commands>>,
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher<GrantSender>,
    homes: Homes,
    keys: KeyHome,
    unacknowledged: Unacknowledged,
    limit_splits: LimitSplits,
    limits: view::Limits,
    view_inputs: ViewInputs,
    /// Until this time permits are exchanged at every tick, afterwards only at idle ticks.
    active_until: Monotonic,
    /// Peers that haven't answered the last batch yet.
    in_flight: BTreeSet<MemberId>,
    /// Whether the last loads that peers received from here were empty.
    sent_empty_loads: bool,
}

/// The inputs from which the dispatcher's view was last built.
#[derive(Debug, Default, PartialEq, Eq)]
struct ViewInputs {
    next: Offset,
    incarnation: Incarnation,
    leaving: BTreeSet<InstanceId>,
}

/// Why a request gets no runner and permits. Such a request certainly didn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// It wouldn't be served before its deadline, or the queue is full.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    Expired {
        /// Expected time until capacity is free.
        retry_after: Duration,
    },
}

impl Default for Permits {
    fn default() -> Self {
        Permits {
            start: Instant::now(),
            inner: Mutex::new(Inner {
                dispatcher: Dispatcher::new(rand::random()),
                homes: Homes::default(),
                keys: KeyHome::default(),
                unacknowledged: Unacknowledged::default(),
                limit_splits: LimitSplits::default(),
                limits: view::Limits::default(),
                view_inputs: ViewInputs::default(),
                active_until: Monotonic::ZERO,
                in_flight: BTreeSet::new(),
                sent_empty_loads: true,
            }),
            links: Mutex::default(),
        }
    }
}

impl Permits {
    /// Sets the links over which peers are called.
    pub fn set_links(&self, links: Commands) {
        *self.lock_links() = Some(links);
    }

    /// Number of requests of each service that run or wait in the whole fleet, from the loads
    /// received so far.
    #[must_use]
    pub fn demand(&self) -> BTreeMap<ServiceId, u32> {
        self.lock().dispatcher.demand()
    }

    /// Drops the command sender. The links' thread ends only after every sender is dropped, so
    /// keeping this one would block shutdown forever.
    pub fn drop_links(&self) {
        *self.lock_links() = None;
    }

    fn lock_links(&self) -> MutexGuard<'_, Option<Commands>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of the process, on the monotonic clock of all decisions here.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        self.start.elapsed()
    }

    /// Ignores poisoning: the data is consistent after every step, even if a lock holder panicked.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, member: MemberId, call: Call) {
        match &*self.lock_links() {
            // A send fails only during shutdown, when the links' thread has ended. Callers bound
            // their wait for an answer themselves.
            Some(links) => drop(links.send(Command::Call(member, call))),
            None => drop(call),
        }
    }
}

/// A request that needs a runner and permits.
#[derive(Debug, Clone)]
pub struct AcquireRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The team.
    pub team: &'a TeamId,
    /// Its priority in the queue.
    pub priority: Priority,
    /// The request expires at this time.
    pub deadline: Instant,
    /// Whether it had a runner and permits before and gave them back unused.
    pub is_repeated: bool,
}

/// Waits until a request has a runner and its permits.
///
/// # Errors
/// If the queue refuses it or its deadline passes first.
pub fn acquire(node: &Node, request: &AcquireRequest<'_>) -> Result<Sent, AcquireError> {
    let (tx, rx) = mpsc::channel();
    let permits = &node.permits;
    {
        let mut inner = permits.lock();
        let now = permits.now();
        inner.refresh(node, now);
        inner.mark_active(now);
        let req = Waiting {
            team: request.team.clone(),
            priority: request.priority,
            deadline: now + request.deadline.saturating_duration_since(Instant::now()),
            token: tx,
        };
        if !request.is_repeated {
            inner.dispatcher.record_first_attempt(request.service);
        }
        let offered = inner.dispatcher.offer(request.service, req, now);
        offered.map_err(AcquireError::Refused)?;
        inner.dispatch_ready(node, now);
    }
    let left = request.deadline.saturating_duration_since(Instant::now());
    let grant = rx.recv_timeout(left + EXPIRY_MARGIN).ok().flatten();
    let grant = grant.or_else(|| take_late_grant(permits, rx));
    grant.ok_or_else(|| AcquireError::Expired {
        retry_after: expected_wait(node, request.service, request.team),
    })
}

/// The grant that was sent after the wait had ended, if any. Under the lock no further one can be
/// sent before `rx` is dropped, so that none is lost with its permits.
fn take_late_grant(permits: &Permits, rx: mpsc::Receiver<Option<Sent>>) -> Option<Sent> {
    let _inner = permits.lock();
    let late = rx.try_recv().ok().flatten();
    drop(rx);
    late
}

/// Whether this process may use its permits now: the state is fresh and shows this incarnation as a
/// member.
///
/// Otherwise the incarnation may have been ended by a record in the log, and its permits granted to
/// other members.
fn may_use_permits(node: &Node) -> bool {
    if !freshness::is_fresh(node) {
        return false;
    }
    let state = node.state.load();
    let member = state.members.by_id.get(&node.settings.member);
    let incarnation = node.incarnation.load(Ordering::Acquire);
    member.is_some_and(|member| member.incarnation == incarnation)
}

/// Whether this process still holds the permits of `sent`; checked right before sending.
#[must_use]
pub fn may_send(node: &Node, sent: &Sent) -> bool {
    let permits = &node.permits;
    let mut inner = permits.lock();
    inner.refresh(node, permits.now());
    may_use_permits(node) && inner.dispatcher.is_current(sent)
}

/// Picks another runner for a request whose `last` attempt failed, if another attempt is allowed
/// and possible right now.
#[must_use]
pub fn retry(node: &Node, last: &Sent) -> Option<Sent> {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    let may_use_permits = may_use_permits(node);
    let (service, team) = (&last.service, &last.team);
    inner
        .dispatcher
        .retry(service, team, &last.runner, now, may_use_permits)
}

/// Timeout of an attempt on a reused connection, after which another attempt is made; `None` if
/// no further attempt is allowed.
#[must_use]
pub fn attempt_timeout(node: &Node, service: &ServiceId) -> Option<Duration> {
    node.permits.lock().dispatcher.attempt_timeout(service)
}

/// Whether a request with `left` of its `timeout` is expected to be answered before its deadline.
#[must_use]
pub fn has_time(node: &Node, service: &ServiceId, left: Duration, timeout: Duration) -> bool {
    let permits = node.permits.lock();
    permits.dispatcher.has_time(service, left, timeout)
}

/// Records how a dispatched request ended, and dispatches waiting ones.
pub fn complete(node: &Node, sent: &Sent, completion: Completion) {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.dispatcher.complete(sent, completion, now);
    inner.dispatch_ready(node, now);
}

/// Expected time until a refused request of `team` finds capacity.
#[must_use]
pub fn expected_wait(node: &Node, service: &ServiceId, team: &TeamId) -> Duration {
    node.permits.lock().dispatcher.expected_wait(service, team)
}

/// Number of requests under way at instances for which `is_counted`.
pub fn running_at(node: &Node, is_counted: impl Fn(&InstanceId) -> bool) -> u32 {
    node.permits.lock().dispatcher.running_at(is_counted)
}

/// The number of permits of `resource` held here, and how many of them are in use.
#[must_use]
pub fn permit_counts(node: &Node, resource: &Resource) -> (u32, u32) {
    node.permits.lock().dispatcher.permits(resource)
}

impl Inner {
    /// Exchanges permits at every tick for a while, because something changed.
    fn mark_active(&mut self, now: Monotonic) {
        self.active_until = now + ACTIVE_FOR;
    }

    /// Rebuilds the view if the fleet state, the incarnation or the leaving instances changed.
    fn refresh(&mut self, node: &Node, now: Monotonic) {
        let state = node.state.load();
        let withdrawals = node.known_withdrawals.load();
        let incarnation = node.incarnation.load(Ordering::Acquire);
        let is_current = self.view_inputs.next == state.next
            && self.view_inputs.incarnation == incarnation
            && self.view_inputs.leaving == withdrawals.leaving_instances;
        if is_current {
            return;
        }
        if self.view_inputs.incarnation != incarnation {
            self.dispatcher.start_incarnation();
        }
        self.mark_active(now);
        self.update_view(node, &state, &withdrawals, now);
        self.view_inputs = ViewInputs {
            next: state.next,
            incarnation,
            leaving: withdrawals.leaving_instances.clone(),
        };
    }

    fn update_view(
        &mut self,
        node: &Node,
        state: &State,
        withdrawals: &KnownWithdrawals,
        now: Monotonic,
    ) {
        let epoch = view::epoch(state);
        let incarnation = node.incarnation.load(Ordering::Acquire);
        let own = &node.settings.member;
        self.keys.enter(own, incarnation, &epoch, now);
        self.homes.enter(epoch);
        for resource in self.limits.update(state) {
            self.dispatcher.require_confirmation(&resource);
        }
        let view = view::view(&node.settings, state, withdrawals);
        if *self.dispatcher.view() != view {
            self.dispatcher.set_view(view);
        }
    }

    fn expire(&mut self, now: Monotonic) {
        for expired in self.dispatcher.expire(now) {
            // The waiting thread may have timed out at the same moment.
            let _ = expired.token.send(None);
        }
    }

    /// Hands runners and permits to all waiting requests that can be dispatched now.
    fn dispatch_ready(&mut self, node: &Node, now: Monotonic) {
        let may_use_permits = may_use_permits(node);
        for (grant, sent) in self.dispatcher.dispatch(now, may_use_permits) {
            if let Err(mpsc::SendError(Some(sent))) = grant.send(Some(sent)) {
                // The waiting thread has given up at the deadline; nothing was sent.
                self.dispatcher.complete(&sent, Completion::Refused, now);
            }
        }
    }
}
