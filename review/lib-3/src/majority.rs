//! A runner leaves as planned, and the leader is told to stop at that time: what ran there isn't
//! started again for ten seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;
use crate::runner::Seen;

const KEY: &str = "key-resort";
const JOBS: [&str; 3] = ["5c0e7a21d9400011", "5c0e7a21d9400012", "5c0e7a21d9400013"];
/// `drain_ms`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);
/// A task that lasts has to be at work again: from 6 s after its last run, within 3 s.
const LIMIT_MS: u64 = 9_000;

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
    let body = r#"{"task_spec":"0:lasts","steps":[{"count":5,"cpu":1800,"mem_mb":256,"estimated_ms":900,"long_running":true,"may_miss":1}]}"#;
    for job in JOBS {
        let answer = fleet.submit(&format!("/quote3/{job}"), KEY, body);
        if answer.status != 200 {
            return Err(format!("{job} isn't accepted: {} {}", answer.status, answer.body));
        }
    }
    let running = |f: &Fleet| -> usize { JOBS.iter().map(|j| f.running(j).len()).sum() };
    if !fleet.wait(Duration::from_secs(10), |f| running(f) == 15) {
        return Err("not all tasks run".into());
    }
    std::thread::sleep(Duration::from_secs(8));
    // The runner with the most tasks leaves.
    let most = (0..fleet.runners.len()).max_by_key(|&n| fleet.runners[n].running().len());
    let runner = fleet.runners[most.unwrap_or(0)].clone();
    runner.drain();
    std::thread::sleep(DRAIN);
    runner.leave();
    let left_at = record.ms();
    if trouble {
        std::thread::sleep(Duration::from_millis(400));
        let leader = fleet.leader().ok_or("no leader is known")?;
        let other = (0..3).find(|n| *n != leader).unwrap();
        fleet.kill_member(leader);
        fleet.kill_member(other);
    }
    std::thread::sleep(Duration::from_secs(60));
    // For each task, the longest time without a run after its runner had left.
    let mut last_start: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut gaps: Vec<(u64, String)> = Vec::new();
    let events = fleet.events();
    for event in &events {
        match &event.seen {
            Seen::Start { task, .. } => {
                if let Some((at, runner)) = last_start.get(task)
                    && *runner == "gone"
                {
                    gaps.push((event.at - at, task.clone()));
                }
                last_start.insert(task.clone(), (event.at, event.runner.clone()));
            }
            Seen::End { task, .. } => {
                last_start.remove(task);
            }
            Seen::Left => {
                for (at, runner) in last_start.values_mut() {
                    if *runner == event.runner {
                        (*at, *runner) = (event.at, "gone".into());
                    }
                }
            }
            _ => {}
        }
    }
    for (task, (at, runner)) in &last_start {
        if runner == "gone" {
            gaps.push((record.ms() - at, task.clone()));
        }
    }
    gaps.sort();
    let text = format!(
        "{} tasks were on the runner that left at {left_at} ms; times until their next runs, ms: {gaps:?}",
        gaps.len()
    );
    let Some((longest, _)) = gaps.last() else {
        return Err(text);
    };
    Ok(if *longest > LIMIT_MS { Verdict::Broken(text) } else { Verdict::Held(text) })
}
