//! A fleet of any size, as the state that results from its log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Pool, Service, Team};
use pomelohitch_core::id::{InstanceId, JobId, Offset, RecordId};
use pomelohitch_core::record::job::{
    Event, Job, JobDecision, JobRecord, Placement, Report, Resources, Urgency, attempt_id,
};
use pomelohitch_core::record::{
    DrainPurpose, FileChange, FleetDecision, FleetStep, Join, Publish, TakeTerm,
};
use pomelohitch_core::{Body, Record, State, Verdict};

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of workers and runners.
    pub instances: usize,
    /// Number of pools; each has two services.
    pub pools: usize,
    /// Number of teams, each with a file and two keys of its own.
    pub teams: usize,
    /// Number of jobs that wait or run.
    pub jobs: usize,
}

/// The design size; assumes two jobs for each worker.
pub const DESIGN_SIZE: Size = Size {
    instances: 6800,
    pools: 37,
    teams: 240,
    jobs: 13_600,
};

impl Size {
    /// This size multiplied by `eighths / 8`, with at least one of each.
    pub fn scaled(&self, eighths: usize) -> Size {
        let part = |whole: usize| (whole * eighths / 8).max(1);
        Size {
            instances: part(self.instances),
            pools: part(self.pools),
            teams: part(self.teams),
            jobs: part(self.jobs),
        }
    }
}

/// A log in memory, reduced to the state that it results in.
#[derive(Debug, Default)]
pub struct Fleet {
    /// State after all records so far.
    pub state: State,
}

impl Fleet {
    /// A fleet with a planner, teams, pools, services and instances, without jobs.
    pub fn new(size: &Size) -> Fleet {
        let mut fleet = Fleet::default();
        fleet.accept(Body::Join(Join {
            member: "entry-1".into(),
            zone: "zone-1".into(),
            peer_addr: addr(0),
        }));
        fleet.accept(Body::TakeTerm(TakeTerm {
            member: "entry-1".into(),
            incarnation: 0,
            term: 1,
        }));
        let changes = (0..size.teams)
            .map(team_change)
            .chain((0..size.pools).map(pool_change));
        fleet.accept(Body::Publish(Publish {
            changes: changes.collect(),
        }));
        for n in 0..size.instances {
            fleet.accept(step(adopt(n, n % size.pools)));
        }
        fleet
    }

    /// A fleet with jobs, half of them running.
    pub fn with_jobs(size: &Size) -> Fleet {
        let mut fleet = Fleet::new(size);
        for n in 0..size.jobs {
            fleet.accept(submit(n, size));
        }
        for n in 0..size.jobs / 2 {
            let place = fleet.place(n, size);
            fleet.accept(place);
        }
        fleet
    }

    /// The next record to append, with this body.
    pub fn record(&self, body: Body) -> Record {
        Record {
            id: RecordId::from_u128(u128::from(self.state.next) + 1),
            after: self.state.next,
            at: AT,
            by: "entry-1".into(),
            body,
        }
    }

    /// Applies a record that has to be accepted; returns its offset.
    pub fn accept(&mut self, body: Body) -> Offset {
        let offset = self.state.next;
        let record = self.record(body);
        let verdict = self.state.apply(offset, &record);
        assert_eq!(verdict, Verdict::Accepted, "{record:?}");
        offset
    }

    /// Offset of the record that began the current phase of the `n`th instance.
    pub fn since(&self, n: usize) -> Offset {
        self.state.fleet.instances[&instance(n)].since
    }

    /// Record that places the `n`th job.
    pub fn place(&self, n: usize, size: &Size) -> Body {
        Body::Job(JobRecord::Decide(JobDecision {
            term: 1,
            after: self.state.jobs.decided,
            place: vec![Placement {
                job: job_id(n),
                worker: instance(n % size.instances),
                reserve: NEED,
            }],
            preempt: vec![],
            refuse: vec![],
            quarantine: vec![],
            release: vec![],
        }))
    }
}

