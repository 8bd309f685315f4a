//! In-memory log, and helpers that create records.

use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::{InstanceId, Offset, RecordId};
use pomelohitch_core::record::{
    Body, DrainPurpose, FileChange, FleetDecision, FleetStep, Join, MaintainOrder, Publish, Record,
    TakeTerm, WaveLimits, WithdrawKey,
};
use pomelohitch_core::{State, Verdict};

/// Records appended so far, and the state that they produce.
#[derive(Default)]
pub struct Log {
    pub state: State,
    pub records: Vec<Record>,
}

impl Log {
    /// A log with member `a` as planner, pool `web` (service `shop` needs 2 active instances) and
    /// pool `spare` (floor 1).
    pub fn with_planner() -> Log {
        let mut log = Log::default();
        let incarnation = log.state.next;
        log.accept(join("a"));
        log.accept(Body::TakeTerm(TakeTerm {
            member: "a".into(),
            incarnation,
            term: 1,
        }));
        log.accept(publish("web", None, Some(web(2))));
        log.accept(publish("spare", None, Some(spare(1))));
        log
    }

    /// [`Log::with_planner`] with 4 instances in `web` and 2 in `spare`, in two availability zones.
    pub fn with_instances() -> Log {
        let mut log = Log::with_planner();
        for n in 0..6_u8 {
            let pool = if n < 4 { "web" } else { "spare" };
            log.accept_step(adopt(&format!("i{n}"), pool, n));
        }
        log
    }

    pub fn append(&mut self, body: Body) -> Verdict {
        let record = Record {
            id: RecordId::from_u128(u128::from(self.state.next) + 1),
            after: self.state.next,
            at: Duration::from_secs(self.state.next),
            by: "a".into(),
            body,
        };
        self.append_record(record)
    }

    pub fn append_record(&mut self, record: Record) -> Verdict {
        let verdict = self.state.apply(self.state.next, &record);
        self.records.push(record);
        verdict
    }

    pub fn accept(&mut self, body: Body) {
        let text = format!("{body:?}");
        assert_eq!(self.append(body), Verdict::Accepted, "{text}");
    }

    /// Appends a planner's step in the current term.
    pub fn step(&mut self, step: FleetStep) -> Verdict {
        let term = self.state.members.term;
        self.append(Body::Fleet(FleetDecision { term, step }))
    }

    pub fn accept_step(&mut self, step: FleetStep) {
        let text = format!("{step:?}");
        assert_eq!(self.step(step), Verdict::Accepted, "{text}");
    }

    pub fn since(&self, id: &str) -> Offset {
        self.state.fleet.instances[id].since
    }

    pub fn drain(&self, id: &str, purpose: DrainPurpose) -> FleetStep {
        FleetStep::Drain {
            instance: id.into(),
            since: self.since(id),
            purpose,
        }
    }

    pub fn drained(&self, id: &str) -> FleetStep {
        FleetStep::Drained {
            instance: id.into(),
            since: self.since(id),
        }
    }

    pub fn return_to_work(&self, id: &str) -> FleetStep {
        FleetStep::Return {
            instance: id.into(),
            since: self.since(id),
        }
    }

    pub fn fail(&self, id: &str) -> FleetStep {
        FleetStep::Fail {
            instance: id.into(),
            since: self.since(id),
        }
    }

    pub fn forget(&self, id: &str) -> FleetStep {
        FleetStep::Forget {
            instance: id.into(),
            since: self.since(id),
        }
    }
}

pub fn join(member: &str) -> Body {
    Body::Join(Join {
        member: member.into(),
        zone: "z1".into(),
        peer_addr: ([10, 0, 0, 1], 7000).into(),
    })
}

pub fn withdraw(key: &str) -> Body {
    Body::WithdrawKey(WithdrawKey { key: key.into() })
}

pub fn publish(path: &str, base: Option<Offset>, file: Option<FleetFile>) -> Body {
    let change = FileChange { base, file };
    Body::Publish(Publish {
        changes: [(path.into(), change)].into(),
    })
}

pub fn start_wave(pool: &str, limits: WaveLimits) -> Body {
    Body::Maintain(MaintainOrder::Start {
        pool: pool.into(),
        limits,
    })
}

pub fn adopt(id: &str, pool: &str, n: u8) -> FleetStep {
    FleetStep::Adopt {
        instance: InstanceId::from(id),
        pool: pool.into(),
        zone: format!("z{}", n % 2).into(),
        rack: format!("r{}", n / 2).into(),
        addr: ([10, 0, 1, n], 8000).into(),
    }
}

pub fn move_to(pool: &str) -> DrainPurpose {
    DrainPurpose::MoveTo(pool.into())
}

pub fn web(min_available: u32) -> FleetFile {
    FleetFile {
        pools: vec![pool("web", 0)],
        services: vec![service("shop", "web", min_available)],
        ..FleetFile::default()
    }
}

pub fn spare(floor: u32) -> FleetFile {
    FleetFile {
        pools: vec![Pool {
            spare: true,
            ..pool("spare", floor)
        }],
        ..FleetFile::default()
    }
}

pub fn pool(id: &str, floor: u32) -> Pool {
    Pool {
        id: id.into(),
        spare: false,
        floor,
    }
}

pub fn service(id: &str, pool: &str, min_available: u32) -> Service {
    Service {
        id: id.into(),
        pool: pool.into(),
        min_available,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(5),
        longest_run: Duration::from_secs(30),
        queue: 100,
        objective: None,
    }
}

pub fn team(id: &str, keys: &[&str]) -> FleetFile {
    FleetFile {
        teams: vec![Team {
            id: id.into(),
            share: 1,
            limit: 10,
            keys: keys.iter().map(|key| (*key).into()).collect(),
        }],
        ..FleetFile::default()
    }
}
