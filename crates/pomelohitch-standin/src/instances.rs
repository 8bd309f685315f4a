//! Pools of instances, listed with a delay.
//!
//! A drain completes when the instance's runner is idle, which its control address tells. A reboot
//! or a move needs a drained instance and leaves it live, a move in the other pool. Neither begins
//! until the control address has told whether requests run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomelohitch_core::id::{InstanceId, Offset, PoolId};
use pomelohitch_platform::instances::{List, Listed, ListedState};
use serde::{Deserialize, Serialize};

use crate::faults::{self, CallFaults, Shared};
use crate::runner;
use crate::server::{self, Answer, Request, Server};

/// Timeout of a call to a runner's control address.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of past states of the list that are kept; the list is served from them with the lag.
const MAX_SNAPSHOTS: usize = 10_000;

/// Faults of the pools.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of calls.
    pub calls: CallFaults,
    /// Instances that never return from a reboot.
    pub never_return: BTreeSet<InstanceId>,
    /// Instances that are down.
    pub down: BTreeSet<InstanceId>,
    /// Instances that the platform withdraws.
    pub leaving: BTreeSet<InstanceId>,
    /// Whether the list is frozen.
    pub stale_list: bool,
}

/// Settings of the pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The instances at the start.
    pub instances: Vec<Instance>,
    /// Delay of the list.
    pub lag: Duration,
    /// Duration of a reboot.
    pub reboot: Duration,
    /// Duration of a move.
    pub move_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            instances: Vec::new(),
            lag: Duration::from_millis(200),
            reboot: Duration::from_millis(500),
            move_time: Duration::from_millis(200),
        }
    }
}

/// Initial state of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its entry in the list.
    pub listed: Listed,
    /// Control address of its runner; without one it is always idle.
    pub control: Option<SocketAddr>,
}

/// An operation on an instance that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Offset of the decision that requested it.
    pub op: Offset,
    /// Instance that it applies to.
    pub instance: InstanceId,
    /// `drain`, `undrain`, `reboot` or `move`.
    pub action: Box<str>,
    /// Whether it has completed.
    pub done: bool,
}

/// Effects and counts of the pools.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Every effect once, in the order of their starts.
    pub effects: Vec<Effect>,
    /// Reboots and moves that began while requests ran on the instance and so interrupted them.
    pub cut: u64,
}

#[derive(Debug)]
struct Entry {
    listed: Listed,
    control: Option<SocketAddr>,
    /// When the reboot or move ends, and the pool of the instance after that.
    busy_until: Option<(Instant, PoolId)>,
}

#[derive(Debug)]
struct Snapshot {
    at: Instant,
    list: List,
}

#[derive(Debug)]
struct Pools {
    entries: BTreeMap<InstanceId, Entry>,
    history: Vec<Snapshot>,
    ledger: Ledger,
    options: Options,
}

#[derive(Deserialize)]
struct OperationRequest {
    op: Offset,
    pool: Option<PoolId>,
}

/// Running pools.
#[derive(Debug)]
pub struct Instances {
    server: Server,
    control: Server,
    faults: Shared<Faults>,
    pools: Shared<Pools>,
}

impl Instances {
    /// Starts the pools.
    #[must_use]
    pub fn start(options: &Options) -> Instances {
        let pools = Shared::new(Pools::new(options));
        let faults = Shared::<Faults>::default();
        let (call_faults, call_pools) = (faults.clone(), pools.clone());
        let handler = move |req: &Request| {
            let act = || answer(&call_pools, &call_faults.lock().clone(), req);
            faults::with_call_faults(&call_faults, |f| &mut f.calls, req, act)
        };
        let server = Server::start(&server::Options::default(), Box::new(handler));
        let (control_faults, control_pools) = (faults.clone(), pools.clone());
        let control = faults::start_control(
            move |faults| *control_faults.lock() = faults,
            move || control_pools.lock().ledger.clone(),
        );
        Instances {
            server,
            control,
            faults,
            pools,
        }
    }

    /// URL of the service of instances.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// URL of the control address.
    #[must_use]
    pub fn control_url(&self) -> String {
        self.control.url()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// The effects and counts up to now.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.pools.lock().ledger.clone()
    }

    /// The current entry of an instance, without the lag of the list.
    #[must_use]
    pub fn now(&self, id: &str) -> Option<Listed> {
        let faults = self.faults.lock().clone();
        let mut pools = self.pools.lock();
        pools.advance(&faults);
        pools.entries.get(id).map(|entry| entry.listed.clone())
    }
}

impl Pools {
    fn new(options: &Options) -> Pools {
        let entries = options.instances.iter().map(|instance| {
            let entry = Entry {
                listed: instance.listed.clone(),
                control: instance.control,
                busy_until: None,
            };
            (instance.listed.id.clone(), entry)
        });
        let mut pools = Pools {
            entries: entries.collect(),
            history: Vec::new(),
            ledger: Ledger::default(),
            options: options.clone(),
        };
        pools.push_snapshot();
        pools
    }

    /// Advances to the present: completes reboots and moves that are due, and applies the faults.
    fn advance(&mut self, faults: &Faults) {
        let now = Instant::now();
        let mut changed = false;
        for (id, entry) in &mut self.entries {
            let before = entry.listed.state;
            if let Some((end, pool)) = entry.busy_until.clone()
                && end <= now
                && !faults.never_return.contains(id)
            {
                entry.busy_until = None;
                entry.listed.pool = pool;
                entry.listed.state = ListedState::Live;
            }
            if faults.down.contains(id) {
                entry.listed.state = ListedState::Down;
            } else if faults.leaving.contains(id) {
                entry.listed.state = ListedState::Leaving;
            }
            changed |= entry.listed.state != before;
        }
        if changed {
            self.push_snapshot();
        }
    }

