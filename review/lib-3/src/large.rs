//! One large job stops the whole system: the record of its progress grows over the largest record
//! of the store, and nothing can be written any more.

use std::time::Duration;

use crate::Verdict;
use crate::crowded::CONFIG;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;
use crate::runner::{Seen, started};
use crate::store::RECORD_BYTES;

const KEY: &str = "key-resort";
const LARGE: &str = "5c0e7a21d9400008";

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
    // Without the trouble it has a tenth of the tasks.
    let count = if trouble { 10_000 } else { 1_000 };
    let long = count - 100;
    let body = format!(
        r#"{{"task_spec":"0:ms=55000,saves=2000;1:ms=9000,saves=2000","steps":[{{"count":{long},"cpu":6,"mem_mb":4,"estimated_ms":55000,"checkpointing":true}},{{"count":100,"cpu":6,"mem_mb":4,"estimated_ms":9000,"checkpointing":true}}]}}"#
    );
    let answer = fleet.submit(&format!("/quote3/{LARGE}"), KEY, &body);
    if answer.status != 200 {
        let text = format!("the large job isn't accepted: {} {}", answer.status, answer.body);
        return if trouble { Ok(Verdict::Held(text)) } else { Err(text) };
    }
    fleet.wait(Duration::from_secs(45), |f| {
        std::thread::sleep(Duration::from_millis(200));
        f.running(LARGE).len() == count
    });
    record.line(&format!("{} tasks of the large job run", fleet.running(LARGE).len()));
    std::thread::sleep(Duration::from_secs(8));
    // Small jobs of others.
    let mut small = Vec::new();
    let mut refused = 0;
    for n in 0..12_u64 {
        let path = format!("/quote3/66{n:014x}");
        let body = r#"{"task_spec":"0:ms=300","steps":[{"count":1,"cpu":10,"mem_mb":4,"estimated_ms":300}]}"#;
        let answer = fleet.submit(&path, KEY, body);
        if answer.status == 200 {
            small.push(path);
        } else {
            refused += 1;
        }
        std::thread::sleep(Duration::from_millis(300));
        for text in fleet.store.take_refused().iter().take(3) {
            record.line(&format!("store: {text}"));
        }
    }
    record.line("end of the traffic");
    // `finish_s` later, and three seconds more; the store was sound all the while.
    std::thread::sleep(Duration::from_secs(14));
    let before = started(&fleet.events());
    std::thread::sleep(Duration::from_secs(3));
    let events = fleet.events();
    let after = started(&events);
    let stuck = small.iter().filter(|p| {
        let id = &p[8..];
        !before.contains(id) && !after.contains(id)
    });
    let stuck = stuck.count();
    let count = |is: fn(&Seen) -> bool| events.iter().filter(|e| is(&e.seen)).count();
    let listed = count(|s| matches!(s, Seen::End { .. }));
    let noted = count(|s| matches!(s, Seen::Noted { .. }));
    let refusals = fleet.store.take_refused().len();
    let mut states = Vec::new();
    for path in &small {
        let answer = fleet.state(path, KEY);
        states.push(answer.state.unwrap_or(answer.status.to_string()));
    }
    let text = format!(
        "{} small jobs accepted, {stuck} of them have run nothing 17 s after the end of the traffic, {refused} were refused with 503; states {}; ends listed {listed}, taken note of {noted}; appends refused in these 17 s for a record over {RECORD_BYTES} bytes: {refusals}",
        small.len(),
        states.join(" ")
    );
    // LOST: a job has nothing running though its turn has come. Acks: over a fifth of the ends that
    // runners list aren't taken note of.
    Ok(if stuck > 0 || noted * 5 < listed * 4 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
