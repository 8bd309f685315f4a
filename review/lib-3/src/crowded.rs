//! A task that the policy allows on a full runner alone keeps all others of its service waiting.
//!
//! Settlements last. The policy allows each of them on two of the eight runners. The first settlement
//! needs all cores of one; four small ones run on the other, which is lost for good. From then on these
//! have to wait; the rest of the service has six idle runners.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Layout, Policy, Result};
use crate::record::Record;
use crate::runner::started;

const KEY: &str = "key-resort";
const FIRST: &str = "/settle7/5c0e7a21d9400001";
/// The others, with their cores and memory: each less than a task of a quote needs.
const OTHERS: [(&str, u64, u64); 4] = [
    ("/settle7/5c0e7a21d9400002", 800, 100),
    ("/settle7/5c0e7a21d9400003", 700, 150),
    ("/settle7/5c0e7a21d9400004", 600, 200),
    ("/settle7/5c0e7a21d9400005", 500, 250),
];

pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-quote","host":"pule25.example","path_prefix":"/quote3/","kind":"unsafe","timeout_ms":3000,"slo_ms":600,"priority":0,"service":"pricing","max_attempts":3,"stretch":1.6,"public":false},
{"name":"r-settle","host":"pule25.example","path_prefix":"/settle7/","kind":"unsafe","timeout_ms":3000,"slo_ms":2500,"priority":0,"service":"pricing","max_attempts":3,"stretch":2.2,"public":false,"advice":{"decide_ms":100,"per_worker_ms":1,"validity_ms":3000}}],
"services":[{"name":"pricing","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"spare":false}],
"tenants":[{"name":"resort","api_keys":["key-resort"],"weight":10,"upper_bound":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{}}"#;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict> {
    let policy: Policy = Arc::new(|_, asked| {
        let mut good = asked.to_vec();
        good.sort();
        good.retain(|id| id == "i-7f3a9000" || id == "i-7f3a9111");
        good
    });
    let mut fleet = Fleet::start(
        record,
        Layout {
            members: 3,
            runners: 8,
            cpu: 16_000,
            mem_mb: 65_536,
            service: "pricing",
            config: CONFIG.replace('\n', ""),
            policy: Some((policy, 3_000)),
        },
    )?;
    fleet.wait_ready(Duration::from_secs(15))?;
    std::thread::sleep(Duration::from_secs(3));
    // The first one needs all of a runner.
    let body = |cpu: u64, mem_mb: u64| {
        format!(
            r#"{{"task_spec":"0:lasts","steps":[{{"count":1,"cpu":{cpu},"mem_mb":{mem_mb},"estimated_ms":900,"long_running":true,"may_miss":1}}]}}"#
        )
    };
    accept(&fleet, FIRST, &body(16_000, 256))?;
    let first = &FIRST[9..];
    if !fleet.wait(Duration::from_secs(8), |f| f.running(first).len() == 1) {
        return Err("the first settlement doesn't run".into());
    }
    for (job, cpu, mem_mb) in OTHERS {
        accept(&fleet, job, &body(cpu, mem_mb))?;
        std::thread::sleep(Duration::from_millis(400));
    }
    let others = |f: &Fleet| -> usize { OTHERS.iter().map(|j| f.running(&j.0[9..]).len()).sum() };
    if !fleet.wait(Duration::from_secs(8), |f| others(f) == OTHERS.len()) {
        return Err("the other settlements don't run".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        let at = fleet.running(&OTHERS[0].0[9..])[0].0;
        fleet.runners[at].crash();
        std::thread::sleep(Duration::from_secs(8));
    }
    // Quick customer work: one step of six tasks, as the sheet has it.
    let mut quotes = Vec::new();
    for n in 0..12_u64 {
        let path = format!("/quote3/77{n:014x}");
        let body = r#"{"task_spec":"0:ms=640","steps":[{"count":6,"cpu":880,"mem_mb":256,"estimated_ms":640}]}"#;
        if fleet.submit(&path, KEY, body).status == 200 {
            quotes.push(path);
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    record.line("end of the traffic");
    // `finish_s` later, and three seconds more.
    std::thread::sleep(Duration::from_secs(14));
    let before = started(&fleet.events());
    std::thread::sleep(Duration::from_secs(3));
    let after = started(&fleet.events());
    let (mut idle, mut states) = (0, Vec::new());
    for path in &quotes {
        let answer = fleet.state(path, KEY);
        states.push(answer.state.unwrap_or(answer.status.to_string()));
        let id = &path[8..];
        idle += usize::from(!before.contains(id) && !after.contains(id));
    }
    let runs: usize = fleet.runners.iter().map(|r| r.running().len()).sum();
    let up = fleet.runners.iter().filter(|r| r.is_up()).count();
    let text = format!(
        "{idle} of {} accepted quotes have run nothing 17 s after the end of the traffic; {up} runners are up, {runs} tasks run; states: {}",
        quotes.len(),
        states.join(" ")
    );
    if quotes.is_empty() {
        return Err("no quote was accepted".into());
    }
    Ok(if idle > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn accept(fleet: &Fleet, path: &str, body: &str) -> Result<()> {
    match fleet.submit(path, KEY, body) {
        answer if answer.status == 200 => Ok(()),
        answer => Err(format!("{path} isn't accepted: {} {}", answer.status, answer.body)),
    }
}