    fn push_snapshot(&mut self) {
        let instances = self.entries.values().map(|entry| entry.listed.clone());
        let list = List {
            as_of: Duration::from_millis(runner::epoch_ms()),
            instances: instances.collect(),
        };
        if self.history.len() == MAX_SNAPSHOTS {
            self.history.remove(0);
        }
        let at = Instant::now();
        self.history.push(Snapshot { at, list });
    }

    /// The list as of one lag ago; the first list if none is that old.
    fn list(&self, is_stale: bool) -> List {
        let lag = self.options.lag;
        let is_old = |snapshot: &&Snapshot| snapshot.at.elapsed() >= lag;
        let shown = self.history.iter().rev().find(is_old);
        let mut list = shown.unwrap_or(&self.history[0]).list.clone();
        if !is_stale {
            list.as_of = Duration::from_millis(runner::epoch_ms()).saturating_sub(lag);
        }
        list
    }

    /// Starts an operation, or returns the answer that refuses it.
    fn begin(
        &mut self,
        id: &str,
        action: &str,
        request: &OperationRequest,
        is_idle: Option<bool>,
    ) -> Result<(), Answer> {
        let Some(entry) = self.entries.get_mut(id) else {
            return Err(Answer::text(404, "no such instance"));
        };
        let state = entry.listed.state;
        let interrupts = matches!(action, "reboot" | "move");
        if interrupts && is_idle.is_none() {
            return Err(Answer::text(503, "the runner doesn't answer"));
        }
        let end = |after: Duration| Instant::now() + after;
        match (action, state, &request.pool) {
            ("drain", ListedState::Live | ListedState::Leaving, _) => {
                entry.listed.state = ListedState::Draining;
            }
            ("drain", ListedState::Draining | ListedState::Drained, _)
            | ("undrain", ListedState::Live, _) => {}
            ("undrain", ListedState::Draining | ListedState::Drained, _) => {
                entry.listed.state = ListedState::Live;
            }
            ("reboot", ListedState::Drained, _) => {
                entry.listed.state = ListedState::Rebooting;
                entry.busy_until = Some((end(self.options.reboot), entry.listed.pool.clone()));
            }
            ("move", ListedState::Drained, Some(pool)) => {
                entry.busy_until = Some((end(self.options.move_time), pool.clone()));
            }
            _ => return Err(Answer::text(409, &format!("the instance is {state:?}"))),
        }
        self.push_snapshot();
        self.ledger.cut += u64::from(interrupts && is_idle == Some(false));
        self.ledger.effects.push(Effect {
            op: request.op,
            instance: id.into(),
            action: action.into(),
            done: false,
        });
        Ok(())
    }

    /// Whether the effect `op` is complete; a complete effect stays complete.
    fn is_done(&mut self, op: Offset, is_idle: Option<bool>) -> bool {
        let found = self
            .ledger
            .effects
            .iter_mut()
            .find(|effect| effect.op == op);
        let effect =
            found.expect("`apply_operation` begins an unknown effect before it calls this");
        let Some(entry) = self.entries.get_mut(&effect.instance) else {
            return false;
        };
        if !effect.done {
            effect.done = match &*effect.action {
                "drain" => is_idle == Some(true) || entry.listed.state == ListedState::Drained,
                "undrain" => true,
                _ => entry.busy_until.is_none() && entry.listed.state == ListedState::Live,
            };
            if effect.done
                && &*effect.action == "drain"
                && entry.listed.state == ListedState::Draining
            {
                entry.listed.state = ListedState::Drained;
                self.push_snapshot();
                return true;
            }
        }
        effect.done
    }
}

fn answer(pools: &Shared<Pools>, faults: &Faults, req: &Request) -> Answer {
    if !faults.stale_list {
        pools.lock().advance(faults);
    }
    match (&*req.method, &req.segments()[..]) {
        ("GET", ["instances"]) => Answer::json(200, &pools.lock().list(faults.stale_list)),
        ("POST", ["instances", id, action]) => match req.json::<OperationRequest>() {
            Ok(request) => apply_operation(pools, id, action, &request),
            Err(answer) => answer,
        },
        _ => Answer::text(404, "not found"),
    }
}

fn apply_operation(
    pools: &Shared<Pools>,
    id: &str,
    action: &str,
    request: &OperationRequest,
) -> Answer {
    let control = pools.lock().entries.get(id).and_then(|entry| entry.control);
    let is_idle = control.map_or(Some(true), is_idle);
    let mut pools = pools.lock();
    let is_known = pools
        .ledger
        .effects
        .iter()
        .any(|effect| effect.op == request.op);
    if !is_known && let Err(answer) = pools.begin(id, action, request, is_idle) {
        return answer;
    }
    let done = pools.is_done(request.op, is_idle);
    Answer::json(200, &serde_json::json!({ "done": done }))
}

/// Whether the runner with this control address runs no request; `None` if it doesn't answer.
fn is_idle(control: SocketAddr) -> Option<bool> {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .build()
        .new_agent();
    let answer = agent.get(format!("http://{control}/ledger")).call();
    let ledger = answer
        .ok()
        .and_then(|mut answer| answer.body_mut().read_to_vec().ok())
        .and_then(|body| serde_json::from_slice::<runner::Ledger>(&body).ok());
    ledger.map(|ledger| ledger.running == 0)
}
