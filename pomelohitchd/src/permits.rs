//! Permits, queues and runners of this entry instance, and the exchange with the other ones.
//!
//! One lock holds the decisions of `pomelohitch-route` and the homes of `pomelohitch-permits`;
//! every step under it is short and does no I/O. [`run`] looks several times a second what there
//! is to say to the homes.
//!
//! * [`borders`]: what of a team's limit is for requests, and what for jobs.
//! * `exchange`: what entry instances say to one another about permits.
//! * [`keys`]: idempotency keys.
//! * [`view`]: what of the state concerns requests.

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
use crate::node::{BadNews, Node};

pub mod borders;
mod exchange;
pub mod keys;
pub mod view;

use borders::Borders;
pub use exchange::{on_batch, run, step};
use keys::KeyHome;

/// How long after the last request, ask or change looks follow one another quickly.
const STIRRED: Duration = Duration::from_secs(2);
/// Longer than a deadline's last look in the queue takes.
const SLACK: Duration = Duration::from_millis(100);

/// Tells a waiting request where to go; `None` if its turn can't come before its deadline.
type Turn = mpsc::Sender<Option<Sent>>;

/// The decisions about requests, behind one lock.
#[derive(Debug)]
pub struct Permits {
    start: Instant,
    inner: Mutex<Inner>,
    /// Where peers are reached; `None` before the start and after the end.
    links: Mutex<Option<Commands>>,
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher<Turn>,
    homes: Homes,
    keys: KeyHome,
    borders: Borders,
    limits: view::Limits,
    seen: Seen,
    /// Nothing happens from then on.
    quiet_from: Monotonic,
    /// Peers whose answer to a batch is under way.
    busy: BTreeSet<MemberId>,
    /// Whether peers were last told that there's nothing here.
    told_empty: bool,
}

/// What the view was last made from.
#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    next: Offset,
    incarnation: Incarnation,
    leaving: BTreeSet<InstanceId>,
}

/// Why a request doesn't get its turn; it certainly didn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTurn {
    /// It wouldn't be served before its deadline, or the queue is full.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    Expired {
        /// When there's capacity.
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
                borders: Borders::default(),
                limits: view::Limits::default(),
                seen: Seen::default(),
                quiet_from: Monotonic::ZERO,
                busy: BTreeSet::new(),
                told_empty: true,
            }),
            links: Mutex::default(),
        }
    }
}

impl Permits {
    /// Where peers are reached from now on.
    pub fn use_links(&self, links: Commands) {
        *self.lock_links() = Some(links);
    }

    /// How many requests of each service run or wait in the whole fleet, as far as is known here.
    #[must_use]
    pub fn demand(&self) -> BTreeMap<ServiceId, u32> {
        self.lock().dispatcher.demand()
    }

    /// No peer is reached any more. The links end when the last one lets go of them, so a process
    /// that kept them here would wait for their end for ever.
    pub fn drop_links(&self) {
        *self.lock_links() = None;
    }

    fn lock_links(&self) -> MutexGuard<'_, Option<Commands>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time on the clock by which all decisions here are made.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        self.start.elapsed()
    }

    /// The data is whole after every step, also when a holder of the lock panicked.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, member: MemberId, call: Call) {
        match &*self.lock_links() {
            // The links' thread only ends at shutdown; an answer that never comes is waited for
            // no longer than each caller's own limit.
            Some(links) => drop(links.send(Command::Call(member, call))),
            None => drop(call),
        }
    }
}

/// A request that waits for its turn.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The team.
    pub team: &'a TeamId,
    /// How urgent it is.
    pub priority: Priority,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// Waits until a request has a runner and its permits.
///
/// # Errors
/// If it won't before its deadline.
pub fn acquire(node: &Node, wanted: &Wanted<'_>) -> Result<Sent, NoTurn> {
    let (tx, rx) = mpsc::channel();
    let permits = &node.permits;
    {
        let mut inner = permits.lock();
        let now = permits.now();
        inner.refresh(node, now);
        inner.stir(now);
        let req = Waiting {
            team: wanted.team.clone(),
            priority: wanted.priority,
            deadline: now + wanted.deadline.saturating_duration_since(Instant::now()),
            token: tx,
        };
        inner.dispatcher.record_first_attempt(wanted.service);
        let offered = inner.dispatcher.offer(wanted.service, req, now);
        offered.map_err(NoTurn::Refused)?;
        inner.pump(node, now);
    }
    let left = wanted.deadline.saturating_duration_since(Instant::now());
    let turn = rx.recv_timeout(left + SLACK).ok().flatten();
    turn.ok_or_else(|| NoTurn::Expired {
        retry_after: expected_wait(node, wanted.service, wanted.team),
    })
}

