//! State shared between the threads of one process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use pomelohitch_adapter::Client;
use pomelohitch_adapter::settings::Site;
use pomelohitch_adapter::store::Store;
use pomelohitch_sched::{Epoch, Steady, UnixMs};
use tracing::info;

use super::clock::{self, FleetTime};
use super::forwarding::Forwarding;
use super::leader::confirmation::Confirmation;
use super::leader::core::Event;
use super::wire::{Claim, Leader, Member};

/// Connect timeout for the store; a connection that takes longer isn't expected to succeed.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connect timeout for the leader; a connection that takes longer isn't expected to succeed.
const LEADER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Connections to the leader that are kept open.
const LEADER_CONNECTIONS: usize = 4;

/// How long a starting process assumes that the leader has been silent: long enough for it to ask
/// the other members at once whether they hear a leader.
const INITIAL_SILENCE: Duration = Duration::from_secs(1);

/// What this process knows of the members, the leader and the store.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Every member, by name. Shared by all copies of the view, which are made many times a second.
    pub members: Arc<BTreeMap<Box<str>, Member>>,
    /// Names of registered members whose records can't be decoded.
    pub unreadable_members: BTreeSet<Box<str>>,
    /// The leader with the highest known epoch.
    pub leader: Option<Leader>,
    /// When this process last heard from the leader.
    pub leader_heard_at: Steady,
    /// When the leader's liveness record in the store last changed, or the leader was heard.
    pub leader_alive_at: Steady,
    /// When the store last answered.
    pub store_answered_at: Steady,
    /// End offset of the members' topic when it was last read.
    pub members_end: u64,
    /// Whether the members have been read at least once.
    pub is_loaded: bool,
    /// The fleet's time, if a leader has sent it.
    pub fleet_time: Option<FleetTime>,
    /// Lower bound of the fleet's time, from a liveness record of unknown age.
    pub min_fleet_time: Option<FleetTime>,
    /// Epoch and quorum of the newest liveness record.
    pub quorum: Option<(Epoch, usize)>,
    /// Epoch and count of the newest liveness record.
    pub liveness: Option<(Epoch, u64)>,
}

impl View {
    /// The quorum that the known leader has recorded last.
    #[must_use]
    pub fn leader_quorum(&self) -> Option<usize> {
        let leader = self.leader.as_ref()?;
        let recorded = self.quorum.filter(|(epoch, _)| *epoch == leader.epoch);
        Some(recorded.map_or(leader.quorum, |(_, quorum)| quorum))
    }

    /// Whether the known leader has written its liveness record since `earlier`.
    #[must_use]
    pub fn shows_life_since(&self, earlier: &View) -> bool {
        let epoch = self.leader.as_ref().map(|l| l.epoch);
        let is_of_leader = self.liveness.map(|(epoch, _)| epoch) == epoch;
        is_of_leader && self.liveness > earlier.liveness
    }
}

/// The leadership that this process holds.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// Epoch of the leadership.
    pub epoch: Epoch,
    /// When it was last confirmed.
    pub confirmation: Arc<Confirmation>,
    /// Sends events to the leader's thread; closed when the leadership ends.
    pub events: Sender<Event>,
}

/// State shared by all threads of one process.
#[derive(Debug)]
pub struct Shared {
    /// When the process started.
    pub started_at: Steady,
    /// Start time in milliseconds since 1970; distinguishes the process from its member's earlier
    /// ones.
    pub started_ms: u64,
    /// The current settings.
    pub site: ArcSwap<Site>,
    view: Mutex<View>,
    changed: Condvar,
    leadership: Mutex<Option<Leadership>>,
    is_leaving: AtomicBool,
    pending_claim: Mutex<Option<Claim>>,
    leader_client: Mutex<Option<Client>>,
    /// Callers' requests that await the leader's answer.
    pub forwarding: Forwarding,
}

impl Shared {
    /// The state of a process that has just started.
    #[must_use]
    pub fn new(site: Site) -> Shared {
        // A process that just started has missed no heartbeat. It needn't wait until the leader
        // counts as silent, though: if there is a leader, other members hear it.
        let now = clock::steady();
        let view = View {
            leader_heard_at: now.saturating_sub(INITIAL_SILENCE),
            leader_alive_at: now,
            ..View::default()
        };
        Shared {
            started_at: now,
            started_ms: clock::now().unix_ms,
            site: ArcSwap::from_pointee(site),
            view: Mutex::new(view),
            changed: Condvar::new(),
            leadership: Mutex::new(None),
            is_leaving: AtomicBool::new(false),
            pending_claim: Mutex::new(None),
            leader_client: Mutex::new(None),
            forwarding: Forwarding::default(),
        }
    }

    /// A client of the store for one thread.
    #[must_use]
    pub fn store(&self) -> Store {
        let site = self.site.load();
        let store = Store::new(Client::new(site.store, STORE_CONNECT_TIMEOUT));
        match site.link_bytes_per_s {
            Some(rate) => store.over_link(rate),
            None => store,
        }
    }

