//! Runners, as PROTOCOL.md tells them ("Running tasks", "Service discovery").
//!
//! What a task does stands in its `task_spec`: for each step `STEP:ms=800`, `STEP:lasts`, joined by
//! semicolons; `saves=N` lets it have a new checkpoint each N milliseconds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 6_000;
const STOP_GRACE_MS: u64 = 900;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// Start-up of a task that lasts.
const STARTUP_MS: u64 = 900;

#[derive(Debug, Clone)]
pub enum Seen {
    Start { task: String, run: u64 },
    End { task: String, run: u64, how: &'static str },
    Noted { task: String, how: &'static str },
    Crash,
    Left,
}

/// What one runner has seen, with the time of the record in milliseconds.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub runner: String,
    pub seen: Seen,
}

pub struct Spec {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub labels: [String; 2],
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    began_ms: u64,
    lasts: bool,
    duration_ms: u64,
    saves_ms: u64,
    stop_ms: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct State {
    born: u64,
    began: Instant,
    is_up: bool,
    is_back: bool,
    is_draining: bool,
    sheds: bool,
    has_left: bool,
    crashed_at: Option<Instant>,
    is_listed: bool,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    over: BTreeMap<String, u64>,
    ended: Vec<End>,
    last: u64,
    beat_at: Option<Instant>,
    beats: u64,
}

pub struct Runner {
    pub spec: Spec,
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Record,
    events: Arc<Mutex<Vec<Event>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn option(spec: &str, task: &str, name: &str) -> Option<u64> {
    let step = task.split('.').nth(2)?;
    let own = spec.split(';').find_map(|part| part.strip_prefix(&format!("{step}:")))?;
    own.split(',').find_map(|word| match word.split_once('=') {
        Some((key, value)) if key == name => value.parse().ok(),
        None if word == name => Some(1),
        _ => None,
    })
}

impl Runner {
    pub fn start(
        spec: Spec,
        ip: IpAddr,
        store: &Arc<Store>,
        record: &Record,
        events: &Arc<Mutex<Vec<Event>>>,
    ) -> std::io::Result<Arc<Runner>> {
        let slot: Arc<Mutex<Option<Arc<Runner>>>> = Arc::default();
        let of = slot.clone();
        let addr = http::serve(
            SocketAddr::new(ip, 0),
            Arc::new(move |req| {
                let runner = of.lock().unwrap().clone();
                runner.map_or(Reply::Close, |r| r.answer(req))
            }),
        )?;
        let runner = Arc::new(Runner {
            spec,
            addr,
            state: Mutex::new(State {
                born: unix_ms(),
                began: Instant::now(),
                is_up: true,
                is_back: true,
                is_draining: false,
                sheds: false,
                has_left: false,
                crashed_at: None,
                is_listed: false,
                token: 0,
                lease_ms: 0,
                runs: BTreeMap::new(),
                over: BTreeMap::new(),
                ended: Vec::new(),
                last: 0,
                beat_at: None,
                beats: 0,
            }),
            changed: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
            events: events.clone(),
        });
        *slot.lock().unwrap() = Some(runner.clone());
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(TICK);
            }
        });
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn note(&self, seen: Seen) {
        let at = self.record.ms();
        let runner = self.spec.id.clone();
        let text = match &seen {
            Seen::Start { task, run } => format!("begins {task} run {run}"),
            Seen::End { task, run, how } => format!("ends {task} run {run}: {how}"),
            Seen::Noted { task, how } => format!("end of {task} ({how}) is taken note of"),
            Seen::Crash => "crashes".into(),
            Seen::Left => "has left".into(),
        };
        self.record.line(&format!("{runner} {text}"));
        self.events.lock().unwrap().push(Event { at, runner, seen });
    }

    /// Crashes: it says nothing more, and everything that runs there is gone.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.is_up = false;
        state.is_back = false;
        state.crashed_at = Some(Instant::now());
        state.runs.clear();
        state.ended.clear();
        state.over.clear();
        drop(state);
        self.note(Seen::Crash);
        self.changed.notify_all();
    }

    /// Whether it is unhealthy and rejects all starts with 503, having done nothing.
    pub fn set_sheds(&self, sheds: bool) {
        self.lock().sheds = sheds;
        let text = if sheds { "rejects all starts" } else { "takes starts again" };
        self.record.line(&format!("{} {text}", self.spec.id));
    }

    /// Reports that it drains; it serves on until [`Runner::leave`].
    pub fn drain(&self) {
        let mut state = self.lock();
        state.is_draining = true;
        state.beat_at = None;
        self.beat(&mut state);
        self.record.line(&format!("{} drains", self.spec.id));
    }

