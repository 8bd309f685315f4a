//! Tests of the output of `status`, `maintain`, `keys` and `report`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelohitch::maintain::{self, MaintainCommand, maintain};
use pomelohitch::output::Format;
use pomelohitch::status::{self, StatusView};
use pomelohitch::{Exit, keys, propose, report};
use pomelohitch_burn::counts::Tally;
use pomelohitch_burn::record::{BURN_STREAM, Record as BurnRecord, Row};
use pomelohitch_burn::{Ledger, Report};
use pomelohitch_config::parse::parse;
use pomelohitch_core::record::{
    FLEET_STREAM, FileChange, FleetDecision, FleetStep, Join, Publish, TakeTerm,
};
use pomelohitch_core::status::Status;
use pomelohitch_core::{Body, Record, State};
use pomelohitch_platform::Log;

use super::memory_log::{NOT_POISONED, memory_log, virtual_time};

const FILE: &str = "[team.kiosks]\nshare = 3\nlimit = 40\n[team.hotels]\nshare = 1\nlimit = 10\n\
                    [pool.sales]\n[pool.tools]\nspare = true\n\
                    [service.passes]\npool = \"sales\"\nmin_available = 2\n\
                    [service.passes.objective]\nwithin_ms = 500\ngood_percent = 99\nwindow_days = 1\n";

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn append(log: &Log, n: u128, body: Body) {
    let record = Record {
        id: uuid::Uuid::from_u128(n),
        after: 0,
        at: Duration::from_secs(60 * u64::try_from(n).expect("record numbers in tests fit u64")),
        by: "test".into(),
        body,
    };
    (log.append)(FLEET_STREAM, &[record.encode()]).expect("the log works");
}

/// A fleet with the file above, one entry instance, which is the planner, and two runners.
fn fleet() -> Arc<Log> {
    let (_, log) = memory_log();
    let file = parse("f", FILE).expect("the file is valid").file;
    let change = FileChange {
        base: None,
        file: Some(file),
    };
    let changes = [("a/pomelohitch.toml".into(), change)].into();
    append(&log, 1, Body::Publish(Publish { changes }));
    let join = Join {
        member: "entry-1".into(),
        zone: "zone-1".into(),
        peer_addr: addr(7),
    };
    append(&log, 2, Body::Join(join));
    let take = TakeTerm {
        member: "entry-1".into(),
        incarnation: 1,
        term: 1,
    };
    append(&log, 3, Body::TakeTerm(take));
    for n in 0..2 {
        let step = FleetStep::Adopt {
            instance: format!("runner-{n}").into(),
            pool: "sales".into(),
            zone: "zone-1".into(),
            rack: "rack-1".into(),
            addr: addr(80 + n),
        };
        let decision = FleetDecision { term: 1, step };
        append(&log, 10 + u128::from(n), Body::Fleet(decision));
    }
    log
}

fn state(log: &Arc<Log>) -> State {
    let mut follower = propose::fleet_follower(log);
    propose::catch_up(&mut follower, &virtual_time()).expect("the log works");
    follower.state().clone()
}

