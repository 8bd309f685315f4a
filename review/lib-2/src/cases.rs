//! The cases. Each returns whether the rule was broken, or `None` if it couldn't run.

use std::time::Duration;

use crate::fleet::{DECIDE_MS, Fleet, HOST, PER_WORKER_MS, Paths, VALIDITY_MS};

const SERVICE: &str = "kiosk";
const KEY: &str = "key-one";
const OTHER_KEY: &str = "key-two";
/// `finish_s` of the small deployments.
const FINISH_S: f64 = 14.0;

/// A route of the service.
#[derive(Clone, Copy)]
struct Route {
    name: &'static str,
    attempts: u32,
    is_advised: bool,
}

impl Route {
    fn new(name: &'static str, attempts: u32) -> Route {
        Route {
            name,
            attempts,
            is_advised: false,
        }
    }
}

/// A configuration with these routes and two tenants without upper bounds.
fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|Route { name, attempts, is_advised }| {
            let advice = format!(
                ",\"advice\":{{\"decide_ms\":{DECIDE_MS},\"per_worker_ms\":{PER_WORKER_MS},\"validity_ms\":{VALIDITY_MS}}}"
            );
            let advice = if *is_advised { advice.as_str() } else { "" };
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"service\":\"{SERVICE}\",\"priority\":0,\"max_attempts\":{attempts},\
                 \"stretch\":1.6,\"slo_ms\":600{advice}}}"
            )
        })
        .collect();
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"weight\":5,\
             \"upper_bound\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"admission_control\":false}}],\
         \"tenants\":[{},{}],\"limits\":{{}}}}",
        routes.join(","),
        tenant("one", KEY),
        tenant("two", OTHER_KEY)
    )
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}

/// The start of a task is left unanswered and carried out late, by a runner that has crashed and
/// started again under its id. TWICE: two runs of the task at the same time, on runners that are up.
pub fn late_start_after_restart(paths: &Paths, trouble: bool) -> Option<bool> {
    /// On its way for 4 s; orders may be carried out 2 to 12 s late.
    const LATE: Duration = Duration::from_millis(4_000);
    /// How long the runner is down.
    const DOWN_S: f64 = 3.5;
    let fleet = Fleet::start(
        paths,
        SERVICE,
        &["a"; 8],
        &config(10, &[Route::new("q", 4)]),
    )?;
    let job = id(0xaaaa);
    let task = format!("{job}.0.0.0");
    if trouble {
        fleet.late.set(&task, LATE);
    }
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        // Ordinary traffic, so that the late order is one of about eighty.
        scope.spawn(|| {
            for number in 0..80 {
                let body = "{\"task_spec\":\"ms=640\",\"steps\":[\
                     {\"count\":1,\"cpu\":880,\"mem_mb\":2500,\"estimated_ms\":640}]}";
                fleet.submit(number as usize, &format!("/q/{}", id(number)), KEY, body);
                fleet.wait(0.2);
                if is_over.load(std::sync::atomic::Ordering::SeqCst) {
                    return;
                }
            }
        });
        let end = || is_over.store(true, std::sync::atomic::Ordering::SeqCst);
        fleet.wait(2.0);
        let body = "{\"task_spec\":\"ms=6000\",\"steps\":[\
             {\"count\":1,\"cpu\":1900,\"mem_mb\":2500,\"estimated_ms\":6000}]}";
        if fleet.submit(1, &format!("/q/{job}"), KEY, body) != Some(true) {
            end();
            return None;
        }
        if trouble {
            let until = fleet.world.now() + 2.0;
            let chosen = loop {
                let chosen = fleet.late.runner();
                let found = chosen.and_then(|id| fleet.runners.iter().find(|r| r.id == id));
                if found.is_some() || fleet.world.now() > until {
                    break found;
                }
                fleet.wait(0.01);
            };
            let Some(runner) = chosen else {
                end();
                return None;
            };
            runner.crash();
            fleet.wait(DOWN_S);
            // Its entry reaches the store half a heartbeat interval later.
            runner.start_again("a", Duration::from_millis(750));
        }
        fleet.wait(12.0);
        end();
        let runs = fleet.world.runs_of(&job);
        let mut is_twice = false;
        for (at, first) in runs.iter().enumerate() {
            for second in &runs[at + 1..] {
                // A run that was lost with its runner ended with it.
                let end = first.ended.map_or(f64::INFINITY, |(end, _)| end);
                if second.started < end && first.runner != second.runner {
                    is_twice = true;
                    fleet.world.note(&format!(
                        "TWICE  {task}: run {} on {} from {:.3} to {end:.3}, run {} on {} from {:.3}",
                        first.number, first.runner, first.started, second.number, second.runner, second.started
                    ));
                }
            }
        }
        (!runs.is_empty()).then_some(is_twice)
    })
}

