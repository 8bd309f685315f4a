//! A job of which no task has failed is shown as `failed` after three crashes of runners.
//!
//! One runner of eight crashes at a time, each time the one that has just begun the job's tasks, and
//! starts again 4.5 s later. The tasks themselves are sound.

use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;
use crate::runner::Seen;

const KEY: &str = "key-resort";
const JOB: &str = "5c0e7a21d9400007";
const CRASHES: usize = 3;
/// How long a runner that has crashed stays away.
const AWAY: Duration = Duration::from_millis(4_500);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict> {
    let mut fleet = Fleet::start(
        record,
        Layout {
            members: 3,
            runners: 8,
            cpu: 16_000,
            mem_mb: 65_536,
            service: "pricing",
            config: CONFIG.replace('\n', ""),
            policy: None,
        },
    )?;
    fleet.wait_ready(Duration::from_secs(15))?;
    std::thread::sleep(Duration::from_secs(3));
    let path = format!("/quote3/{JOB}");
    let body = r#"{"task_spec":"0:ms=1300","steps":[{"count":8,"cpu":1900,"mem_mb":256,"estimated_ms":1300}]}"#;
    let answer = fleet.submit(&path, KEY, body);
    if answer.status != 200 {
        return Err(format!("the job isn't accepted: {} {}", answer.status, answer.body));
    }
    let crashes = if trouble { CRASHES } else { 0 };
    for _ in 0..crashes {
        if !fleet.wait(Duration::from_secs(12), |f| !f.running(JOB).is_empty()) {
            break;
        }
        std::thread::sleep(Duration::from_millis(400));
        let Some((at, ..)) = fleet.running(JOB).first().cloned() else {
            break;
        };
        let runner = fleet.runners[at].clone();
        runner.crash();
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            runner.restart();
        });
        std::thread::sleep(Duration::from_millis(200));
    }
    let mut state = String::new();
    fleet.wait(Duration::from_secs(40), |f| {
        std::thread::sleep(Duration::from_millis(500));
        state = f.state(&path, KEY).state.unwrap_or_default();
        matches!(state.as_str(), "completed" | "failed" | "cancelled")
    });
    let events = fleet.events();
    let count = |how: &str| {
        let is = |seen: &Seen| matches!(seen, Seen::End { how: h, .. } if *h == how);
        events.iter().filter(|e| is(&e.seen)).count()
    };
    let crashed = events.iter().filter(|e| matches!(e.seen, Seen::Crash)).count();
    let text = format!(
        "the job is shown as {state:?} after {crashed} crashes of runners; runs that ended done: {}, failed: {}",
        count("done"),
        count("failed"),
    );
    Ok(match state.as_str() {
        "completed" => Verdict::Held(text),
        "failed" if count("failed") == 0 => Verdict::Broken(text),
        _ => return Err(text),
    })
}
