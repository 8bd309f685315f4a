//! A job of which one step waits for a full runner of its kind doesn't get its other step back after
//! two crashes of runners.

use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;

const KEY: &str = "key-resort";
const FILLING: &str = "5c0e7a21d9400021";
const JOB: &str = "5c0e7a21d9400022";
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
    let accept = |fleet: &Fleet, job: &str, body: &str| {
        let answer = fleet.submit(&format!("/quote3/{job}"), KEY, body);
        match answer.status {
            200 => Ok(()),
            _ => Err(format!("{job} isn't accepted: {} {}", answer.status, answer.body)),
        }
    };
    // The rack r1-1 (its label) is full.
    accept(
        &fleet,
        FILLING,
        r#"{"task_spec":"0:lasts","steps":[{"count":4,"cpu":15200,"mem_mb":256,"estimated_ms":900,"requires":"r1-1","long_running":true,"may_miss":1}]}"#,
    )?;
    if !fleet.wait(Duration::from_secs(8), |f| f.running(FILLING).len() == 4) {
        return Err("the rack isn't filled".into());
    }
    accept(
        &fleet,
        JOB,
        r#"{"task_spec":"0:ms=1300;1:ms=4000","steps":[{"count":1,"cpu":1900,"mem_mb":256,"estimated_ms":1300,"requires":"r1-1"},{"count":2,"cpu":1900,"mem_mb":256,"estimated_ms":4000}]}"#,
    )?;
    for _ in 0..if trouble { 1 } else { 0 } {
        if !fleet.wait(Duration::from_secs(8), |f| !f.running(JOB).is_empty()) {
            return Err("the job doesn't run".into());
        }
        std::thread::sleep(Duration::from_millis(600));
        let (at, ..) = fleet.running(JOB).first().cloned().ok_or("the job doesn't run")?;
        let runner = fleet.runners[at].clone();
        runner.crash();
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            runner.restart();
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    // The end of the traffic; `finish_s` later, and three seconds more.
    std::thread::sleep(Duration::from_secs(14));
    let mut ran = false;
    let since = record.ms();
    fleet.wait(Duration::from_secs(3), |f| {
        ran |= !f.running(JOB).is_empty();
        false
    });
    let state = fleet.state(&format!("/quote3/{JOB}"), KEY).state.unwrap_or_default();
    let done = fleet
        .events()
        .iter()
        .filter(|e| {
            matches!(&e.seen, crate::runner::Seen::End { task, how: "done", .. } if task.starts_with(JOB))
        })
        .count();
    let idle = fleet.runners.iter().filter(|r| r.is_up() && r.running().is_empty()).count();
    let text = format!(
        "from {since} ms on, 14 s after the end of the traffic, a task of the job ran: {ran}; {done} of its 3 tasks are done; it is {state:?}; {idle} runners are idle"
    );
    // The two tasks of its second step could run anywhere.
    Ok(if !ran && done < 2 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
