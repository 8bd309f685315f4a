//! State shared between the threads of one process.

use std::collections::BTreeMap;
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
use super::leader::core::Event;
use super::wire::{Claim, Leader, Member};

/// A connection to the store that isn't made by then won't be.
const STORE_CONNECT: Duration = Duration::from_millis(500);

/// A connection to the leader that isn't made by then won't be.
const LEADER_CONNECT: Duration = Duration::from_millis(250);
/// Connections to the leader that stay open.
const LEADER_CONNECTIONS: usize = 4;

/// At its start a process takes the leader for silent since so long: enough to ask the others at
/// once whether they hear one.
const START_SILENCE: Duration = Duration::from_secs(1);

/// What is known of members, leader and store.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Every member.
    pub members: BTreeMap<Box<str>, Member>,
    /// The leader of the highest epoch known.
    pub leader: Option<Leader>,
    /// When the leader was last heard.
    pub heard_at: Steady,
    /// When the leader's sign of life in the store last changed.
    pub alive_at: Steady,
    /// When the store last answered.
    pub store_at: Steady,
    /// Where the topic of members ended when it was last read.
    pub members_end: u64,
    /// Whether the members were read at all.
    pub is_read: bool,
    /// The fleet's time, if a leader has told it.
    pub fleet_time: Option<FleetTime>,
    /// The fleet's time at the least, by a sign of life of unknown age.
    pub fleet_time_at_least: Option<FleetTime>,
}

/// The leadership that this process holds.
#[derive(Debug, Clone)]
pub struct Leading {
    /// Which.
    pub epoch: Epoch,
    /// Takes events; closed when the leadership ends.
    pub events: Sender<Event>,
}

/// Shared by all threads of one process.
#[derive(Debug)]
pub struct Shared {
    /// When the process started.
    pub began: Steady,
    /// The same, milliseconds since 1970: tells this process from others of its member.
    pub began_ms: u64,
    /// The newest settings.
    pub site: ArcSwap<Site>,
    view: Mutex<View>,
    changed: Condvar,
    leading: Mutex<Option<Leading>>,
    is_leaving: AtomicBool,
    claim_asked: Mutex<Option<Claim>>,
    to_leader: Mutex<Option<Client>>,
    /// Requests of callers that wait for the leader's answer.
    pub forwarding: Forwarding,
}

impl Shared {
    /// A process that knows nothing yet.
    #[must_use]
    pub fn new(site: Site) -> Shared {
        // A process that just started hasn't missed a heartbeat, but needn't wait for all of the
        // usual silence: if there is a leader, others have heard it.
        let now = clock::steady();
        let view = View {
            heard_at: now.saturating_sub(START_SILENCE),
            alive_at: now,
            ..View::default()
        };
        Shared {
            began: now,
            began_ms: clock::now().unix_ms,
            site: ArcSwap::from_pointee(site),
            view: Mutex::new(view),
            changed: Condvar::new(),
            leading: Mutex::new(None),
            is_leaving: AtomicBool::new(false),
            claim_asked: Mutex::new(None),
            to_leader: Mutex::new(None),
            forwarding: Forwarding::default(),
        }
    }

    /// A client of the store for one thread.
    #[must_use]
    pub fn store(&self) -> Store {
        let site = self.site.load();
        let store = Store::new(Client::new(site.store, STORE_CONNECT));
        match site.link_bytes_per_s {
            Some(rate) => store.over_link(rate),
            None => store,
        }
    }

    /// A client of the leader at `addr`, whose connections all callers of this process share.
    ///
    /// With one for each caller's connection, some thousand callers of a fleet would use up the
    /// connections that the leader takes.
    #[must_use]
    pub fn leader_client(&self, addr: SocketAddr) -> Client {
        let kept = self.to_leader.lock();
        let mut kept = kept.unwrap_or_else(PoisonError::into_inner);
        match &*kept {
            Some(client) if client.peer() == addr => client.clone(),
            _ => {
                let client = Client::keeping(addr, LEADER_CONNECT, LEADER_CONNECTIONS);
                *kept = Some(client.clone());
                client
            }
        }
    }

    /// What is known now.
    #[must_use]
    pub fn view(&self) -> View {
        self.lock().clone()
    }