    /// Ends after it has drained: everything that runs there is gone, its entry is removed and its
    /// machine taken away.
    pub fn leave(&self) {
        let mut state = self.lock();
        for (task, run) in state.runs.keys() {
            self.record.line(&format!("{} leaves with {task} run {run}", self.spec.id));
        }
        state.is_up = false;
        state.is_back = false;
        state.has_left = true;
        state.is_listed = false;
        state.runs.clear();
        state.ended.clear();
        drop(state);
        self.store.put("keyed.servers", &self.spec.id, "");
        self.note(Seen::Left);
        self.changed.notify_all();
    }

    /// Starts again under its id, after a crash.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.born = unix_ms();
        state.began = Instant::now();
        state.is_up = true;
        state.is_back = true;
        state.crashed_at = None;
        state.token = 0;
        state.lease_ms = 0;
        state.last = 0;
        state.beats = 0;
        state.beat_at = None;
        drop(state);
        self.record.line(&format!("{} starts again", self.spec.id));
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    /// Tasks that run here.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.lock().runs.keys().cloned().collect()
    }

    fn clock_ms(state: &State) -> u64 {
        state.began.elapsed().as_millis() as u64
    }

    fn tick(&self) {
        let mut state = self.lock();
        self.beat(&mut state);
        if !state.is_up {
            return;
        }
        let now = Runner::clock_ms(&state);
        let has_lapsed = now > state.lease_ms;
        let over: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(key, run)| {
                let is_stopped = run.stop_ms.is_some_and(|at| now >= at);
                let is_done = !run.lasts && now >= run.began_ms + run.duration_ms;
                let how = match () {
                    () if is_stopped => "stopped",
                    () if is_done => "done",
                    () if has_lapsed => "lapsed",
                    () => return None,
                };
                Some((key.clone(), how, saved(run, &key.0, now)))
            })
            .collect();
        for ((task, run), how, saved) in over {
            state.runs.remove(&(task.clone(), run));
            let highest = state.over.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            state.last += 1;
            let number = state.last;
            let end = End { number, task: task.clone(), run, how, saved };
            state.ended.push(end);
            self.note(Seen::End { task, run, how });
            self.changed.notify_all();
        }
    }

    /// Writes its entry, or has it removed after three intervals of silence.
    fn beat(&self, state: &mut State) {
        if !state.is_up {
            let silent = state.crashed_at.map_or(Duration::ZERO, |at| at.elapsed());
            if state.is_listed && silent > HEARTBEAT * 3 {
                state.is_listed = false;
                self.store.put("keyed.servers", &self.spec.id, "");
                self.record.line(&format!("entry of {} is removed", self.spec.id));
            }
            return;
        }
        if state.beat_at.is_some_and(|at| at.elapsed() < HEARTBEAT) {
            return;
        }
        state.beat_at = Some(Instant::now());
        state.beats += 1;
        state.is_listed = true;
        let Spec { service, zone, labels, cpu, mem_mb, .. } = &self.spec;
        let (clock, beats, born) = (Runner::clock_ms(state), state.beats, state.born);
        let drains = state.is_draining;
        let word = if drains { "draining" } else { "ready" };
        let left = if drains { ",\"remaining_ms\":2000" } else { "" };
        let (addr, [kind, rack]) = (self.addr, labels);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{word}\"{left},\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\
             \"mem_mb\":{mem_mb},\"gpu\":0}},\"labels\":[\"{kind}\",\"{rack}\"],\"clock_ms\":{clock},\
             \"born\":{born},\"seq_no\":{beats}}}"
        );
        self.store.put("keyed.servers", &self.spec.id, &entry);
    }

    fn answer(&self, req: &Request) -> Reply {
        if !self.lock().is_up {
            return Reply::Close;
        }
        if req.path == "/health" {
            return Reply::Json(200, "{}".into());
        }
        if req.header("expect-instance").is_some_and(|id| id != self.spec.id) {
            return Reply::Json(421, "{}".into());
        }
        let body = http::body_json(req);
        let token = body.num("fencing_token").unwrap_or(0);
        let mut state = self.lock();
        if state.sheds && req.path == "/-/run-start" {
            let task = body.str("task").unwrap_or_default();
            self.record.line(&format!("{} answers 503 to the start of {task}", self.spec.id));
            return Reply::Json(503, "{}".into());
        }
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        match req.path.as_str() {
            "/-/run-start" => self.run_start(state, &body),
            "/-/run-stop" => self.run_stop(state, &body),
            "/-/hold" => self.hold(state, &body),
            "/-/pace" => accept(&state),
            _ => Reply::Json(404, "{}".into()),
        }
    }

    fn extend(state: &mut State, until: Option<u64>) {
        let most = Runner::clock_ms(state) + HOLD_MAX_MS;
        if let Some(until) = until {
            state.lease_ms = state.lease_ms.max(until.min(most));
        }
    }

    fn run_start(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.str("task"), body.num("run")) else {
            return Reply::Json(400, "{}".into());
        };
        let deadline = body.num("deadline_ms");
        Runner::extend(&mut state, deadline);
        let now = Runner::clock_ms(&state);
        if state.runs.contains_key(&(task.to_owned(), run)) {
            return accept(&state);
        }
        if state.over.get(task).is_some_and(|over| *over >= run) {
            return refuse(&state, "old");
        }
        if deadline.is_some_and(|at| now > at) {
            return refuse(&state, "late");
        }
        let spec = body.str("task_spec").unwrap_or_default();
        let begun = Run {
            began_ms: now,
            lasts: option(spec, task, "lasts").is_some(),
            duration_ms: option(spec, task, "ms").unwrap_or(500),
            saves_ms: option(spec, task, "saves").unwrap_or(0),
            stop_ms: None,
        };
        state.runs.insert((task.to_owned(), run), begun);
        let reply = accept(&state);
        drop(state);
        let task = task.to_owned();
        self.note(Seen::Start { task, run });
        reply
    }

    fn run_stop(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.str("task"), body.num("run")) else {
            return Reply::Json(400, "{}".into());
        };
        let until = Runner::clock_ms(&state) + STOP_GRACE_MS;
        if let Some(running) = state.runs.get_mut(&(task.to_owned(), run)) {
            running.stop_ms.get_or_insert(until);
        } else {
            let highest = state.over.entry(task.to_owned()).or_default();
            *highest = run.max(*highest);
        }
        accept(&state)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        Runner::extend(&mut state, body.num("deadline_ms"));
        let seen = body.num("last_seen").unwrap_or(0);
        let (noted, kept): (Vec<End>, Vec<End>) =
            std::mem::take(&mut state.ended).into_iter().partition(|e| e.number <= seen);
        state.ended = kept;
        for End { task, how, .. } in noted {
            self.note(Seen::Noted { task, how });
        }
        let wait = Duration::from_millis(body.num("wait_ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let born = state.born;
        while state.ended.is_empty() && state.is_up && state.born == born {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        if !state.is_up || state.born != born {
            return Reply::Close;
        }
        let now = Runner::clock_ms(&state);
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|((task, run), r)| {
                let past = now - r.began_ms;
                let percent = match r.lasts {
                    true if past >= STARTUP_MS => 100,
                    true => 0,
                    false => (past * 100 / r.duration_ms.max(1)).min(99),
                };
                format!("[\"{task}\",{run},\"{}\",{percent},0]", saved(r, task, now))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|e| format!("[{},\"{}\",{},\"{}\",\"{}\"]", e.number, e.task, e.run, e.how, e.saved))
            .collect();
        let (running, ended) = (running.join(","), ended.join(","));
        Reply::Json(
            200,
            format!(
                "{{\"clock_ms\":{now},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
            ),
        )
    }
}

/// The newest checkpoint of a run: sixteen characters, as on the page.
fn saved(run: &Run, task: &str, now: u64) -> String {
    let count = (now - run.began_ms).checked_div(run.saves_ms).unwrap_or(0);
    match count {
        0 => String::new(),
        _ => format!("{count:05x}{}", &task[task.len().min(16) - 11..task.len().min(16)]),
    }
}

fn accept(state: &State) -> Reply {
    Reply::Json(200, format!("{{\"clock_ms\":{}}}", Runner::clock_ms(state)))
}

fn refuse(state: &State, why: &str) -> Reply {
    let clock = Runner::clock_ms(state);
    Reply::Json(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{why}\"}}"))
}

