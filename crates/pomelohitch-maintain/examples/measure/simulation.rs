//! The real fold, a planner and a platform that does what it is asked, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service};
use pomelohitch_core::id::{InstanceId, Offset, PoolId, RecordId};
use pomelohitch_core::record::{Body, FileChange, Join, Publish, Record, TakeTerm};
use pomelohitch_core::{State, Verdict};
use pomelohitch_maintain::effects::Wanted;
use pomelohitch_maintain::{Decision, Observation, Plan, Planner};
use pomelohitch_platform::instances::{Action, Listed, ListedState};

/// When the virtual time begins, on the wall clock.
pub const EPOCH: Duration = Duration::from_hours(24 * 1000);

/// How long the platform takes.
#[derive(Debug, Clone)]
pub struct Times {
    /// Until a drained instance's last request is done.
    pub drain: Duration,
    /// Until a rebooted instance is back.
    pub reboot: Duration,
    /// Until a moved instance is in its pool.
    pub move_time: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            drain: Duration::from_secs(30),
            reboot: Duration::from_mins(3),
            move_time: Duration::from_mins(1),
        }
    }
}

/// Everything.
pub struct Simulation {
    pub state: State,
    pub planner: Planner,
    pub now: Duration,
    pub times: Times,
    pub platform: BTreeMap<InstanceId, Listed>,
    /// How long single instances take to drain, where it isn't the usual time.
    pub drain_times: BTreeMap<InstanceId, Duration>,
    /// These never come back from a reboot.
    pub never_return: BTreeSet<InstanceId>,
    /// The list shows what was so at the look before.
    pub list_lags: bool,
    previous: BTreeMap<InstanceId, Listed>,
    /// The list doesn't arrive, or is too old.
    pub list_is_stale: bool,
    /// Entry instances have applied what is below; `None` for the head.
    pub known_by_all: Option<Offset>,
    pub needs: BTreeMap<PoolId, u32>,
    /// When effects began, by the offset of their decision.
    started: BTreeMap<Offset, Duration>,
    /// Accepted moves.
    pub moves: u32,
    /// What was rejected by the fold.
    pub rejected: Vec<Verdict>,
}

impl Simulation {
    /// An empty fleet with a planner and these files.
    pub fn new(planner: Planner, file: FleetFile) -> Simulation {
        let mut sim = Simulation {
            state: State::default(),
            planner,
            now: Duration::ZERO,
            times: Times::default(),
            platform: BTreeMap::new(),
            drain_times: BTreeMap::new(),
            never_return: BTreeSet::new(),
            list_lags: false,
            previous: BTreeMap::new(),
            list_is_stale: false,
            known_by_all: None,
            needs: BTreeMap::new(),
            started: BTreeMap::new(),
            moves: 0,
            rejected: Vec::new(),
        };
        sim.accept(Body::Join(Join {
            member: "entry".into(),
            zone: "zone-0".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        }));
        sim.accept(Body::TakeTerm(TakeTerm {
            member: "entry".into(),
            incarnation: 0,
            term: 1,
        }));
        sim.publish(file);
        sim
    }

    /// Replaces the fleet's one file.
    pub fn publish(&mut self, file: FleetFile) {
        let base = self.state.config.files.get("fleet").map(|f| f.version);
        let change = FileChange {
            base,
            file: Some(file),
        };
        self.accept(Body::Publish(Publish {
            changes: [("fleet".into(), change)].into(),
        }));
    }

    /// Adds live instances, spread over four availability zones with four instances a rack.
    pub fn add_instances(&mut self, pool: &str, count: usize) {
        let before = self.platform.len();
        for n in before..before + count {
            let rack = n / 16;
            let id: InstanceId = format!("instance-{n:05}").into();
            let listed = Listed {
                id: id.clone(),
                pool: pool.into(),
                zone: format!("zone-{}", n % 4).into(),
                rack: format!("rack-{rack}").into(),
                addr: ([10, 0, 0, 1], 8000).into(),
                state: ListedState::Live,
            };
            self.platform.insert(id, listed);
        }
    }

