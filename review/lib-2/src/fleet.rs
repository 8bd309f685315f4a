//! A small deployment on loopback addresses: entry instances as processes, and the platform's
//! stand-ins.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::runner::{LateOrder, Place, Runner};
use crate::store::Store;
use crate::world::World;

pub const HOST: &str = "pule25.example";
/// As at Snehopas: 8 machines in 4 zones.
const MEMBERS: u8 = 8;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub late: Arc<LateOrder>,
    fronts: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    children: Vec<Child>,
    is_over: Arc<AtomicBool>,
    pids: PathBuf,
    temp: PathBuf,
}

/// Paths that a case is run with.
pub struct Paths {
    pub program: PathBuf,
    pub temp: PathBuf,
    pub record: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.pids);
    }
}

fn free_net() -> Option<(u8, u16)> {
    let seed = std::process::id();
    (0..200_u32).find_map(|n| {
        let net = u8::try_from(1 + (seed + n) % 250).ok()?;
        let base = u16::try_from(20_000 + (seed.wrapping_mul(37) + n * 101) % 100 * 100).ok()?;
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, 20, net, host), port)).is_ok()
        };
        let ports = [0, 1, 2, 40, 43, 45];
        let are_free = (0..MEMBERS).all(|m| ports.iter().all(|p| is_free(10 + m, base + p)));
        (are_free && is_free(2, base + 64) && is_free(3, base + 64)).then_some((net, base))
    })
}

fn serve(addr: SocketAddr, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let listener = TcpListener::bind(addr).expect("a free loopback address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || http::serve(stream, &*handler));
        }
    });
}

impl Fleet {
    /// Starts the platform's stand-ins, a runner of each of these kinds in the one service, and the
    /// entry instances; waits until all of them are ready.
    pub fn start(
        paths: &Paths,
        service: &'static str,
        kinds: &[&'static str],
        config: &str,
    ) -> Option<Fleet> {
        let world = Arc::new(World::new(File::create(&paths.record).ok()?));
        let store = Arc::new(Store::default());
        let (net, base) = free_net()?;
        let at = |host: u8, port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, 20, net, host), base + port))
        };
        let (store_addr, cloud_addr, advice_addr) = (at(2, 64), at(3, 64), at(4, 64));
        store.put("keyed.op", "config", config.as_bytes());
        world.note("config first version is written");
        let answering = store.clone();
        serve(store_addr, move |req| answering.answer(req));
        let failures = Arc::new(Mutex::new(HashMap::new()));
        let late = Arc::<LateOrder>::default();
        let runners: Vec<_> = kinds
            .iter()
            .enumerate()
            .map(|(number, kind)| {
                let addr = at(100 + number as u8, 60);
                Runner::start(
                    Place {
                        number,
                        service,
                        kind,
                        addr,
                    },
                    &world,
                    &store,
                    &failures,
                    &late,
                )
            })
            .collect();
        let listed = runners.clone();
        let noting = world.clone();
        serve(cloud_addr, move |req| {
            match (req.method.as_str(), req.path.as_str()) {
                ("GET", "/-/machines") => {
                    let entries: Vec<_> = listed.iter().map(|r| r.machine_entry()).collect();
                    Reply::json(
                        200,
                        format!(
                            "{{\"machines\":[{}],\"next_token\":\"\"}}",
                            entries.join(",")
                        ),
                    )
                }
                _ => {
                    noting.note(&format!(
                        "order  {} {}",
                        req.path,
                        String::from_utf8_lossy(&req.body)
                    ));
                    Reply::json(400, "{}")
                }
            }
        });
        serve_advice(advice_addr, &world);
        let is_over = Arc::new(AtomicBool::new(false));
        let (ticking, over) = (runners.clone(), is_over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                ticking.iter().for_each(|r| r.tick());
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        let mut fleet = Fleet {
            world,
            store,
            runners,
            late,
            fronts: Vec::new(),
            readiness: Vec::new(),
            children: Vec::new(),
            is_over,
            pids: paths.temp.join("pids"),
            temp: paths.temp.clone(),
        };
        for member in 0..MEMBERS {
            let ip = Ipv4Addr::new(127, 20, net, 10 + member);
            let text = settings(member, ip, base, [store_addr, cloud_addr, advice_addr]);
            fleet.fronts.push(at(10 + member, 40));
            fleet.readiness.push(at(10 + member, 43));
            fleet.start_member(paths, member, &text)?;
        }
        let until = Instant::now() + READY_TIMEOUT;
        while !fleet.are_ready() {
            if Instant::now() > until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 10 s after the machines do; the runners are known long before that.
        std::thread::sleep(Duration::from_secs(4));
        fleet.world.note("ready  all entry instances are ready");
        Some(fleet)
    }

    fn start_member(&mut self, paths: &Paths, member: u8, text: &str) -> Option<()> {
        let settings = paths.temp.join(format!("member-{member}.toml"));
        std::fs::write(&settings, text).ok()?;
        let log = File::create(paths.temp.join(format!("member-{member}.log"))).ok()?;
        let mut command = Command::new(&paths.program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).ok().map(|value| (name, value)));
        }
        let child = command
            .env("POMELOHITCH_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(&self.pids)
            .ok()?;
        let _ = writeln!(pids, "{}", child.id());
        self.children.push(child);
        Some(())
    }

    fn are_ready(&self) -> bool {
        self.readiness.iter().all(|addr| {
            let timeout = Duration::from_millis(500);
            let answer = http::call(*addr, "GET", "/-/ready", &[("Host", "lb")], &[], timeout);
            matches!(answer, Ok((200, _)))
        })
    }

    /// The number of the entry instance that took over the leadership last, by its log.
    pub fn leader(&self) -> Option<usize> {
        let taken_over = (0..self.children.len()).filter_map(|member| {
            let log = self.temp.join(format!("member-{member}.log"));
            let log = std::fs::read_to_string(log).ok()?;
            let line = log
                .lines()
                .rev()
                .find(|l| l.contains("leadership taken over"))?;
            Some((line.get(14..41)?.to_owned(), member))
        });
        taken_over.max().map(|(_, member)| member)
    }

    /// Sends a signal to an entry instance.
    pub fn signal(&self, member: usize, name: &str) {
        let command = format!("kill -s {name} {}", self.children[member].id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        self.world
            .note(&format!("fault  {name} to member {member}"));
    }

    pub fn configure(&self, config: &str, what: &str) {
        self.store.put("keyed.op", "config", config.as_bytes());
        self.world.note(&format!("config {what}: acknowledged"));
    }

    /// A call of a client that waits until its deadline.
    pub fn call(
        &self,
        member: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        self.call_within(
            member,
            method,
            path,
            key,
            body,
            Duration::from_millis(3_000),
        )
    }

    /// A call of a client to the entry instance with this number.
    pub fn call_within(
        &self,
        member: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, String)> {
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Authorization", bearer.as_str()),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let addr = self.fronts[member % self.fronts.len()];
        let answer = http::call(addr, method, path, &headers, body.as_bytes(), timeout).ok();
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let shown = match &answer {
            Some((status, body)) => {
                format!("{status} {}", body.chars().take(80).collect::<String>())
            }
            None => "no answer".to_owned(),
        };
        self.world.note(&format!(
            "client {method} {path} at member {member}: {shown}"
        ));
        answer
    }

    /// Hands a job in, as a client with four retries does. `Some(true)` if it was accepted,
    /// `Some(false)` if it was rejected, `None` if its outcome is unknown.
    pub fn submit(&self, first: usize, path: &str, key: &str, body: &str) -> Option<bool> {
        for attempt in 0..5 {
            match self.call(
                (first + attempt) % usize::from(MEMBERS),
                "POST",
                path,
                key,
                body,
            ) {
                Some((200..=299, _)) => return Some(true),
                Some((502 | 504, _)) | None => std::thread::sleep(Duration::from_millis(200)),
                Some(_) => return Some(false),
            }
        }
        None
    }

    /// The state that a GET gives, asked at several entry instances until one answers.
    pub fn state(&self, path: &str, key: &str) -> Option<String> {
        (0..usize::from(MEMBERS)).find_map(|member| {
            let (status, body) = self.call(member, "GET", path, key, "")?;
            let state = crate::json::parse(body.as_bytes())?
                .text("state")?
                .to_owned();
            (status == 200).then_some(state)
        })
    }

    pub fn wait(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// Waits until this moment on the world's clock.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.world.now();
        if left > 0.0 {
            self.wait(left);
        }
    }
}

