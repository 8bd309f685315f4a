//! A step that should rather run on one rack (`rack_local`) and no longer fits on the pool at once
//! never begins.

use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;
use crate::runner::{Seen, started};

const KEY: &str = "key-resort";
const JOB: &str = "5c0e7a21d9400041";

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
    if trouble {
        fleet.runners[3].crash();
        std::thread::sleep(Duration::from_secs(8));
    }
    // 30 tasks of four cores: the pool has room for 32 of them, without one runner for 28.
    let path = format!("/quote3/{JOB}");
    let body = r#"{"task_spec":"0:ms=640","steps":[{"count":30,"cpu":4000,"mem_mb":256,"estimated_ms":640,"rack_local":true}]}"#;
    let answer = fleet.submit(&path, KEY, body);
    if answer.status != 200 {
        return Err(format!("the job isn't accepted: {} {}", answer.status, answer.body));
    }
    record.line("end of the traffic");
    // `finish_s` later, and three seconds more.
    std::thread::sleep(Duration::from_secs(14));
    let before = started(&fleet.events()).contains(JOB);
    std::thread::sleep(Duration::from_secs(3));
    let after = started(&fleet.events()).contains(JOB);
    let state = fleet.state(&path, KEY).state.unwrap_or_default();
    let events = fleet.events();
    let is_done = |s: &Seen| matches!(s, Seen::End { how: "done", .. });
    let done = events.iter().filter(|e| is_done(&e.seen)).count();
    let up = fleet.runners.iter().filter(|r| r.is_up()).count();
    let text = format!(
        "17 s after the end of the traffic the job is {state:?}, {done} of 30 tasks are done, and {up} runners are up and idle"
    );
    Ok(if !before && !after { Verdict::Broken(text) } else { Verdict::Held(text) })
}