    /// A client of the leader at `addr`, whose connections all callers of this process share.
    ///
    /// With a client for each caller's connection, some thousand callers of the whole fleet would
    /// exceed the number of connections that the leader accepts.
    #[must_use]
    pub fn leader_client(&self, addr: SocketAddr) -> Client {
        let kept = self.leader_client.lock();
        let mut kept = kept.unwrap_or_else(PoisonError::into_inner);
        match &*kept {
            Some(client) if client.peer() == addr => client.clone(),
            _ => {
                let client =
                    Client::with_max_idle(addr, LEADER_CONNECT_TIMEOUT, LEADER_CONNECTIONS);
                *kept = Some(client.clone());
                client
            }
        }
    }

    /// A copy of the current view.
    #[must_use]
    pub fn view(&self) -> View {
        self.lock().clone()
    }

    /// Changes the view, and wakes the threads in [`Shared::wait`].
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// The member with that name, if it is known.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Member> {
        self.lock().members.get(name).copied()
    }

    /// The other members.
    #[must_use]
    pub fn others(&self) -> Vec<Member> {
        let own = self.site.load().internal;
        let members = self.lock().members.clone();
        let others = members.values().filter(|m| m.addr != own);
        others.copied().collect()
    }

    /// Addresses of the other members.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.others().into_iter().map(|m| m.addr).collect()
    }

    /// Updates the known leader. Returns `false` if a later one is known, which then stays.
    ///
    /// `is_announced` says that the leader has just sent a message or begun to lead, which counts
    /// as a heartbeat. A record that is read at start may be that of a leader that ended long ago.
    pub fn observe_leader(&self, leader: &Leader, is_announced: bool) -> bool {
        let mut view = self.lock();
        let known = view.leader.as_ref().map_or(0, |l| l.epoch);
        if leader.epoch < known {
            return false;
        }
        if leader.epoch > known {
            info!(epoch = leader.epoch, leader = %leader.member, addr = %leader.addr, "new leader");
            view.leader = Some(leader.clone());
            if is_announced {
                view.leader_heard_at = clock::steady();
                view.leader_alive_at = view.leader_heard_at;
            }
            self.changed.notify_all();
        }
        true
    }

    /// Updates the fleet's time with the one that the leader with `epoch` has just sent.
    pub fn update_fleet_ms(&self, epoch: Epoch, fleet_ms: Option<UnixMs>) {
        let Some(ms) = fleet_ms else {
            return;
        };
        let at = clock::steady();
        let received = FleetTime { epoch, ms, at };
        let mut view = self.lock();
        if view
            .fleet_time
            .is_none_or(|known| received.is_better_than(&known))
        {
            view.fleet_time = Some(received);
        }
    }

    /// Updates the lower bound of the fleet's time with that of a liveness record, which the leader
    /// with `epoch` wrote at an unknown time.
    pub fn update_min_fleet_ms(&self, epoch: Epoch, fleet_ms: Option<UnixMs>) {
        let Some(ms) = fleet_ms else {
            return;
        };
        let at = clock::steady();
        let reading = FleetTime { epoch, ms, at };
        let known = &mut self.lock().min_fleet_time;
        if known.is_none_or(|known| reading.is_better_than(&known)) {
            *known = Some(reading);
        }
    }

    /// Lower bound of the fleet's time, if a liveness record was read.
    #[must_use]
    pub fn min_fleet_ms(&self) -> Option<UnixMs> {
        let reading = self.lock().min_fleet_time;
        reading.map(|reading| reading.at(clock::steady()))
    }

    /// The fleet's time, if a leader has sent it.
    #[must_use]
    pub fn fleet_ms(&self) -> Option<UnixMs> {
        let received = self.lock().fleet_time;
        received.map(|received| received.at(clock::steady()))
    }

    /// Waits for at most `time` until the view or the leadership changes, a takeover is requested
    /// or the shutdown begins.
    pub fn wait(&self, time: Duration) {
        let view = self.lock();
        let waited = self.changed.wait_timeout(view, time);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// The leadership that this process holds, if any.
    #[must_use]
    pub fn leadership(&self) -> Option<Leadership> {
        let leadership = self.leadership.lock();
        leadership.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Begins or ends the leadership of this process.
    pub fn set_leadership(&self, leadership: Option<Leadership>) {
        let mut held = self
            .leadership
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = leadership;
        drop(held);
        self.changed.notify_all();
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Begins the shutdown.
    pub fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.changed.notify_all();
    }

    /// Requests that this process take over the leadership.
    pub fn request_claim(&self, claim: Claim) {
        *self.pending_claim() = Some(claim);
        self.changed.notify_all();
    }

    /// Takes the pending request to take over the leadership, if there is one. One that was made
    /// before a later leader took over has no effect.
    #[must_use]
    pub fn take_claim(&self) -> Option<Claim> {
        let claim = self.pending_claim().take()?;
        let known = self.lock().leader.as_ref().map_or(0, |l| l.epoch);
        (known <= claim.epoch).then_some(claim)
    }

    fn pending_claim(&self) -> MutexGuard<'_, Option<Claim>> {
        let claim = self.pending_claim.lock();
        claim.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a named thread.
///
/// # Errors
/// If the system can't create another thread.
pub fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    /// Enough for an HTTP call with its parsing. The system's default of 8 MiB would be reserved
    /// for each of some hundred threads.
    const STACK_SIZE: usize = 512 * 1024;
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_SIZE)
        .spawn(run)
}

/// Starts a named thread that has access to the shared state.
///
/// # Errors
/// If the system can't create another thread.
pub fn spawn_with(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let shared = shared.clone();
    spawn(name, move || run(&shared))
}