/// The settings of an entry instance, as DEPLOY.md shows them.
fn settings(member: u8, ip: Ipv4Addr, base: u16, services: [SocketAddr; 3]) -> String {
    let [store, cloud, advice] = services;
    let (zone, place) = (member % 4, 1 + member / 4);
    let (last, front, ready, control) = (base + 15, base + 40, base + 43, base + 45);
    format!(
        r#"node_name = "front-z-{zone}-{place}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "z-{zone}"
region = "r"
internal_ports = [{base},{last}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "invocation"
advice = "{advice}"
[listen]
front = "{ip}:{front}"
readiness_addr = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 900
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duties_per_s = 64.0
"#
    )
}

/// Times of the advice service's answers, as the configuration names them.
pub const DECIDE_MS: u64 = 30;
pub const PER_WORKER_MS: u64 = 4;
pub const VALIDITY_MS: u64 = 3_000;

/// The service that knows which runners may run a step; here all of them may. It handles one call at
/// a time for each calling machine, in turn.
fn serve_advice(addr: SocketAddr, world: &Arc<World>) {
    let lanes: Mutex<HashMap<std::net::IpAddr, Arc<Mutex<()>>>> = Mutex::default();
    let listener = TcpListener::bind(addr).expect("a free loopback address");
    let shared = Arc::new((lanes, world.clone()));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            std::thread::spawn(move || {
                let Ok(peer) = stream.peer_addr() else { return };
                let (lanes, world) = &*shared;
                let lane = lanes
                    .lock()
                    .map(|mut l| l.entry(peer.ip()).or_default().clone());
                let Ok(lane) = lane else { return };
                http::serve(stream, &|req| advise(&lane, world, req));
            });
        }
    });
}

fn advise(lane: &Mutex<()>, world: &World, req: &Request) -> Reply {
    let body = crate::json::parse(&req.body);
    let Some(crate::json::Json::List(workers)) = body.as_ref().and_then(|b| b.get("workers"))
    else {
        return Reply::json(400, "{}");
    };
    let step = body
        .as_ref()
        .and_then(|b| b.text("step"))
        .unwrap_or_default();
    let turn = lane.lock();
    let time = DECIDE_MS + PER_WORKER_MS * workers.len() as u64;
    std::thread::sleep(Duration::from_millis(time));
    drop(turn);
    world.note(&format!("advice {step}: {} runners named", workers.len()));
    let good: Vec<_> = workers
        .iter()
        .filter_map(|w| match w {
            crate::json::Json::Text(id) => Some(format!("[{},\"ticket\"]", crate::json::quote(id))),
            _ => None,
        })
        .collect();
    Reply::json(
        200,
        format!(
            "{{\"good\":[{}],\"validity_ms\":{VALIDITY_MS}}}",
            good.join(",")
        ),
    )
}

/// Prepares the folder for settings and logs.
pub fn prepare(folder: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)
}
