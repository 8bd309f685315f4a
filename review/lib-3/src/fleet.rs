//! A small deployment: members as processes of the deploy file, and the stand-ins around them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{self, Event, Runner, Spec};
use crate::store::Store;

pub type Result<T> = std::result::Result<T, String>;

pub struct Member {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub record: Record,
    pub store: Arc<Store>,
    pub runners: Arc<Vec<Arc<Runner>>>,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub members: Vec<Member>,
    pub folder: PathBuf,
}

/// Tells the policy's answer about a step: ids of runners that may run it, of those asked.
pub type Policy = Arc<dyn Fn(&str, &[String]) -> Vec<String> + Send + Sync>;

pub struct Layout {
    pub members: usize,
    pub runners: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub service: &'static str,
    /// `op/config`, the first version.
    pub config: String,
    pub policy: Option<(Policy, u64)>,
}

fn loopback(third: u8, last: u8) -> IpAddr {
    let second = 64 + (std::process::id() % 128) as u8;
    IpAddr::V4(Ipv4Addr::new(127, second, third, last))
}

/// A port from which `count` ports are free for TCP and UDP at each of the addresses.
fn free_ports(ips: &[IpAddr], count: u16) -> Option<u16> {
    let seed = std::process::id() as u16;
    (0..400).find_map(|n| {
        let first = 12_000 + (seed.wrapping_mul(37).wrapping_add(n * 23) % 18_000);
        let is_free = |ip: &IpAddr, port| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        let all = (first..first + count).all(|port| ips.iter().all(|ip| is_free(ip, port)));
        all.then_some(first)
    })
}