/// Time at which every record was proposed. Only the length of its encoding matters.
const AT: Duration = Duration::from_millis(1_796_256_000_123);

const NEED: Resources = Resources {
    cpu_milli: 2000,
    memory_mib: 4096,
    accelerators: 0,
};

/// The id of the `n`th instance.
pub fn instance(n: usize) -> InstanceId {
    format!("instance-{n:05}").into()
}

/// The id of the `n`th job.
pub fn job_id(n: usize) -> JobId {
    format!("team-{:03}-{n:016x}", n % 7).into()
}

/// Record of a step of the planner.
pub fn step(step: FleetStep) -> Body {
    Body::Fleet(FleetDecision { term: 1, step })
}

/// Step that adds the `n`th instance to a pool.
pub fn adopt(n: usize, pool: usize) -> FleetStep {
    FleetStep::Adopt {
        instance: instance(n),
        pool: format!("pool-{pool:02}").into(),
        zone: format!("zone-{}", n % 7).into(),
        rack: format!("rack-{:04}", n / 4).into(),
        addr: addr(n),
    }
}

/// Step that drains the `n`th instance for a move to pool 0.
pub fn drain(n: usize, since: Offset) -> FleetStep {
    FleetStep::Drain {
        instance: instance(n),
        since,
        purpose: DrainPurpose::MoveTo("pool-00".into()),
    }
}

/// Record that submits the `n`th job.
pub fn submit(n: usize, size: &Size) -> Body {
    let job = Job {
        id: job_id(n),
        team: team_id(n % size.teams),
        class: format!("class-{}", n % 50).into(),
        urgency: Urgency::Patient,
        need: NEED,
        run_time: Duration::from_mins(10),
        idempotent: true,
        command: "settle --night --resort 17".into(),
        group: None,
    };
    Body::Job(JobRecord::Submit(vec![job]))
}

/// Record that reports the success of a placed job.
pub fn end(n: usize, placed: Offset) -> Body {
    let report = Report {
        job: job_id(n),
        attempt: attempt_id(placed, 0),
        event: Event::Succeeded,
    };
    Body::Job(JobRecord::Report {
        next: placed,
        reports: vec![report],
    })
}

/// Change that creates the `n`th team's file, or replaces it if the caller sets `base`.
pub fn team_change(n: usize) -> (Box<str>, FileChange) {
    let team = Team {
        id: team_id(n),
        share: 10,
        limit: 1000,
        keys: (0..2)
            .map(|key| pomelohitch_core::key::hash(&format!("{n}/{key}")))
            .collect(),
    };
    let file = FleetFile {
        teams: vec![team],
        ..FleetFile::default()
    };
    change(format!("teams/{n:03}/pomelohitch.toml"), file)
}

fn team_id(n: usize) -> Box<str> {
    format!("team-{n:03}").into()
}

fn pool_change(n: usize) -> (Box<str>, FileChange) {
    let id: Box<str> = format!("pool-{n:02}").into();
    let services = (0..2).map(|s| Service {
        id: format!("service-{n:02}-{s}").into(),
        pool: id.clone(),
        min_available: 1,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(5),
        longest_run: Duration::from_secs(30),
        queue: 100,
        objective: None,
    });
    let file = FleetFile {
        services: services.collect(),
        pools: vec![Pool {
            id: id.clone(),
            spare: n == 0,
            floor: 0,
        }],
        ..FleetFile::default()
    };
    change(format!("pools/{n:02}/pomelohitch.toml"), file)
}

fn change(path: String, file: FleetFile) -> (Box<str>, FileChange) {
    let change = FileChange {
        base: None,
        file: Some(file),
    };
    (path.into(), change)
}

/// The changes of one publish.
pub type Changes = BTreeMap<Box<str>, FileChange>;

fn addr(n: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(n).expect("fleets are small").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 8080))
}