/// The machines of all runners, as the platform lists them.
pub fn machines(runners: &[Arc<Runner>]) -> String {
    let rows: Vec<String> = runners
        .iter()
        .filter(|r| !r.lock().has_left)
        .map(|r| {
            let Spec { id, machine, service, zone, labels, cpu, mem_mb } = &r.spec;
            let (is_back, born_id) = (r.lock().is_back, id);
            let state = if is_back { "up" } else { "down" };
            let id = if is_back { format!("\"{born_id}\"") } else { "null".into() };
            let [kind, rack] = labels;
            format!(
                "{{\"machine\":\"{machine}\",\"pool\":\"{service}\",\"state\":\"{state}\",\
                 \"zone\":\"{zone}\",\"labels\":[\"{kind}\",\"{rack}\"],\"capacity\":{{\"cpu\":{cpu},\
                 \"mem_mb\":{mem_mb},\"gpu\":0}},\"id\":{id}}}"
            )
        })
        .collect();
    format!("{{\"machines\":[{}],\"next_token\":null}}", rows.join(","))
}

/// The jobs of which a start was seen.
pub fn started(events: &[Event]) -> BTreeSet<String> {
    let tasks = events.iter().filter_map(|e| match &e.seen {
        Seen::Start { task, .. } => Some(task[..16].to_owned()),
        _ => None,
    });
    tasks.collect()
}