impl Fleet {
    pub fn start(record: &Record, layout: Layout) -> Result<Fleet> {
        let io = |error: std::io::Error| error.to_string();
        let (store, events) = (Store::new(), Arc::new(Mutex::new(Vec::new())));
        let stand_ins = loopback(1, 1);
        let of = store.clone();
        let any = SocketAddr::new(stand_ins, 0);
        let platform = http::serve(any, Arc::new(move |req| of.answer(req))).map_err(io)?;
        store.put("keyed.op", "config", &layout.config);
        let mut runners = Vec::new();
        for n in 0..layout.runners {
            let spec = Spec {
                id: format!("i-{:08x}", 0x7f3a_9000 + n * 0x111),
                machine: format!("m-{:05x}", 0xa100 + n),
                service: layout.service.into(),
                zone: format!("z-{}", ["a", "b", "c", "d"][n % 4]),
                labels: ["a".into(), format!("r1-{}", n / 4)],
                cpu: layout.cpu,
                mem_mb: layout.mem_mb,
            };
            runners.push(Runner::start(spec, stand_ins, &store, record, &events).map_err(io)?);
        }
        let runners = Arc::new(runners);
        let of = runners.clone();
        let cloud = http::serve(
            any,
            Arc::new(move |req| match (req.method.as_str(), req.path.as_str()) {
                ("GET", "/-/machines") => Reply::Json(200, runner::machines(&of)),
                _ => Reply::Json(409, "{\"reason\":\"busy\"}".into()),
            }),
        )
        .map_err(io)?;
        let advice = match layout.policy {
            Some((policy, validity_ms)) => Some(start_policy(any, policy, validity_ms, record)?),
            None => None,
        };
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(io)?;
        let ips: Vec<IpAddr> = (0..layout.members).map(|n| loopback(2, n as u8 + 1)).collect();
        let first = free_ports(&ips, 20).ok_or("no free ports")?;
        let mut fleet = Fleet {
            record: record.clone(),
            store,
            runners,
            events,
            members: Vec::new(),
            folder,
        };
        for (n, ip) in ips.iter().enumerate() {
            let zone = format!("z-{}", ["a", "b", "c", "d"][n % 4]);
            let name = format!("front-{zone}-{}", n / 4 + 1);
            let (front, ready) = (SocketAddr::new(*ip, first), SocketAddr::new(*ip, first + 1));
            let (inner, last, control) = (first + 3, first + 18, first + 2);
            let seeds: Vec<String> =
                ips.iter().take(3).map(|ip| format!("\"{ip}:{control}\"")).collect();
            let seeds = seeds.join(",");
            let advice = advice.map_or(String::new(), |a| format!("advice = \"{a}\"\n"));
            let text = format!(
                r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "z"
internal_ports = [{inner},{last}]
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "invocation"
{advice}[zones]
z-a = "z"
z-b = "z"
z-c = "z"
z-d = "z"
[listen]
front = "{front}"
readiness_addr = "{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 6000
stop_grace_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
enforce_fencing = false
lease_ms = 3000
[platform]
address = "{platform}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
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
            );
            let settings = fleet.folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).map_err(io)?;
            let log = fleet.folder.join(format!("{name}.log"));
            fleet.members.push(Member { name, front, ready, settings, log, child: None });
            fleet.run_member(n)?;
        }
        Ok(fleet)
    }

    /// Starts a member's process, with the command of the deploy file.
    pub fn run_member(&mut self, n: usize) -> Result<()> {
        let member = &mut self.members[n];
        let log = std::fs::File::options().create(true).append(true).open(&member.log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("target/release/pomelohitchd")
            .env("POMELOHITCH_CONFIG", &member.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.map_err(|e| format!("target/release/pomelohitchd: {e}"))?;
        crate::deadline::add(child.id());
        member.child = Some(child);
        self.record.line(&format!("{} is started", member.name));
        Ok(())
    }

    pub fn kill_member(&mut self, n: usize) {
        let member = &mut self.members[n];
        if let Some(mut child) = member.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            crate::deadline::remove(child.id());
            self.record.line(&format!("{} is killed", member.name));
        }
    }

    /// Sends a signal to a member's process.
    pub fn signal(&self, n: usize, name: &str) {
        let member = &self.members[n];
        if let Some(child) = &member.child {
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -{name} {}", child.id())])
                .status();
            self.record.line(&format!("{} gets SIG{name}", member.name));
        }
    }

    /// Waits for the end of a process that was told to stop, and starts the member again.
    pub fn restart_member(&mut self, n: usize, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        while self.is_running(n) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill_member(n);
        self.run_member(n)
    }

    pub fn is_running(&mut self, n: usize) -> bool {
        let child = self.members[n].child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Waits until every member that runs says that it is ready.
    pub fn wait_ready(&mut self, within: Duration) -> Result<()> {
        let until = Instant::now() + within;
        for n in 0..self.members.len() {
            while self.is_running(n) {
                let ready = self.members[n].ready;
                let answer =
                    http::call(ready, "GET", "/-/ready", &[("Host", "ready")], "", Duration::from_millis(500));
                if answer.is_ok_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} isn't ready", self.members[n].name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("all members are ready");
        Ok(())
    }

    /// The member that leads, by the store's record of it: its front address stands at an index.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.get("keyed.members", "leader")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        self.members.iter().position(|m| text.contains(&m.name))
    }

    /// A client's call to one member; the answer stands in the record.
    pub fn call(&self, n: usize, method: &str, path: &str, key: &str, body: &str) -> Answer {
        let auth = format!("Bearer {key}");
        let mut headers = vec![("Host", "pule25.example"), ("Deadline-Ms", "3000")];
        if !key.is_empty() {
            headers.push(("Authorization", &auth));
        }
        if !body.is_empty() {
            headers.push(("Content-Type", "application/json"));
        }
        let to = self.members[n].front;
        let timeout = Duration::from_millis(3_000);
        let shown = if body.len() > 300 { &body[..300] } else { body };
        let sent = self.record.ms();
        let answer = http::call(to, method, path, &headers, body, timeout);
        let name = &self.members[n].name;
        let (status, body) = match answer {
            Ok((status, body)) => (status, String::from_utf8_lossy(&body).into_owned()),
            Err(error) => (0, error),
        };
        self.record.line(&format!(
            "client -> {name} at {sent} ms: {method} {path} key={key} {shown} -> {status} {body}"
        ));
        let state = Json::parse(body.as_bytes()).and_then(|j| j.str("state").map(str::to_owned));
        Answer { status, state, body }
    }

    /// Submits a job as clients do: again at the next member after no answer, 429, 503, 502 or 504.
    pub fn submit(&self, path: &str, key: &str, body: &str) -> Answer {
        let mut last = None;
        for attempt in 0..5 {
            let up: Vec<usize> =
                (0..self.members.len()).filter(|&n| self.members[n].child.is_some()).collect();
            let answer = self.call(up[attempt % up.len()], "POST", path, key, body);
            if (200..300).contains(&answer.status) {
                return answer;
            }
            last = Some(answer);
            std::thread::sleep(Duration::from_millis(300));
        }
        last.unwrap()
    }

    /// Reads a job's state at any member, again after no answer.
    pub fn state(&self, path: &str, key: &str) -> Answer {
        let mut last = None;
        for attempt in 0..3 {
            let up: Vec<usize> =
                (0..self.members.len()).filter(|&n| self.members[n].child.is_some()).collect();
            let answer = self.call(up[attempt % up.len()], "GET", path, key, "");
            if answer.status == 200 || answer.status == 410 {
                return answer;
            }
            last = Some(answer);
            std::thread::sleep(Duration::from_millis(200));
        }
        last.unwrap()
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Where tasks whose names begin so run now: index of the runner, task and run.
    pub fn running(&self, prefix: &str) -> Vec<(usize, String, u64)> {
        let mut found = Vec::new();
        for (n, runner) in self.runners.iter().enumerate() {
            for (task, run) in runner.running() {
                if task.starts_with(prefix) {
                    found.push((n, task, run));
                }
            }
        }
        found
    }

    /// Waits until `is` holds; whether it did in time.
    pub fn wait(&self, within: Duration, mut is: impl FnMut(&Fleet) -> bool) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if is(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.members.len() {
            self.kill_member(n);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub struct Answer {
    pub status: u16,
    pub state: Option<String>,
    pub body: String,
}

fn start_policy(
    any: SocketAddr,
    policy: Policy,
    validity_ms: u64,
    record: &Record,
) -> Result<SocketAddr> {
    let (one_at_a_time, record) = (Mutex::new(()), record.clone());
    let handler = move |req: &http::Request| {
        let body = http::body_json(req);
        let step = body.str("step").unwrap_or_default().to_owned();
        let asked: Vec<String> = match body.get("workers") {
            Some(Json::Arr(list)) => list
                .iter()
                .filter_map(|w| match w {
                    Json::Str(id) => Some(id.clone()),
                    _ => None,
                })
                .collect(),
            _ => Vec::new(),
        };
        let _turn = one_at_a_time.lock().unwrap();
        std::thread::sleep(Duration::from_millis(100 + asked.len() as u64));
        let good = policy(&step, &asked);
        record.line(&format!("policy about {step}: {} asked, good {good:?}", asked.len()));
        let rows: Vec<String> =
            good.iter().map(|id| format!("[\"{id}\",\"{}-{step}\"]", &id[2..6])).collect();
        let rows = rows.join(",");
        Reply::Json(200, format!("{{\"good\":[{rows}],\"validity_ms\":{validity_ms}}}"))
    };
    http::serve(any, Arc::new(handler)).map_err(|e| e.to_string())
}
