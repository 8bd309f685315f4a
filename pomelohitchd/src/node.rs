//! State shared by the threads of the daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use pomelohitch_core::id::{
    Incarnation, InstanceId, KeyHash, MemberId, Offset, RecordId, Timestamp,
};
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{Body, Record, State, Verdict};
use pomelohitch_platform::follower::Applied;
use pomelohitch_platform::{Effect, Instances, Log, Workers};
use pomelohitch_route::suspension::Monitor;
use snafu::{ResultExt, Snafu};

use crate::burn::Burn;
use crate::group_commit::{GroupCommit, JobChange, Outcome};
use crate::leaving::Sightings;
use crate::permits::Permits;
use crate::settings::Settings;

/// A proposal got no verdict.
#[derive(Debug, Snafu)]
pub enum ProposeError {
    /// The log refused the append: the record certainly has no effect.
    #[snafu(display("append a proposal: {source}"))]
    NotAppended {
        /// The error of the append.
        source: pomelohitch_platform::Error,
    },
    /// The record was or may have been appended, but wasn't read back in time. It may still take
    /// effect.
    #[snafu(display("propose: no verdict within {limit:?}; the record may still take effect"))]
    NoVerdict {
        /// The timeout that passed.
        limit: Duration,
    },
}

/// The result of a proposal.
pub type Result<T, E = ProposeError> = std::result::Result<T, E>;

/// A verdict and the offset of the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// The offset of the record; for a repeat, of the first one.
    pub offset: Offset,
    /// The verdict of the fold.
    pub verdict: Verdict,
}

/// Whether the process is ready to serve, and whether it is shutting down.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// This member's join has taken effect, and it has caught up as [`crate::readiness`] requires.
    pub ready: AtomicBool,
    /// A graceful shutdown is in progress.
    pub leaving: AtomicBool,
}

/// The last heartbeat of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSeen {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The offset of the next record that it will apply.
    pub next: Offset,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time at which the heartbeat arrived. It may have been sent earlier and waited in a buffer.
    pub at: Instant,
    /// The heartbeat was sent after this time; `None` if that isn't known.
    pub sent_after: Option<Instant>,
}

/// Withdrawn keys and leaving instances that may not be in the log yet. Acting on them before the
/// log confirms them is safe, because they can only cause refusals.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownWithdrawals {
    /// Hashes of keys that were withdrawn.
    pub withdrawn_keys: BTreeSet<KeyHash>,
    /// Instances that the platform is removing, as seen by any member.
    pub leaving_instances: BTreeSet<InstanceId>,
}

/// State shared by the threads.
#[derive(Debug)]
pub struct Node {
    /// The settings of the process.
    pub settings: Settings,
    /// Client for the platform's log.
    pub log: Arc<Log>,
    /// Client for the platform's instances.
    pub instances: Instances,
    /// Client for the platform's workers.
    pub workers: Workers,
    /// The current state: all records that this process has applied.
    pub state: ArcSwap<State>,
    /// The log's head when it was last read.
    pub head: AtomicU64,
    /// The oldest offset that the log kept when it was last read.
    pub first_kept: AtomicU64,
    /// Whether the last read of the log failed.
    pub log_is_down: AtomicBool,
    /// Lifecycle of the process.
    pub lifecycle: Lifecycle,
    /// Incarnation of this member; [`NOT_JOINED`] before its join takes effect.
    pub incarnation: AtomicU64,
    /// Withdrawals known here, whether or not the log has them.
    pub known_withdrawals: ArcSwap<KnownWithdrawals>,
    /// Counts of answers for the burn rate of service-level objectives.
    pub burn: Burn,
    /// Permits, queues and runners for requests.
    pub permits: Permits,
    /// Counts the suspensions of this process.
    pub suspensions: Arc<Monitor>,
    sightings: Mutex<Sightings>,
    log_read: Mutex<Option<Instant>>,
    peers: Mutex<BTreeMap<MemberId, PeerSeen>>,
    waiters: Mutex<BTreeMap<RecordId, mpsc::Sender<Decided>>>,
    jobs: GroupCommit,
}

