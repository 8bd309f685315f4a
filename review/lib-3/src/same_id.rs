//! Two tenants give their jobs the same id: the second one is told that its job was accepted, and
//! nothing of it runs.

use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Layout, Result};
use crate::record::Record;
use crate::runner::Seen;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-quote","host":"pule25.example","path_prefix":"/quote3/","kind":"unsafe","timeout_ms":3000,"slo_ms":600,"priority":0,"service":"pricing","max_attempts":3,"stretch":1.6,"public":false},
{"name":"r-book","host":"pule25.example","path_prefix":"/book9/","kind":"unsafe","timeout_ms":3000,"slo_ms":600,"priority":0,"service":"pricing","max_attempts":3,"stretch":1.6,"public":false}],
"services":[{"name":"pricing","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"spare":false}],
"tenants":[{"name":"resort","api_keys":["key-resort"],"weight":10,"upper_bound":{"cpu":0,"mem_mb":0,"gpu":0}},{"name":"hotel","api_keys":["key-hotel"],"weight":10,"upper_bound":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{}}"#;

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
    let first = "/quote3/0000000000000001".to_owned();
    let second = if trouble { "/book9/0000000000000001" } else { "/book9/0000000000000002" };
    let body = |what: &str| {
        format!(
            r#"{{"task_spec":"0:ms=640;{what}","steps":[{{"count":6,"cpu":880,"mem_mb":256,"estimated_ms":640}}]}}"#
        )
    };
    for (path, key, what) in
        [(first.as_str(), "key-resort", "quote"), (second, "key-hotel", "booking")]
    {
        let answer = fleet.submit(path, key, &body(what));
        if answer.status != 200 {
            let text = format!("{path} of {key} isn't accepted: {}", answer.status);
            return Ok(Verdict::Held(text));
        }
    }
    // `visible_ms` and more.
    std::thread::sleep(Duration::from_secs(6));
    let own = fleet.state(&first, "key-resort");
    let other = fleet.state(second, "key-hotel");
    let events = fleet.events();
    let runs = events.iter().filter(|e| matches!(e.seen, Seen::Start { .. })).count();
    let text = format!(
        "6 s after both were accepted: the first is {} {:?}, the second {} {:?}; {runs} of 12 tasks have run",
        own.status, own.state, other.status, other.state
    );
    Ok(match other.status {
        410 => Verdict::Broken(text),
        200 if own.status == 200 => Verdict::Held(text),
        _ => return Err(text),
    })
}
