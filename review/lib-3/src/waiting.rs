//! Jobs of which nothing has run aren't counted as waiting, once a runner has rejected their starts.

use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::json::Json;
use crate::record::Record;
use crate::runner::started;

const KEY: &str = "key-resort";
const FILLING: &str = "5c0e7a21d9400031";
/// `visible_ms` + 2 s.
const COUNTED_AFTER: Duration = Duration::from_secs(5);
const JOBS: u64 = 8;

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
    // More is asked than the pool holds: seven of the eight runners are busy, without the trouble all.
    let count = if trouble { 7 } else { 8 };
    let body = format!(
        r#"{{"task_spec":"0:ms=30000","steps":[{{"count":{count},"cpu":16000,"mem_mb":256,"estimated_ms":30000}}]}}"#
    );
    let answer = fleet.submit(&format!("/quote3/{FILLING}"), KEY, &body);
    if answer.status != 200 || !fleet.wait(Duration::from_secs(8), |f| f.running(FILLING).len() == count)
    {
        return Err("the pool isn't filled".into());
    }
    if trouble {
        let free = fleet.runners.iter().find(|r| r.running().is_empty()).ok_or("none is free")?;
        free.set_sheds(true);
    }
    let mut paths = Vec::new();
    for n in 0..JOBS {
        let path = format!("/quote3/88{n:014x}");
        let body = r#"{"task_spec":"0:ms=640","steps":[{"count":1,"cpu":1900,"mem_mb":256,"estimated_ms":640}]}"#;
        if fleet.submit(&path, KEY, body).status == 200 {
            paths.push(path);
        }
    }
    std::thread::sleep(COUNTED_AFTER + Duration::from_millis(500));
    let mut counts = Vec::new();
    for n in 0..fleet.members.len() {
        let answer = fleet.call(n, "GET", "/quote3/", KEY, "");
        let waiting = Json::parse(answer.body.as_bytes()).and_then(|j| j.num("waiting"));
        counts.push(waiting.ok_or(format!("no count: {} {}", answer.status, answer.body))?);
    }
    let begun = started(&fleet.events());
    let not_begun = paths.iter().filter(|p| !begun.contains(&p[8..])).count() as u64;
    for runner in fleet.runners.iter() {
        runner.set_sheds(false);
    }
    let text = format!(
        "{} jobs were accepted over 5 s ago, {not_begun} of them haven't begun; the members give as waiting {counts:?}",
        paths.len()
    );
    if not_begun < 4 {
        return Err(text);
    }
    let is_wrong = counts.iter().any(|count| count * 2 < not_begun);
    Ok(if is_wrong { Verdict::Broken(text) } else { Verdict::Held(text) })
}