/// The incarnation of a process before its join takes effect: an offset that no record has, unlike
/// 0, which may be that of an earlier process with the same member id.
pub const NOT_JOINED: Incarnation = Incarnation::MAX;
/// Delay before an append whose outcome is unknown is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Node {
    /// The shared state of a process with `settings`, before any record is read.
    #[must_use]
    pub fn new(settings: Settings) -> Node {
        let timeout = settings.platform_timeout();
        Node {
            log: Arc::new(Log::http(&settings.log_url, timeout)),
            instances: Instances::http(&settings.instances_url, timeout),
            workers: Workers::http(&settings.workers_url, timeout),
            state: ArcSwap::default(),
            head: AtomicU64::new(0),
            first_kept: AtomicU64::new(0),
            log_is_down: AtomicBool::new(false),
            lifecycle: Lifecycle::default(),
            incarnation: AtomicU64::new(NOT_JOINED),
            known_withdrawals: ArcSwap::default(),
            burn: Burn::default(),
            permits: Permits::default(),
            suspensions: Arc::new(Monitor::new(Instant::now())),
            sightings: Mutex::default(),
            log_read: Mutex::default(),
            peers: Mutex::default(),
            waiters: Mutex::default(),
            jobs: GroupCommit::default(),
            settings,
        }
    }

    /// Appends a proposal and waits for the fold's verdict.
    ///
    /// An append whose answer was lost may have taken effect. It is repeated with the same id, and
    /// the fold applies a record with the same id only once.
    ///
    /// # Errors
    /// If the log refuses, or no verdict is known after `limit`.
    pub fn propose(&self, body: Body, limit: Duration) -> Result<Decided> {
        let deadline = Instant::now() + limit;
        let record = self.record(body);
        let (tx, rx) = mpsc::channel();
        lock(&self.waiters).insert(record.id, tx);
        let decided = self.append_and_wait(&record, &rx, limit, deadline);
        lock(&self.waiters).remove(&record.id);
        decided
    }

    /// Appends a caller's change of jobs, combined with those of other callers.
    pub fn commit_jobs(&self, change: JobChange) -> Outcome {
        self.jobs
            .commit(change, &|body, limit| self.propose(body, limit))
    }

    fn append_and_wait(
        &self,
        record: &Record,
        rx: &mpsc::Receiver<Decided>,
        limit: Duration,
        deadline: Instant,
    ) -> Result<Decided> {
        let data = [record.encode()];
        let mut may_be_appended = false;
        loop {
            match (self.log.append)(FLEET_STREAM, &data) {
                Ok(_) => break,
                Err(source) if source.effect() == Effect::None && !may_be_appended => {
                    return Err(source).context(NotAppendedSnafu);
                }
                Err(_) => may_be_appended = true,
            }
            if let Ok(decided) = rx.recv_timeout(APPEND_RETRY_DELAY) {
                return Ok(decided);
            }
            if Instant::now() >= deadline {
                return NoVerdictSnafu { limit }.fail();
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        rx.recv_timeout(left)
            .ok()
            .map_or_else(|| NoVerdictSnafu { limit }.fail(), Ok)
    }

    fn record(&self, body: Body) -> Record {
        Record {
            id: RecordId::new_v4(),
            after: self.state.load().next,
            at: wall_clock(),
            by: self.settings.member.clone(),
            body,
        }
    }

    /// Publishes a new state and notifies the threads that wait for its records.
    pub fn publish_state(&self, state: State, applied: Vec<Applied>) {
        self.state.store(Arc::new(state));
        let mut waiters = lock(&self.waiters);
        for Applied {
            offset,
            id,
            verdict,
        } in applied
        {
            let (Some(id), Some(verdict)) = (id, verdict) else {
                continue;
            };
            let Some(tx) = waiters.get(&id) else { continue };
            let offset = if let Verdict::Repeat(first) = verdict {
                first
            } else {
                offset
            };
            // The waiting thread may have timed out.
            let _ = tx.send(Decided { offset, verdict });
            waiters.remove(&id);
        }
    }

    /// Records the start time of the last successful read of the log.
    pub fn record_log_read(&self, started: Instant) {
        *lock(&self.log_read) = Some(started);
    }

    /// Start time of the last successful read of the log.
    #[must_use]
    pub fn last_log_read(&self) -> Option<Instant> {
        *lock(&self.log_read)
    }

    /// Records a heartbeat of a peer.
    pub fn record_peer(&self, member: MemberId, seen: PeerSeen) {
        lock(&self.peers).insert(member, seen);
    }

    /// The last heartbeat of each peer.
    #[must_use]
    pub fn peers(&self) -> BTreeMap<MemberId, PeerSeen> {
        lock(&self.peers).clone()
    }

    /// Adds keys that were withdrawn.
    pub fn add_withdrawn(&self, keys: &[KeyHash]) {
        let known = self.known_withdrawals.load();
        if keys.iter().all(|key| known.withdrawn_keys.contains(key)) {
            return;
        }
        self.known_withdrawals.rcu(|known| {
            let mut withdrawals = KnownWithdrawals::clone(known);
            withdrawals.withdrawn_keys.extend(keys.iter().cloned());
            withdrawals
        });
    }

    /// Replaces the set of instances that `member` sees leaving.
    pub fn record_leaving(&self, member: &MemberId, instances: BTreeSet<InstanceId>) {
        let now = Instant::now();
        let mut sightings = lock(&self.sightings);
        sightings.record(member, instances, now);
        let leaving = sightings.current(now);
        if self.known_withdrawals.load().leaving_instances == leaving {
            return;
        }
        self.known_withdrawals.rcu(|known| KnownWithdrawals {
            leaving_instances: leaving.clone(),
            ..KnownWithdrawals::clone(known)
        });
    }

    /// The instances that this member itself sees leaving.
    #[must_use]
    pub fn own_sightings(&self) -> BTreeSet<InstanceId> {
        lock(&self.sightings).by(&self.settings.member)
    }

    /// The incarnation for records and reports; 0 before the join takes effect.
    #[must_use]
    pub fn joined_incarnation(&self) -> Incarnation {
        match self.incarnation.load(Ordering::Acquire) {
            NOT_JOINED => 0,
            incarnation => incarnation,
        }
    }

    /// Whether callers are served: this member has joined and caught up, and isn't shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.lifecycle.ready.load(Ordering::Acquire) && !self.is_leaving()
    }

    /// Whether a graceful shutdown is in progress.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.leaving.load(Ordering::Acquire)
    }
}

/// Wall-clock time since the Unix epoch.
#[must_use]
pub fn wall_clock() -> Timestamp {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Ignores poisoning: the data is consistent after every step, even if a lock holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
