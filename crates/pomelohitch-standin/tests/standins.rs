//! The stand-ins conform to `docs/PLATFORM.md`, and their faults have the documented effects.

use std::time::{Duration, Instant};

use pomelohitch_core::record::job::Resources;
use pomelohitch_platform::instances::{Action, Effect, Listed, ListedState, Progress};
use pomelohitch_platform::log::Read;
use pomelohitch_platform::workers::{self as tasks, Event, TaskState};
use pomelohitch_platform::{self as platform, Error};
use pomelohitch_standin::runner::{Mode, answer_body};
use pomelohitch_standin::{CallFaults, Instances, Log, Runner, Workers};
use pomelohitch_standin::{instances, log, runner, workers};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Polls until `check` holds; panics after 30 s.
fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(30), "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn read(log: &platform::Log, from: u64) -> platform::Result<Vec<Box<str>>> {
    let read = Read {
        stream: "s",
        from,
        ..Read::default()
    };
    let batch = (log.read)(&read)?;
    Ok(batch
        .records
        .into_iter()
        .map(|stored| stored.data)
        .collect())
}

#[test]
fn a_log_retains_the_newest_records_and_reports_trimmed_ones() {
    let log = Log::start(&log::Options { keep: 2 });
    let client = platform::Log::http(&log.url(), TIMEOUT);
    let appended = (client.append)("s", &["a".into(), "b".into(), "c".into()]).expect("it is up");
    assert_eq!((appended.first, appended.next), (0, 3));
    assert_eq!(
        read(&client, 1).expect("retained"),
        ["b".into(), "c".into()]
    );
    assert!(matches!(
        read(&client, 0),
        Err(Error::Trimmed { first: 1, .. })
    ));
}

/// The log appends the record, and then the connection breaks. The client can't know whether the
/// append took effect, so the error must not say that it had none.
#[test]
fn an_append_with_a_lost_answer_takes_effect_and_its_error_says_unknown() {
    let log = Log::start(&log::Options::default());
    let client = platform::Log::http(&log.url(), TIMEOUT);
    let mut faults = log::Faults::default();
    faults.calls.lose_answers = 1;
    log.set_faults(faults);
    let error = (client.append)("s", &["a".into()]).expect_err("the answer is lost");
    assert_eq!(error.effect(), platform::Effect::Unknown);
    assert_eq!(log.records("s"), ["a".into()]);
    (client.append)("s", &["b".into()]).expect("only one answer was lost");
}

/// A log that is down answers `503` without an effect, and the error says so.
#[test]
fn a_log_that_is_down_appends_nothing() {
    let log = Log::start(&log::Options::default());
    let client = platform::Log::http(&log.url(), TIMEOUT);
    let calls = CallFaults {
        down: true,
        ..CallFaults::default()
    };
    log.set_faults(log::Faults { calls, keep: None });
    let error = (client.append)("s", &["a".into()]).expect_err("it is down");
    assert_eq!(error.effect(), platform::Effect::None);
    assert!(log.records("s").is_empty());
}

fn instance(runner: &Runner) -> instances::Instance {
    let control = runner.control_url();
    let control = control.strip_prefix("http://").expect("an http address");
    instances::Instance {
        listed: Listed {
            id: "i".into(),
            pool: "p".into(),
            zone: "z".into(),
            rack: "r".into(),
            addr: runner.addr(),
            state: ListedState::Live,
        },
        control: Some(control.parse().expect("an address")),
    }
}

fn send(runner: &Runner, id: &str, run: Duration) -> Result<(u16, Vec<u8>), ureq::Error> {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .new_agent();
    let req = agent.post(format!("http://{}/x", runner.addr()));
    let req = req.header("Test-Request", id);
    let mut answer = req
        .header("Test-Run-Ms", run.as_millis().to_string())
        .send("body")?;
    let status = answer.status().as_u16();
    Ok((status, answer.body_mut().read_to_vec()?))
}

#[test]
fn a_drain_is_done_once_the_runner_is_idle_and_a_repeated_op_has_no_second_effect() {
    let runner = Runner::start(&runner::Options::default());
    let instances = Instances::start(&instances::Options {
        instances: vec![instance(&runner)],
        ..instances::Options::default()
    });
    let client = platform::Instances::http(&instances.url(), TIMEOUT);
    let ask = |op, action| {
        (client.apply)(&Effect {
            instance: "i".into(),
            op,
            action,
        })
    };
    std::thread::scope(|scope| {
        scope.spawn(|| send(&runner, "1", Duration::from_millis(300)));
        wait_until("it runs", || runner.ledger().running == 1);
        let progress = ask(1, Action::Drain).expect("it may drain");
        assert_eq!(progress, Progress::Pending);
        wait_until("drained", || {
            ask(1, Action::Drain).ok() == Some(Progress::Done)
        });
    });
    let moved = || ask(2, Action::Move("q".into())).ok() == Some(Progress::Done);
    wait_until("moved", moved);
    assert_eq!(ask(1, Action::Drain).ok(), Some(Progress::Done));
    let now = instances.now("i").expect("it is there");
    assert_eq!((&*now.pool, now.state), ("q", ListedState::Live));
    assert!(ask(3, Action::Reboot).is_err_and(|e| e.is_status(409)));
}