/// A route is removed and added again while a job's first task fails. LOST: the job is shown as
/// `failed` with fewer failed runs than `max_attempts`.
pub fn removed_route(paths: &Paths, trouble: bool) -> Option<bool> {
    const ATTEMPTS: u32 = 4;
    let routes = || vec![Route::new("q", ATTEMPTS), Route::new("other", 4)];
    let fleet = Fleet::start(paths, SERVICE, &["a"; 8], &config(10, &routes()))?;
    let job = id(1);
    // Ends `failed` in its first three runs and `done` in the fourth.
    let body = "{\"task_spec\":\"ms=1300 fail=3\",\"steps\":[\
         {\"count\":1,\"cpu\":1900,\"mem_mb\":2500,\"estimated_ms\":1300}]}";
    if fleet.submit(0, &format!("/q/{job}"), KEY, body) != Some(true) {
        return None;
    }
    let accepted = fleet.world.now();
    if trouble {
        fleet.wait_until(accepted + 0.5);
        fleet.configure(&config(13, &routes()[1..]), "version 13 removes route q");
        fleet.wait_until(accepted + 7.5);
        fleet.configure(&config(17, &routes()), "version 17 adds route q again");
    }
    fleet.wait_until(accepted + 12.0);
    let state = fleet.state(&format!("/q/{job}"), KEY);
    let failed = fleet
        .world
        .runs_of(&job)
        .iter()
        .filter(|r| matches!(r.ended, Some((_, "failed"))))
        .count();
    fleet.world.note(&format!(
        "job is shown as {state:?} after {failed} failed runs; max_attempts is {ATTEMPTS}"
    ));
    let is_lost = state.as_deref() == Some("failed") && failed < ATTEMPTS as usize;
    if is_lost {
        fleet
            .world
            .note("LOST   an accepted job is shown as failed without cause");
    }
    state.map(|_| is_lost)
}

/// Accepted jobs that aren't done and of which nothing has run for 3 s.
fn stalled(fleet: &Fleet, jobs: &[String]) -> Vec<String> {
    let mut stalled = Vec::new();
    for job in jobs {
        let state = fleet.state(&format!("/q/{job}"), KEY);
        if state.as_deref() == Some("completed") {
            continue;
        }
        let now = fleet.world.now();
        let runs = fleet.world.runs_of(job);
        let last = runs
            .iter()
            .map(|r| r.ended.map_or(now, |(at, _)| at))
            .fold(0.0, f64::max);
        if now - last > 3.0 {
            stalled.push(format!(
                "{job} is shown as {state:?}, {} runs so far",
                runs.len()
            ));
        }
    }
    stalled
}

/// A job that can never be done waits while others have become late. LOST: these never start, though
/// all runners are idle.
pub fn late_behind_hopeless(paths: &Paths, trouble: bool) -> Option<bool> {
    let fleet = Fleet::start(
        paths,
        SERVICE,
        &["a"; 8],
        &config(10, &[Route::new("q", 4)]),
    )?;
    if trouble {
        // No runner has 32 cores.
        let body = "{\"task_spec\":\"ms=3300\",\"steps\":[\
             {\"count\":1,\"cpu\":32000,\"mem_mb\":2500,\"estimated_ms\":3300}]}";
        let job = id(0xffff);
        if fleet.submit(1, &format!("/q/{job}"), OTHER_KEY, body) != Some(true) {
            return None;
        }
    }
    fleet.wait(16.0);
    // A burst: more than the pool holds for some seconds.
    let mut accepted = Vec::new();
    for number in 0..24 {
        let body = "{\"task_spec\":\"ms=3300\",\"steps\":[\
             {\"count\":24,\"cpu\":2700,\"mem_mb\":2500,\"estimated_ms\":3300}]}";
        let job = id(number);
        if fleet.submit(number as usize, &format!("/q/{job}"), KEY, body) == Some(true) {
            accepted.push(job);
        }
    }
    fleet.world.note(&format!(
        "end of the traffic: {} jobs accepted",
        accepted.len()
    ));
    // The work takes 24 x 24 tasks / 40 places x 3.3 s = 48 s.
    fleet.wait(50.0 + FINISH_S);
    let lost = stalled(&fleet, &accepted);
    let idle = fleet
        .runners
        .iter()
        .filter(|r| r.is_up() && r.load() == 0)
        .count();
    fleet.world.note(&format!(
        "{idle} of {} runners are up and idle",
        fleet.runners.len()
    ));
    for line in &lost {
        fleet.world.note(&format!("LOST   {line}"));
    }
    Some(!lost.is_empty() && idle * 2 > fleet.runners.len())
}