    pub fn append(&mut self, body: Body) -> Verdict {
        let offset = self.state.next;
        let record = Record {
            id: RecordId::from_u128(u128::from(offset) + 1),
            after: offset,
            at: EPOCH + self.now,
            by: "entry".into(),
            body,
        };
        self.state.apply(offset, &record)
    }

    pub fn accept(&mut self, body: Body) {
        let text = format!("{body:?}");
        assert_eq!(self.append(body), Verdict::Accepted, "{text}");
    }

    /// What the planner is told now.
    pub fn observe(&self) -> Observation {
        let shown = if self.list_lags {
            &self.previous
        } else {
            &self.platform
        };
        Observation {
            now: self.now,
            wall: EPOCH + self.now,
            listed: (!self.list_is_stale).then(|| shown.clone()),
            known_by_all: self.known_by_all.unwrap_or(self.state.next),
            needs: self.needs.clone(),
        }
    }

    /// Lets the planner look once, and carries out what it decides.
    pub fn run_planner(&mut self) -> Plan {
        let observation = self.observe();
        let plan = self.planner.plan(&self.state, &observation);
        if self.list_lags {
            self.previous = self.platform.clone();
        }
        for decision in &plan.decisions {
            self.propose(decision.clone());
        }
        for pending in &plan.effects {
            self.perform(pending);
        }
        plan
    }

    fn propose(&mut self, decision: Decision) {
        use pomelohitch_core::record::{DrainPurpose, FleetStep};
        let is_move = matches!(
            decision,
            Decision::Fleet(FleetStep::Drain {
                purpose: DrainPurpose::MoveTo(_),
                ..
            })
        );
        let body = decision.body(&self.state);
        match self.append(body) {
            Verdict::Accepted => self.moves += u32::from(is_move),
            verdict => self.rejected.push(verdict),
        }
    }

    fn perform(&mut self, pending: &Wanted) {
        if !pending.is_current(&self.state) {
            return;
        }
        if self.call_platform(pending)
            && let Some(step) = pending.then.clone()
        {
            self.propose(Decision::Fleet(step));
        }
    }

    /// Whether the effect is complete.
    fn call_platform(&mut self, pending: &Wanted) -> bool {
        let effect = &pending.effect;
        let begun = *self.started.entry(effect.op).or_insert(self.now);
        let took = self.now.saturating_sub(begun);
        let Some(listed) = self.platform.get_mut(&effect.instance) else {
            return false;
        };
        if listed.state == ListedState::Down {
            return false;
        }
        let (takes, then) = match effect.action {
            Action::Drain => {
                let own = self.drain_times.get(&effect.instance).copied();
                (own.unwrap_or(self.times.drain), ListedState::Drained)
            }
            Action::Undrain => (Duration::ZERO, ListedState::Live),
            Action::Reboot => (self.times.reboot, ListedState::Live),
            Action::Move(_) => (self.times.move_time, ListedState::Live),
        };
        let never_completes =
            effect.action == Action::Reboot && self.never_return.contains(&*effect.instance);
        if took < takes || never_completes {
            listed.state = match effect.action {
                Action::Drain => ListedState::Draining,
                Action::Reboot => ListedState::Rebooting,
                _ => listed.state,
            };
            return false;
        }
        listed.state = then;
        if let Action::Move(pool) = &effect.action {
            listed.pool = pool.clone();
        }
        true
    }

    /// Looks every `tick` until `done`, for at most `limit`; returns how long it took.
    pub fn run_until(
        &mut self,
        tick: Duration,
        limit: Duration,
        mut done: impl FnMut(&Simulation) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while self.now < begun + limit {
            if done(self) {
                return Some(self.now.saturating_sub(begun));
            }
            self.run_planner();
            self.now += tick;
        }
        None
    }
}

/// A pool.
pub fn pool(id: &str, spare: bool, floor: u32) -> Pool {
    Pool {
        id: id.into(),
        spare,
        floor,
    }
}

/// A service of which `min_available` instances have to stay.
pub fn service(id: &str, pool: &str, min_available: u32) -> Service {
    Service {
        id: id.into(),
        pool: pool.into(),
        min_available,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(5),
        longest_run: Duration::from_secs(30),
        queue: 100,
        objective: None,
    }
}
