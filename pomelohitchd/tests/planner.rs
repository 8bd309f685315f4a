//! The planner's loop against stand-ins of the log and the pools.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clap::Parser;
use pomelohitch_core::config::{FleetFile, Pool, Service};
use pomelohitch_core::record::{
    Body, FileChange, Join, Leave, MaintainOrder, Publish, TakeTerm, WaveLimits, WithdrawKey,
};
use pomelohitch_core::state::Phase;
use pomelohitch_core::{Verdict, key};
use pomelohitch_platform::instances::{Listed, ListedState};
use pomelohitch_standin::{CallFaults, Instances, Log, instances, log};
use pomelohitchd::node::Node;
use pomelohitchd::settings::Settings;
use pomelohitchd::{freshness, planner, reader};

/// Upper limit of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const INSTANCES: usize = 4;

struct Setup {
    pools: Instances,
    node: Arc<Node>,
    log: Log,
}

/// A planner, and 4 instances of which 3 must stay active.
fn setup() -> Setup {
    let log = Log::start(&log::Options::default());
    let pools = Instances::start(&instances::Options {
        instances: (0..INSTANCES).map(instance).collect(),
        lag: Duration::from_millis(50),
        reboot: Duration::from_millis(50),
        ..instances::Options::default()
    });
    let node = entry(&log, &pools, "entry-1");
    let incarnation = propose(
        &node,
        Body::Join(Join {
            member: "entry-1".into(),
            zone: "zone-a".into(),
            peer_addr: ([127, 0, 0, 1], 9).into(),
        }),
    );
    node.incarnation.store(incarnation, Ordering::Release);
    node.lifecycle.ready.store(true, Ordering::Release);
    propose(&node, publish());
    propose(
        &node,
        Body::TakeTerm(TakeTerm {
            member: "entry-1".into(),
            incarnation,
            term: 1,
        }),
    );
    let planning = node.clone();
    std::thread::spawn(move || planner::run(&planning));
    Setup { pools, node, log }
}

/// The node of an entry instance, with a thread that reads the log.
fn entry(log: &Log, pools: &Instances, member: &str) -> Arc<Node> {
    let settings = Settings::parse_from([
        "pomelohitchd",
        &format!("--member={member}"),
        "--zone=zone-a",
        "--snapshot-ms=100",
        &format!("--log-url={}", log.url()),
        &format!("--instances-url={}", pools.url()),
        "--workers-url=http://127.0.0.1:9",
        &format!("--admin-key-hash={}", key::hash("operator")),
    ]);
    let node = Arc::new(Node::new(settings));
    let reading = node.clone();
    std::thread::spawn(move || reader::run(&reading));
    node
}

fn instance(n: usize) -> instances::Instance {
    instances::Instance {
        listed: Listed {
            id: format!("instance-{n}").into(),
            pool: "web".into(),
            zone: format!("zone-{}", n % 2).into(),
            rack: "rack".into(),
            addr: ([127, 0, 0, 1], 9).into(),
            state: ListedState::Live,
        },
        control: None,
    }
}

fn publish() -> Body {
    let service = Service {
        id: "passes".into(),
        pool: "web".into(),
        min_available: 3,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(5),
        longest_run: Duration::from_secs(30),
        queue: 100,
        objective: None,
    };
    let file = FleetFile {
        pools: vec![Pool {
            id: "web".into(),
            spare: false,
            floor: 0,
        }],
        services: vec![service],
        ..FleetFile::default()
    };
    let change = FileChange {
        base: None,
        file: Some(file),
    };
    Body::Publish(Publish {
        changes: [("fleet".into(), change)].into(),
    })
}

fn propose(node: &Node, body: Body) -> u64 {
    let decided = node
        .propose(body, WAIT_TIMEOUT)
        .expect("the log accepts appends");
    assert_eq!(decided.verdict, Verdict::Accepted);
    decided.offset
}

fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Setup {
    fn active(&self) -> u32 {
        self.node.state.load().fleet.active_in("web")
    }

    fn start_wave(&self) -> u64 {
        wait_until("every instance is adopted", || self.active() == 4);
        let order = MaintainOrder::Start {
            pool: "web".into(),
            limits: WaveLimits::default(),
        };
        propose(&self.node, Body::Maintain(order))
    }

    /// Number of times that the platform has executed `action`, for each instance.
    fn count(&self, action: &str) -> Vec<usize> {
        let ledger = self.pools.ledger();
        let of = |n| {
            let id = format!("instance-{n}");
            let effects = ledger.effects.iter();
            let found = effects.filter(|e| *e.instance == *id && &*e.action == action);
            found.count()
        };
        (0..INSTANCES).map(of).collect()
    }
}

#[test]
fn a_wave_drains_and_reboots_every_instance_once() {
    let setup = setup();
    let wave = setup.start_wave();
    wait_until("the wave ends", || {
        let state = setup.node.state.load();
        assert!(state.fleet.active_in("web") >= 3, "the budget holds");
        state.waves.by_pool.is_empty()
    });
    let state = setup.node.state.load();
    let instances = state.fleet.instances.values();
    assert!(
        instances
            .clone()
            .all(|i| i.maintained > wave && i.phase == Phase::Active)
    );
    assert_eq!(setup.count("drain"), [1; INSTANCES]);
    assert_eq!(setup.count("reboot"), [1; INSTANCES]);
}

/// Guards against a reboot under the requests of an entry instance that was removed while it was
/// paused: it goes on with its old state until that isn't fresh any more.
#[test]
fn no_instance_is_drained_while_a_removed_member_may_still_send() {
    let setup = setup();
    wait_until("every instance is adopted", || setup.active() == 4);
    let incarnation = propose(
        &setup.node,
        Body::Join(Join {
            member: "entry-2".into(),
            zone: "zone-a".into(),
            peer_addr: ([127, 0, 0, 1], 9).into(),
        }),
    );
    let removed_at = Instant::now();
    propose(
        &setup.node,
        Body::Leave(Leave {
            member: "entry-2".into(),
            incarnation,
        }),
    );
    setup.start_wave();
    wait_until("an instance is drained", || {
        setup.count("drain").contains(&1)
    });
    let waited = removed_at.elapsed();
    assert!(waited >= freshness::BOUND, "{waited:?}");
}

#[test]
fn lost_answers_of_the_platform_double_nothing() {
    // The platform executes requests whose answers are lost, and the planner repeats them. A second
    // drain or reboot of an instance that is active again would cut its requests.
    let setup = setup();
    setup.pools.set_faults(instances::Faults {
        calls: CallFaults {
            lose_answers: 12,
            ..CallFaults::default()
        },
        ..instances::Faults::default()
    });
    setup.start_wave();
    wait_until("the wave ends", || {
        setup.node.state.load().waves.by_pool.is_empty()
    });
    assert_eq!(setup.count("drain"), [1; INSTANCES]);
    assert_eq!(setup.count("reboot"), [1; INSTANCES]);
}

#[test]
fn an_entry_instance_starts_after_the_log_was_trimmed() {
    // The log has trimmed its oldest records, and every entry instance is replaced. The members,
    // the configuration and the instances exist only in the snapshots that the planner wrote.
    let setup = setup();
    wait_until("every instance is adopted", || setup.active() == 4);
    let config = setup.node.state.load().config.clone();
    let newest = || pomelohitch_platform::snapshots::load(&setup.node.log).expect("the log is up");
    wait_until("a snapshot contains every instance", || {
        newest().is_some_and(|state| state.fleet.instances.len() == INSTANCES)
    });
    // With 50 more records, a log that is trimmed to its last 20 holds the chunks of the newest
    // snapshot and none of the first records of the fleet.
    for n in 0..50 {
        let key = format!("key-{n}").into();
        propose(&setup.node, Body::WithdrawKey(WithdrawKey { key }));
    }
    setup.log.set_faults(log::Faults {
        keep: Some(20),
        ..log::Faults::default()
    });
    wait_until("a snapshot reaches the kept records", || {
        newest().is_some_and(|state| state.withdrawn.len() == 50)
    });

    let joiner = entry(&setup.log, &setup.pools, "entry-2");
    wait_until("the joiner has read to the head of the log", || {
        joiner.state.load().next >= setup.node.state.load().next
    });
    let state = joiner.state.load();
    assert_eq!(state.config, config);
    assert_eq!(state.fleet, setup.node.state.load().fleet);
    assert_eq!(state.withdrawn.len(), 50);
}