/// A wave that can't drain any instance must show why, as operators can't tell it from a stuck
/// system otherwise.
#[test]
fn status_shows_what_waits_and_why() {
    let log = fleet();
    let wave = MaintainCommand::Wave {
        pool: "sales".into(),
        zones: 2,
        racks: 0,
    };
    let ordered = maintain::show(&maintain(&log, &wave, &virtual_time()));
    assert_eq!(ordered.exit, Exit::Done);
    let shown = StatusView {
        entry: None,
        fleet: Status::of(&state(&log)),
    };
    insta::assert_snapshot!(status::show(&shown).render(Format::Table), @r##"
    offset 6, term 1, planned by entry-1

    members
    MEMBER   ZONE    SINCE  ADDRESS      HEARD
    entry-1  zone-1  1      127.0.0.1:7

    pools
    POOL   ACTIVE  DRAINING  DRAINED  FAILED  MOVING  SERVICES
    sales  2       0         0        0       0       passes needs 2, spare 0
    tools  0       0         0        0       0

    waves
    POOL   SINCE  LEFT  OUT  LOST
    sales  5      2     0    0

    teams
    TEAM    SHARE  LIMIT  REQUESTS  JOBS     WAITING  KEYS
    hotels  1      10     5         0 of 5   0        0
    kiosks  3      40     20        0 of 20  0        0

    waiting
    WHAT                 WHY
    the wave over sales  2 instances are active and passes needs 2
    "##);
}

#[test]
fn a_wave_waits_while_maintenance_is_paused() {
    let log = fleet();
    let why = |log| {
        let waiting = Status::of(&state(log)).waiting;
        waiting.first().map(|waiting| waiting.why.clone())
    };
    for command in [
        MaintainCommand::Wave {
            pool: "sales".into(),
            zones: 2,
            racks: 0,
        },
        MaintainCommand::Pause { pool: None },
    ] {
        let _ = maintain(&log, &command, &virtual_time());
    }
    assert!(why(&log).is_some_and(|why| why.contains("maintain resume")));
    let _ = maintain(
        &log,
        &MaintainCommand::Resume { pool: None },
        &virtual_time(),
    );
    assert!(why(&log).is_some_and(|why| why.contains("passes needs 2")));
}

#[test]
fn an_order_for_an_undeclared_pool_is_refused() {
    let pause = MaintainCommand::Pause {
        pool: Some("gone".into()),
    };
    let shown = maintain::show(&maintain(&fleet(), &pause, &virtual_time()));
    assert_eq!(shown.exit, Exit::Refused);
    assert!(shown.text.contains("gone"), "{}", shown.text);
}

#[test]
fn a_withdrawn_key_is_in_force_in_the_log() {
    let log = fleet();
    let withdrawn = keys::withdraw(&log, "aa".repeat(32).into(), &virtual_time());
    assert_eq!(keys::show_withdrawn(&withdrawn, None).exit, Exit::Done);
    assert_eq!(state(&log).withdrawn.len(), 1);
}

/// 2028-02-29 01:00 UTC, in minutes since the Unix epoch.
const START_MINUTE: u64 = 30_589_980;

fn burn_record(seq: u64, minute: u64, good: u64, bad: u64) -> BurnRecord {
    BurnRecord {
        member: "entry-1".into(),
        incarnation: 1,
        seq,
        minute,
        last: false,
        rows: vec![Row {
            service: "passes".into(),
            team: "kiosks".into(),
            tally: Tally { good, bad },
        }],
    }
}

/// All answers of ten minutes are bad, and one record is missing. `--fail-on-burn` must set the
/// exit code, and the report must show the gap.
#[test]
fn a_fast_burn_sets_the_exit_code_and_gaps_are_shown() {
    let mut ledger = Ledger::default();
    for minute in 0..60 {
        if minute != 20 {
            let bad = if minute >= 50 { 100 } else { 0 };
            ledger.add(&burn_record(minute, START_MINUTE + minute, 100 - bad, bad));
        }
    }
    let config = state(&fleet()).config;
    let burn = Report::new(&ledger, config.services.values(), START_MINUTE + 60);
    let shown = report::show_burn(&burn, true);
    assert_eq!(shown.exit, Exit::Burning);
    assert_eq!(report::show_burn(&burn, false).exit, Exit::Done);
    insta::assert_snapshot!(shown.text, @r##"
    SERVICE  TEAM    OBJECTIVE  ANSWERS  BAD   LEFT      5 MIN   30 MIN  1 H    6 H    3 D    ALARM
    passes   (all)   99%        5900     1000  -1594.9%  100.00  34.48   17.24  16.95  16.95  BURNING
    passes   kiosks  99%        5900     1000  -1594.9%  100.00  34.48   17.24  16.95  16.95  BURNING
    not counted: every entry instance, 2028-02-29 01:20 UTC to 2028-02-29 01:20 UTC (Silence)
    not counted: entry-1, 2028-02-29 01:20 UTC to 2028-02-29 01:20 UTC (RecordMissing)
    "##);
}

/// Counts are read from their stream of the log; records that do not decode are skipped.
#[test]
fn counts_are_read_from_their_stream() {
    let (store, log) = memory_log();
    let records = [
        burn_record(0, 5, 9, 1).encode(),
        "from a newer version".into(),
    ];
    (log.append)(BURN_STREAM, &records).expect("the log works");
    let ledger = report::read_ledger(&log).expect("the log works");
    assert_eq!(
        ledger.tally("passes", None, 0, 9),
        Tally { good: 9, bad: 1 }
    );
    store.lock().expect(NOT_POISONED).reads_down = true;
    assert!(report::read_ledger(&log).is_err());
}

#[test]
fn fleet_activity_is_measured_over_the_span_of_the_records() {
    let activity = report::measure_fleet(&fleet(), Duration::ZERO).expect("the log works");
    insta::assert_snapshot!(report::show_fleet(&activity).text, @r##"
    over 0.17 hours of records
    moves  0
    ROLLED OUT  TOOK  LOST
    POOL   BUFFER (INSTANCE HOURS)
    sales  0.00
    tools  0.00
    TEAM  HAD (JOB HOURS)  OWED BY SHARE
    "##);
}
