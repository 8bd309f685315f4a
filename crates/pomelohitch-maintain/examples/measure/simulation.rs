//! Simulation of the real fold, a planner and a platform in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service};
use pomelohitch_core::id::{InstanceId, Offset, PoolId, RecordId};
use pomelohitch_core::record::{Body, FileChange, Join, Publish, Record, TakeTerm};
use pomelohitch_core::{State, Verdict};
use pomelohitch_maintain::effects::PendingEffect;
use pomelohitch_maintain::{Decision, Observation, Plan, Planner};
use pomelohitch_platform::instances::{Action, Listed, ListedState};

/// Wall-clock time at the start of the virtual time.
pub const EPOCH: Duration = Duration::from_hours(24 * 1000);

/// Durations of the platform's operations.
#[derive(Debug, Clone)]
pub struct Times {
    /// Time until the last request of a draining instance ends.
    pub drain: Duration,
    /// Time for a reboot.
    pub reboot: Duration,
    /// Time for a move to another pool.
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

/// Folded state, planner and platform.
pub struct Simulation {
    pub state: State,
    pub planner: Planner,
    pub now: Duration,
    pub times: Times,
    pub platform: BTreeMap<InstanceId, Listed>,
    /// Drain times of instances that differ from `times.drain`.
    pub drain_times: BTreeMap<InstanceId, Duration>,
    /// Instances that never return from a reboot.
    pub never_return: BTreeSet<InstanceId>,
    /// Whether the planner sees the list of the previous pass.
    pub list_lags: bool,
    previous: BTreeMap<InstanceId, Listed>,
    /// Whether the list is unavailable or too old.
    pub list_is_stale: bool,
    /// Offset below which all entry instances have applied the records; `None` for the head.
    pub applied_by_all: Option<Offset>,
    pub needs: BTreeMap<PoolId, u32>,
    /// Start times of effects, by the offset of the decision.
    started: BTreeMap<Offset, Duration>,
    /// Number of accepted moves.
    pub moves: u32,
    /// Verdicts of rejected decisions.
    pub rejected: Vec<Verdict>,
}

impl Simulation {
    /// Creates a simulation without instances, with `file` published.
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
            applied_by_all: None,
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

    /// Appends a record by the entry instance and returns the fold's verdict.
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

    /// Appends a record that the fold must accept.
    pub fn accept(&mut self, body: Body) {
        let text = format!("{body:?}");
        assert_eq!(self.append(body), Verdict::Accepted, "{text}");
    }

    /// Returns the input of the next planning pass.
    pub fn observe(&self) -> Observation {
        let list = if self.list_lags {
            &self.previous
        } else {
            &self.platform
        };
        Observation {
            now: self.now,
            wall: EPOCH + self.now,
            listed: (!self.list_is_stale).then(|| list.clone()),
            applied_by_all: self.applied_by_all.unwrap_or(self.state.next),
            needs: self.needs.clone(),
        }
    }

    /// Runs one planning pass, appends its decisions and requests its effects.
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

    fn perform(&mut self, pending: &PendingEffect) {
        if !pending.is_current(&self.state) {
            return;
        }
        if self.call_platform(pending)
            && let Some(step) = pending.on_complete.clone()
        {
            self.propose(Decision::Fleet(step));
        }
    }

    /// Requests an effect and returns whether it is complete.
    fn call_platform(&mut self, pending: &PendingEffect) -> bool {
        let effect = &pending.effect;
        let begun = *self.started.entry(effect.op).or_insert(self.now);
        let elapsed = self.now.saturating_sub(begun);
        let Some(listed) = self.platform.get_mut(&effect.instance) else {
            return false;
        };
        if listed.state == ListedState::Down {
            return false;
        }
        let (duration, final_state) = match effect.action {
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
        if elapsed < duration || never_completes {
            listed.state = match effect.action {
                Action::Drain => ListedState::Draining,
                Action::Reboot => ListedState::Rebooting,
                _ => listed.state,
            };
            return false;
        }
        listed.state = final_state;
        if let Action::Move(pool) = &effect.action {
            listed.pool = pool.clone();
        }
        true
    }

    /// Runs a planning pass every `tick` until `done` returns `true`.
    ///
    /// Returns the elapsed time, or `None` after `limit`.
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

/// Creates the configuration of a pool.
pub fn pool(id: &str, spare: bool, floor: u32) -> Pool {
    Pool {
        id: id.into(),
        spare,
        floor,
    }
}

/// Creates the configuration of a service with `min_available` as its availability budget.
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