    /// Changes what is known, and wakes who waits for a change.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// The member of that name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Member> {
        self.lock().members.get(name).copied()
    }

    /// The other members.
    #[must_use]
    pub fn others(&self) -> Vec<Member> {
        let own = self.site.load().internal;
        let members = self.view().members.into_values();
        members.filter(|m| m.addr != own).collect()
    }

    /// Where the other members take calls.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.others().into_iter().map(|m| m.addr).collect()
    }

    /// Takes in who leads; an older epoch than the one known changes nothing.
    ///
    /// `is_news` says that it has just begun to lead, which counts as a sign of life. A record that
    /// is read at the start may be that of a leader that is long gone.
    pub fn follow(&self, leader: &Leader, is_news: bool) -> bool {
        let mut view = self.lock();
        let known = view.leader.as_ref().map_or(0, |l| l.epoch);
        if leader.epoch < known {
            return false;
        }
        if leader.epoch > known {
            info!(epoch = leader.epoch, leader = %leader.member, addr = %leader.addr, "leader known");
            view.leader = Some(leader.clone());
            if is_news {
                view.heard_at = clock::steady();
                view.alive_at = view.heard_at;
            }
            self.changed.notify_all();
        }
        true
    }

    /// Takes in the fleet's time as the leader with `epoch` tells it now.
    pub fn note_fleet_ms(&self, epoch: Epoch, fleet_ms: Option<UnixMs>) {
        let Some(ms) = fleet_ms else {
            return;
        };
        let at = clock::steady();
        let told = FleetTime { epoch, ms, at };
        let mut view = self.lock();
        if view
            .fleet_time
            .is_none_or(|known| told.is_better_than(&known))
        {
            view.fleet_time = Some(told);
        }
    }

    /// Takes in the fleet's time of a sign of life that the leader with `epoch` wrote some time ago.
    pub fn note_fleet_ms_at_least(&self, epoch: Epoch, fleet_ms: Option<UnixMs>) {
        let Some(ms) = fleet_ms else {
            return;
        };
        let at = clock::steady();
        let read = FleetTime { epoch, ms, at };
        let known = &mut self.lock().fleet_time_at_least;
        if known.is_none_or(|known| read.is_better_than(&known)) {
            *known = Some(read);
        }
    }

    /// The fleet's time at the least, if a sign of life was read.
    #[must_use]
    pub fn fleet_ms_at_least(&self) -> Option<UnixMs> {
        let read = self.lock().fleet_time_at_least;
        read.map(|read| read.at(clock::steady()))
    }

    /// The fleet's time, if a leader has told it.
    #[must_use]
    pub fn fleet_ms(&self) -> Option<UnixMs> {
        let told = self.lock().fleet_time;
        told.map(|told| told.at(clock::steady()))
    }

    /// Waits for a change of what is known, at most `time`.
    pub fn wait(&self, time: Duration) {
        let view = self.lock();
        let waited = self.changed.wait_timeout(view, time);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// The leadership that this process holds, if any.
    #[must_use]
    pub fn leading(&self) -> Option<Leading> {
        let leading = self.leading.lock();
        leading.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Begins or ends the leadership of this process.
    pub fn set_leading(&self, leading: Option<Leading>) {
        let mut held = self.leading.lock().unwrap_or_else(PoisonError::into_inner);
        *held = leading;
        drop(held);
        self.changed.notify_all();
    }

    /// Whether the process shuts down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Begins the shutdown.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.changed.notify_all();
    }

    /// Asks this process to take the leadership over.
    pub fn ask_claim(&self, claim: Claim) {
        *self.claim_asked() = Some(claim);
        self.changed.notify_all();
    }

    /// With what this process was asked to take over, if it was; once.
    #[must_use]
    pub fn take_claim(&self) -> Option<Claim> {
        self.claim_asked().take()
    }

    fn claim_asked(&self) -> MutexGuard<'_, Option<Claim>> {
        let asked = self.claim_asked.lock();
        asked.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a named thread.
///
/// # Errors
/// If the system has no room for another thread.
pub fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    /// Enough for a call over HTTP with its parsing; the system's default of 8 MiB is reserved
    /// for each of some hundred threads otherwise.
    const STACK: usize = 512 * 1024;
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(run)
}

/// Starts a named thread that works on what is shared.
///
/// # Errors
/// If the system has no room for another thread.
pub fn spawn_with(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let shared = shared.clone();
    spawn(name, move || run(&shared))
}