/// Whether this incarnation's permits may be used now.
///
/// Fresh knowledge may say that this incarnation was ended. Its permits may then be with others,
/// until the process has joined again and got new ones.
fn is_covered(node: &Node) -> bool {
    if !freshness::is_fresh(node) {
        return false;
    }
    let state = node.state.load();
    let member = state.members.by_id.get(&node.settings.member);
    let incarnation = node.incarnation.load(Ordering::Acquire);
    member.is_some_and(|member| member.incarnation == incarnation)
}

/// Whether the permits of `sent` are still this process's, right before it is sent.
#[must_use]
pub fn may_send(node: &Node, sent: &Sent) -> bool {
    let permits = &node.permits;
    let mut inner = permits.lock();
    inner.refresh(node, permits.now());
    is_covered(node) && inner.dispatcher.is_current(sent)
}

/// Another try, at another runner, for a request whose `last` one failed, if there may be one right
/// now.
#[must_use]
pub fn retry(node: &Node, last: &Sent) -> Option<Sent> {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    let is_covered = is_covered(node);
    let (service, team) = (&last.service, &last.team);
    inner
        .dispatcher
        .retry(service, team, &last.runner, now, is_covered)
}

/// How long a try on a kept connection may stay without an answer before another one is made;
/// `None` if another one may not be made.
#[must_use]
pub fn patience(node: &Node, service: &ServiceId) -> Option<Duration> {
    node.permits.lock().dispatcher.attempt_timeout(service)
}

/// Notes how a request that was sent ended, and lets others have their turn.
pub fn end(node: &Node, sent: &Sent, how: Completion) {
    let permits = &node.permits;
    let mut inner = permits.lock();
    let now = permits.now();
    inner.dispatcher.complete(sent, how, now);
    inner.pump(node, now);
}

/// When a refused request of `team` would find capacity.
#[must_use]
pub fn expected_wait(node: &Node, service: &ServiceId, team: &TeamId) -> Duration {
    node.permits.lock().dispatcher.expected_wait(service, team)
}

/// Permits of a resource that are held here and in use.
#[must_use]
pub fn held(node: &Node, resource: &Resource) -> (u32, u32) {
    node.permits.lock().dispatcher.permits(resource)
}

impl Inner {
    /// Something happened: looks follow one another quickly for a while.
    fn stir(&mut self, now: Monotonic) {
        self.quiet_from = now + STIRRED;
    }

    /// Takes over what the log and the peers have said since the last look.
    fn refresh(&mut self, node: &Node, now: Monotonic) {
        let state = node.state.load();
        let news = node.bad_news.load();
        let incarnation = node.incarnation.load(Ordering::Acquire);
        let is_current = self.seen.next == state.next
            && self.seen.incarnation == incarnation
            && self.seen.leaving == news.leaving_instances;
        if is_current {
            return;
        }
        if self.seen.incarnation != incarnation {
            self.dispatcher.start_incarnation();
        }
        self.stir(now);
        self.take_over(node, &state, &news, now);
        self.seen = Seen {
            next: state.next,
            incarnation,
            leaving: news.leaving_instances.clone(),
        };
    }

    fn take_over(&mut self, node: &Node, state: &State, news: &BadNews, now: Monotonic) {
        let epoch = view::epoch(state);
        self.keys.enter(&epoch, now);
        self.homes.enter(epoch);
        for resource in self.limits.lowered(state) {
            self.dispatcher.require_confirmation(&resource);
        }
        let view = view::view(&node.settings, state, news);
        if *self.dispatcher.view() != view {
            self.dispatcher.set_view(view);
        }
    }

    fn expire(&mut self, now: Monotonic) {
        for expired in self.dispatcher.expire(now) {
            // Whoever waited may have left in the same moment.
            let _ = expired.token.send(None);
        }
    }

    /// Sends everything that can be sent now.
    fn pump(&mut self, node: &Node, now: Monotonic) {
        let is_covered = is_covered(node);
        for (turn, sent) in self.dispatcher.dispatch(now, is_covered) {
            if let Err(mpsc::SendError(Some(sent))) = turn.send(Some(sent)) {
                // Its caller was told meanwhile that the deadline passed; nothing was sent.
                self.dispatcher.complete(&sent, Completion::Refused, now);
            }
        }
    }
}