/// Guards against counting a reboot as an interruption because the runner couldn't be asked, and
/// against not counting one that interrupts a request.
#[test]
fn a_reboot_begins_once_it_is_known_whether_it_interrupts_a_request() {
    let runner = Runner::start(&runner::Options::default());
    let instances = Instances::start(&instances::Options {
        instances: vec![instance(&runner)],
        ..instances::Options::default()
    });
    let client = platform::Instances::http(&instances.url(), TIMEOUT);
    let ask = |op, action| {
        (client.apply)(&Effect {
            instance: "i".into(),
            op,
            action,
        })
    };
    assert_eq!(ask(1, Action::Drain).ok(), Some(Progress::Done));
    std::thread::scope(|scope| {
        scope.spawn(|| send(&runner, "1", Duration::from_millis(300)));
        wait_until("it runs", || runner.ledger().running == 1);
        let progress = ask(2, Action::Reboot).expect("it is drained");
        assert_eq!(progress, Progress::Pending);
    });
    assert_eq!(instances.ledger().cut, 1);
    wait_until("rebooted", || {
        ask(2, Action::Reboot).ok() == Some(Progress::Done)
    });
    assert_eq!(ask(3, Action::Drain).ok(), Some(Progress::Done));
    drop(runner);
    wait_until("the runner is gone", || {
        ask(4, Action::Reboot).is_err_and(|e| e.is_status(503))
    });
    assert_eq!(instances.ledger().cut, 1);
    assert_eq!(instances.ledger().effects.len(), 3);
}

const NEED: Resources = Resources {
    cpu_milli: 1000,
    memory_mib: 100,
    accelerators: 0,
};

fn start(op: u64, command: &str) -> tasks::Start {
    tasks::Start {
        op,
        job: format!("job-{op}").into(),
        command: command.into(),
        run: Duration::from_millis(10),
        reserve: NEED,
        lease: Duration::from_millis(200),
    }
}

#[test]
fn workers_report_how_each_task_ends_and_refuse_a_start_after_its_lookup() {
    let workers = Workers::start(&workers::Options {
        workers: vec![tasks::Listed {
            id: "w".into(),
            pool: "p".into(),
            zone: "z".into(),
            rack: "r".into(),
            capacity: Resources {
                cpu_milli: 8000,
                memory_mib: 8000,
                accelerators: 0,
            },
        }],
        ..workers::Options::default()
    });
    let client = platform::Workers::http(&workers.url(), TIMEOUT);
    let commands = ["", "fail", "memory=200", "run=60000"];
    for (op, command) in (1..).zip(commands) {
        (client.start)(&"w".into(), &start(op, command)).expect("it starts");
        (client.start)(&"w".into(), &start(op, command)).expect("a repeat is harmless");
    }
    let is_end = |event: &Event| !matches!(event, Event::Started | Event::Usage);
    let ends = || {
        let reports = (client.reports)(0).expect("it is up").reports;
        let ends = reports.into_iter().filter(|report| is_end(&report.event));
        ends.map(|report| (report.op, report.event))
            .collect::<Vec<_>>()
    };
    wait_until("all ended", || ends().len() == commands.len());
    let mut ends = ends();
    ends.sort_by_key(|(op, _)| *op);
    let expected = [
        (1, Event::Succeeded),
        (2, Event::Failed),
        (3, Event::MemoryKilled),
        (4, Event::LeaseExpired),
    ];
    assert_eq!(ends, expected);
    assert!(workers.ledger().jobs.values().all(|runs| runs.started == 1));
    assert_eq!((client.task)(9).ok(), Some(TaskState::Never));
    let late = (client.start)(&"w".into(), &start(9, ""));
    assert!(late.is_err_and(|e| e.is_status(409)));
}

#[test]
fn a_runner_answers_with_the_agreed_body_and_refuses_beyond_its_slots() {
    let runner = Runner::start(&runner::Options {
        slots: 1,
        ..runner::Options::default()
    });
    std::thread::scope(|scope| {
        let first = scope.spawn(|| send(&runner, "1", Duration::from_millis(300)));
        wait_until("it runs", || runner.ledger().running == 1);
        let (status, _) = send(&runner, "2", Duration::ZERO).expect("it answers");
        assert_eq!(status, 503);
        let (status, body) = first.join().expect("no panic").expect("it answers");
        assert_eq!((status, body), (200, answer_body("1", b"body", 0)));
    });
    let ledger = runner.ledger();
    assert_eq!((ledger.refused, ledger.most_running), (1, 1));
    assert_eq!(
        ledger.runs.keys().map(|id| &**id).collect::<Vec<_>>(),
        ["1"]
    );
}

/// A frozen runner accepts connections without an answer; when the fault ends, it runs the requests
/// that arrived meanwhile, whether or not their callers still wait.
#[test]
fn a_frozen_runner_runs_pending_requests_later() {
    let runner = Runner::start(&runner::Options::default());
    let mode = |mode| runner::Faults {
        mode,
        ..runner::Faults::default()
    };
    runner.set_faults(mode(Mode::Freeze));
    std::thread::scope(|scope| {
        let sent = scope.spawn(|| send(&runner, "1", Duration::ZERO));
        wait_until("it is connected", || runner.open_connections() == 1);
        assert!(runner.ledger().runs.is_empty());
        runner.set_faults(mode(Mode::Work));
        assert!(sent.join().expect("no panic").is_ok());
    });
    runner.set_faults(mode(Mode::CutBody));
    assert!(send(&runner, "2", Duration::ZERO).is_err());
    assert_eq!(runner.ledger().runs["2"].finished, 1);
}
