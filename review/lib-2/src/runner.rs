//! A runner, as the users' pages describe it: runs tasks under a lease and fences orders.
//!
//! What a task does is in its `task_spec`: `ms=N` it works so long, `fail=N` its first N runs end
//! `failed`, `lasts` it works until it is stopped.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{self, Json, quote};
use crate::store::Store;
use crate::world::{World, unix_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_LEASE_MS: u64 = 6_000;
const STOP_MS: u64 = 200;
const STARTUP_MS: u64 = 100;
const MAX_ENDS: usize = 500;
/// How long the runners had been up when the test began.
const UP_MS: u64 = 600_000;
/// What every runner of these cases has room for.
pub const CPU: u64 = 16_000;
pub const MEM_MB: u64 = 65_536;

struct Work {
    started_ms: u64,
    length_ms: u64,
    lasts: bool,
    fails: bool,
    stop_at_ms: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

struct State {
    is_up: bool,
    /// Changes with each life.
    life: u64,
    born: u64,
    booted: Instant,
    /// Its clock when it was `booted`: it had been up for so long.
    up_ms: u64,
    kind: String,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<(String, u32), Work>,
    newest_ended: HashMap<String, u32>,
    ends: Vec<End>,
    last_end: u64,
    next_beat: Instant,
    last_beat: Instant,
    seq_no: u64,
    is_listed: bool,
    connections: Vec<TcpStream>,
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    world: Arc<World>,
    store: Arc<Store>,
    /// Failed ends of each task so far, on all runners.
    failures: Arc<Mutex<HashMap<String, u32>>>,
    late: Arc<LateOrder>,
}

/// The first start of one task, which stays on its way for a while: nobody answers it, and it is
/// carried out when it arrives.
#[derive(Default)]
pub struct LateOrder {
    task: Mutex<Option<(String, Duration)>>,
    /// The runner that it is for, once it was sent.
    runner: Mutex<Option<String>>,
}

impl LateOrder {
    pub fn set(&self, task: &str, time: Duration) {
        let mut held = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        *held = Some((task.to_owned(), time));
    }

    fn send_to(&self, id: &str) {
        let mut runner = self.runner.lock().unwrap_or_else(PoisonError::into_inner);
        *runner = Some(id.to_owned());
    }

    pub fn runner(&self) -> Option<String> {
        let runner = self.runner.lock();
        runner.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How long this start is on its way, if it is the one.
    fn take(&self, task: &str) -> Option<Duration> {
        let mut held = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, time) = held.take_if(|(late, _)| late == task)?;
        Some(time)
    }
}

/// Where a runner stands.
pub struct Place {
    pub number: usize,
    pub service: &'static str,
    pub kind: &'static str,
    pub addr: SocketAddr,
}

impl Runner {
    pub fn start(
        place: Place,
        world: &Arc<World>,
        store: &Arc<Store>,
        failures: &Arc<Mutex<HashMap<String, u32>>>,
        late: &Arc<LateOrder>,
    ) -> Arc<Runner> {
        let Place {
            number,
            service,
            kind,
            addr,
        } = place;
        let booted = Instant::now();
        let runner = Arc::new(Runner {
            id: format!("i-{:010x}", 0x5eed_0000_u64 + number as u64 * 977),
            machine: format!("m-{number:05}"),
            service: service.to_owned(),
            zone: format!("z-{}", number % 4),
            rack: format!("r{}", number / 4),
            addr,
            state: Mutex::new(State {
                is_up: true,
                life: 1,
                born: unix_ms() - UP_MS,
                booted,
                up_ms: UP_MS,
                kind: kind.to_owned(),
                token: 0,
                lease_ms: 0,
                runs: BTreeMap::new(),
                newest_ended: HashMap::new(),
                ends: Vec::new(),
                last_end: 0,
                next_beat: booted,
                last_beat: booted,
                seq_no: 0,
                is_listed: false,
                connections: Vec::new(),
            }),
            changed: Condvar::new(),
            world: world.clone(),
            store: store.clone(),
            failures: failures.clone(),
            late: late.clone(),
        });
        let listening = runner.clone();
        std::thread::spawn(move || listening.listen());
        runner
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens while it is up; a runner that is down has no listener.
    fn listen(self: Arc<Runner>) {
        loop {
            if !self.lock().is_up {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.addr) else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while self.lock().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            self.lock().connections.push(copy);
                        }
                        let runner = self.clone();
                        std::thread::spawn(move || http::serve(stream, &|req| runner.answer(req)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        }
    }

    /// Crashes: what ran there is gone, connections are reset, nothing listens.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.is_up = false;
        state.life += 1;
        for (task, run) in std::mem::take(&mut state.runs).into_keys() {
            self.world.ended(&task, run, &self.id, "lost");
        }
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
        drop(state);
        self.world
            .note(&format!("fault  runner {} crashes", self.id));
    }

    /// Starts again under its id, knowing nothing of before. Its first entry is written after `lag`.
    pub fn start_again(&self, kind: &str, lag: Duration) {
        let mut state = self.lock();
        let now = Instant::now();
        state.is_up = true;
        state.born = unix_ms();
        state.booted = now;
        state.up_ms = 0;
        state.kind = kind.to_owned();
        state.token = 0;
        state.lease_ms = 0;
        state.newest_ended.clear();
        state.ends.clear();
        state.last_end = 0;
        state.seq_no = 0;
        state.next_beat = now + lag;
        state.last_beat = now;
        drop(state);
        self.world.note(&format!(
            "fault  runner {} starts again, kind {kind}",
            self.id
        ));
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    /// Number of tasks that run there.
    pub fn load(&self) -> usize {
        self.lock().runs.len()
    }

    /// Its entry in the list of machines.
    pub fn machine_entry(&self) -> String {
        let state = self.lock();
        let (life, id) = if state.is_up {
            ("up", quote(&self.id))
        } else {
            ("down", "\"\"".into())
        };
        format!(
            "{{\"machine\":{},\"pool\":{},\"state\":\"{life}\",\"zone\":{},\"labels\":[{},{}],\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\"id\":{id}}}",
            quote(&self.machine),
            quote(&self.service),
            quote(&self.zone),
            quote(&state.kind),
            quote(&self.rack)
        )
    }

    fn entry(&self, state: &State) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":{},\"born\":{},\"clock_ms\":{},\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\"labels\":[{},{}]}}",
            quote(&self.service),
            self.addr,
            quote(&self.zone),
            state.seq_no,
            state.born,
            clock(state),
            quote(&state.kind),
            quote(&self.rack)
        )
    }

    /// Ends runs that are due, and writes the entry when a heartbeat is. Called every 10 ms.
    pub fn tick(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let now = Instant::now();
        if !state.is_up {
            // Removed after three heartbeat intervals of silence.
            if state.is_listed && now > state.last_beat + 3 * HEARTBEAT {
                state.is_listed = false;
                self.store.put("keyed.servers", &self.id, b"");
            }
            return;
        }
        if now >= state.next_beat {
            state.next_beat = now + HEARTBEAT;
            state.last_beat = now;
            state.seq_no += 1;
            state.is_listed = true;
            let entry = self.entry(state);
            self.store.put("keyed.servers", &self.id, entry.as_bytes());
        }
        let clock = clock(state);
        let has_lapsed = clock > state.lease_ms;
        let ending = |work: &Work| {
            if has_lapsed {
                Some("lapsed")
            } else if work.stop_at_ms.is_some_and(|at| clock >= at) {
                Some("stopped")
            } else if !work.lasts && clock >= work.started_ms + work.length_ms {
                Some(if work.fails { "failed" } else { "done" })
            } else {
                None
            }
        };
        let ended: Vec<_> = state
            .runs
            .iter()
            .filter_map(|(key, work)| Some((key.clone(), ending(work)?)))
            .collect();
        for ((task, run), how) in ended {
            state.runs.remove(&(task.clone(), run));
            state.last_end += 1;
            let newest = state.newest_ended.entry(task.clone()).or_default();
            *newest = run.max(*newest);
            if how == "failed" {
                let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
                *failures.entry(task.clone()).or_default() += 1;
            }
            self.world.ended(&task, run, &self.id, how);
            state.ends.push(End {
                number: state.last_end,
                task,
                run,
                how,
            });
            self.changed.notify_all();
        }
    }

    fn answer(self: &Arc<Runner>, req: &Request) -> Reply {
        if req.path == "/-/run-start" {
            let body = json::parse(&req.body);
            let task = body
                .as_ref()
                .and_then(|b| b.text("task"))
                .unwrap_or_default();
            if let Some(time) = self.late.take(task) {
                self.world.note(&format!(
                    "order  start of {task} at {}: on its way for {time:?}",
                    self.id
                ));
                self.late.send_to(&self.id);
                let (runner, req) = (self.clone(), req.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(time);
                    let status = match runner.carry_out(&req) {
                        Reply::Full(status, _) => status.to_string(),
                        Reply::Close => "nobody there".to_owned(),
                    };
                    runner.world.note(&format!(
                        "order  the late start arrives at {}: {status}",
                        runner.id
                    ));
                });
                std::thread::sleep(time);
                return Reply::Close;
            }
        }
        self.carry_out(req)
    }

    fn carry_out(&self, req: &Request) -> Reply {
        let mut state = self.lock();
        if !state.is_up {
            return Reply::Close;
        }
        if req
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return refuse(&state, 421, "instance");
        }
        let Some(body) = json::parse(&req.body) else {
            return refuse(&state, 400, "body");
        };
        let token = body.whole("fencing_token");
        if token < state.token {
            return refuse(&state, 409, "fence");
        }
        state.token = token;
        match req.path.as_str() {
            "/-/run-start" => self.run_start(state, &body),
            "/-/run-stop" => self.run_stop(state, &body),
            "/-/hold" => self.hold(state, &body),
            "/-/pace" => accept(&state),
            _ => refuse(&state, 404, "path"),
        }
    }

    fn run_start(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let clock = clock(&state);
        let deadline = body.whole("deadline_ms");
        state.lease_ms = state.lease_ms.max(deadline.min(clock + MAX_LEASE_MS));
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.whole("run") as u32;
        let key = (task.clone(), run);
        if state.runs.contains_key(&key) {
            return accept(&state);
        }
        if state
            .newest_ended
            .get(&task)
            .is_some_and(|newest| run <= *newest)
        {
            return refuse(&state, 409, "old");
        }
        if clock > deadline {
            return refuse(&state, 409, "late");
        }
        let spec = body.text("task_spec").unwrap_or_default();
        let number = |name: &str| {
            let word = spec.split(' ').find_map(|w| w.strip_prefix(name));
            word.and_then(|w| w.parse::<u64>().ok()).unwrap_or(0)
        };
        let failed = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        let fails = u64::from(failed.get(&task).copied().unwrap_or(0)) < number("fail=");
        drop(failed);
        let work = Work {
            started_ms: clock,
            length_ms: number("ms="),
            lasts: spec.split(' ').any(|w| w == "lasts"),
            fails,
            stop_at_ms: None,
        };
        self.world.started(&task, run, &self.id, &state.kind);
        state.runs.insert(key, work);
        accept(&state)
    }

    fn run_stop(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let clock = clock(&state);
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.whole("run") as u32;
        match state.runs.get_mut(&(task.clone(), run)) {
            Some(work) => {
                work.stop_at_ms.get_or_insert(clock + STOP_MS);
            }
            None => {
                let newest = state.newest_ended.entry(task).or_default();
                *newest = run.max(*newest);
            }
        }
        accept(&state)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let life = state.life;
        let now = clock(&state);
        let deadline = body.whole("deadline_ms").min(now + MAX_LEASE_MS);
        state.lease_ms = state.lease_ms.max(deadline);
        let seen = body.whole("last_seen");
        state.ends.retain(|e| e.number > seen);
        let wait = Duration::from_millis(body.whole("wait_ms").min(2_000));
        let until = Instant::now() + wait;
        while state.ends.is_empty() && state.life == life {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.life != life || !state.is_up {
            return Reply::Close;
        }
        let clock = clock(&state);
        let running: Vec<_> = state
            .runs
            .iter()
            .map(|((task, run), work)| {
                let worked = clock.saturating_sub(work.started_ms);
                let whole = if work.lasts {
                    STARTUP_MS
                } else {
                    work.length_ms.max(1)
                };
                let percent = (worked * 100 / whole).min(if work.lasts { 100 } else { 99 });
                format!("[{},{run},\"\",{percent},500]", quote(task))
            })
            .collect();
        let ended: Vec<_> = state
            .ends
            .iter()
            .take(MAX_ENDS)
            .map(|e| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    e.number,
                    quote(&e.task),
                    e.run,
                    e.how
                )
            })
            .collect();
        Reply::json(
            200,
            format!(
                "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                state.born,
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

/// Its own steady clock, which began at its start.
fn clock(state: &State) -> u64 {
    state.up_ms + state.booted.elapsed().as_millis() as u64
}

fn accept(state: &State) -> Reply {
    Reply::json(
        200,
        format!("{{\"clock_ms\":{},\"born\":{}}}", clock(state), state.born),
    )
}

fn refuse(state: &State, status: u16, reason: &str) -> Reply {
    Reply::json(
        status,
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"reason\":\"{reason}\"}}",
            clock(state),
            state.born
        ),
    )
}