/// Jobs of a queue with advice come at 2.6 times their rate for 4 s. LOST: afterwards jobs don't
/// start any more, though all runners are idle.
pub fn advice_after_burst(paths: &Paths, trouble: bool) -> Option<bool> {
    const TRAFFIC_S: f64 = 60.0;
    const INTERVAL_S: f64 = 0.125;
    const BURST: f64 = 2.6;
    let route = Route {
        is_advised: true,
        ..Route::new("q", 4)
    };
    let fleet = Fleet::start(paths, SERVICE, &["a"; 8], &config(10, &[route]))?;
    let began = fleet.world.now();
    let mut number = 0;
    let mut due = began;
    let accepted = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        while due < began + TRAFFIC_S {
            let since = due - began;
            let is_burst = trouble && (10.0..14.0).contains(&since);
            due += if is_burst {
                INTERVAL_S / BURST
            } else {
                INTERVAL_S
            };
            number += 1;
            let (fleet, accepted) = (&fleet, &accepted);
            scope.spawn(move || {
                let body = "{\"task_spec\":\"ms=640\",\"steps\":[\
                     {\"count\":1,\"cpu\":880,\"mem_mb\":2500,\"estimated_ms\":640}]}";
                let job = id(number);
                if fleet.submit(number as usize, &format!("/q/{job}"), KEY, body) == Some(true) {
                    let _ = accepted.lock().map(|mut a| a.push(job));
                }
            });
            fleet.wait_until(due);
        }
    });
    let accepted = accepted.into_inner().unwrap_or_default();
    fleet.world.note(&format!(
        "end of the traffic: {} of {number} jobs accepted",
        accepted.len()
    ));
    fleet.wait(FINISH_S);
    let lost = stalled(&fleet, &accepted);
    let idle = fleet
        .runners
        .iter()
        .filter(|r| r.is_up() && r.load() * 2 <= 18)
        .count();
    fleet.world.note(&format!(
        "{idle} of {} runners are up and at most half full",
        fleet.runners.len()
    ));
    fleet
        .world
        .note(&format!("{} jobs are stalled", lost.len()));
    for line in &lost {
        fleet.world.note(&format!("LOST   {line}"));
    }
    Some(!lost.is_empty() && idle * 2 > fleet.runners.len())
}

/// Clients leave before their deadline and cancel, while the leader stands still. UNASKED: a task
/// starts later than `cancel_ms` after the cancelling of its job was acknowledged.
pub fn given_up_then_cancelled(paths: &Paths, trouble: bool) -> Option<bool> {
    const CANCEL_S: f64 = 3.0;
    const FREEZE_S: f64 = 3.5;
    const LEAVES_AFTER: Duration = Duration::from_millis(1_000);
    let fleet = Fleet::start(
        paths,
        SERVICE,
        &["a"; 8],
        &config(10, &[Route::new("q", 4)]),
    )?;
    let leader = fleet.leader()?;
    let others: Vec<usize> = (0..8).filter(|m| *m != leader).collect();
    let frozen_at = fleet.world.now();
    if trouble {
        fleet.signal(leader, "STOP");
    }
    let jobs: Vec<_> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..12_u64)
            .map(|number| {
                let (fleet, others) = (&fleet, &others);
                scope.spawn(move || {
                    let job = id(number);
                    let step = |after: &str| {
                        format!("{{\"count\":2,\"cpu\":1900,\"mem_mb\":2500,\"estimated_ms\":1300{after}}}")
                    };
                    let body = format!(
                        "{{\"task_spec\":\"ms=1300\",\"steps\":[{},{},{},{}]}}",
                        step(""), step(",\"after\":[0]"), step(",\"after\":[1]"), step(",\"after\":[2]")
                    );
                    fleet.wait_until(frozen_at + 0.3 + 0.03 * number as f64);
                    let path = format!("/q/{job}");
                    let answer = fleet.call_within(others[0], "POST", &path, KEY, &body, LEAVES_AFTER);
                    if answer.is_some() && trouble {
                        return None;
                    }
                    // It has left; the job isn't wanted any more.
                    for attempt in 0..8 {
                        let status = fleet.call(others[1 + attempt % 2], "DELETE", &path, KEY, "");
                        if let Some((200..=299 | 410, _)) = status {
                            return Some((job, fleet.world.now()));
                        }
                        fleet.wait(0.3);
                    }
                    None
                })
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|c| c.join().ok().flatten())
            .collect()
    });
    if trouble {
        fleet.wait_until(frozen_at + FREEZE_S);
        fleet.signal(leader, "CONT");
    }
    fleet.wait(8.0);
    let mut is_broken = false;
    for (job, acked) in &jobs {
        for run in fleet.world.runs_of(job) {
            if run.started > acked + CANCEL_S {
                is_broken = true;
                fleet.world.note(&format!(
                    "UNASKED {} run {} starts at {:.3}, {:.1} s after its job's cancelling was acknowledged",
                    run.task, run.number, run.started, run.started - acked
                ));
            }
        }
    }
    (!jobs.is_empty()).then_some(is_broken)
}
