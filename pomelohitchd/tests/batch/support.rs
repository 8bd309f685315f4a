//! Stand-ins of log and workers, and entry instances without sockets of their own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clap::Parser;
use pomelohitch_core::config::{FleetFile, Pool, Team};
use pomelohitch_core::record::job::{Job, JobRecord, Resources, Urgency};
use pomelohitch_core::record::{
    Body, DrainPurpose, FileChange, FleetDecision, FleetStep, Join, Publish, TakeTerm,
};
use pomelohitch_core::state::jobs::End;
use pomelohitch_core::{Verdict, key};
use pomelohitch_platform::workers::Listed;
use pomelohitch_standin::workers::{Ledger, Options};
use pomelohitch_standin::{Log, Workers, log};
use pomelohitchd::jobs_api::{self, JobView};
use pomelohitchd::node::Node;
use pomelohitchd::settings::Settings;
use pomelohitchd::{batch, reader};
use rouille::Request;

/// Upper limit of every wait in these tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of jobs in a record that [`Entry::fill`] appends.
const JOBS_PER_RECORD: usize = 1000;
/// Time limit of a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Stand-ins of the log and the workers.
pub struct Platform {
    pub log: Log,
    pub workers: Workers,
}

/// An entry instance.
#[derive(Clone)]
pub struct Entry {
    pub node: Arc<Node>,
}

/// An answer of the jobs API.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Platform {
    /// A log and `count` workers, four in a rack, of 4 processors and 8 GiB each.
    pub fn start(count: usize) -> Platform {
        let workers = (0..count).map(worker).collect();
        Platform {
            log: Log::start(&log::Options::default()),
            workers: Workers::start(&Options {
                workers,
                lag: Duration::from_millis(50),
                ..Options::default()
            }),
        }
    }

    /// An entry instance that has joined and isn't the planner.
    pub fn entry(&self, member: &str) -> Entry {
        self.entry_with(member, batch::Options::default())
    }

    pub fn entry_with(&self, member: &str, options: batch::Options) -> Entry {
        let entry = self.entry_behind(member);
        spawn(&entry.node, reader::run);
        entry.join();
        spawn(&entry.node, move |node| batch::run_with(node, options));
        entry
    }

    /// An entry instance that appends to the log but hasn't read it yet.
    pub fn entry_behind(&self, member: &str) -> Entry {
        let settings = Settings::parse_from([
            "pomelohitchd",
            &format!("--member={member}"),
            "--zone=zone-a",
            &format!("--log-url={}", self.log.url()),
            &format!("--workers-url={}", self.workers.url()),
            // Nothing listens there; these tests need no answer from it.
            "--instances-url=http://127.0.0.1:9",
            "--platform-timeout-ms=1000",
            &format!("--admin-key-hash={}", key::hash("operator")),
        ]);
        let node = Arc::new(Node::new(settings));
        Entry { node }
    }

    /// An entry instance that is the planner, and a team that may run `jobs` jobs at once.
    pub fn planner(&self, jobs: u32) -> Entry {
        let entry = self.entry("entry-1");
        // Jobs get half of a team's limit until the limit split is moved.
        entry.publish(2 * jobs);
        entry.take_term();
        entry
    }

    /// An entry instance that is the planner and grants leases of this length.
    pub fn planner_with_leases(&self, lease: Duration) -> Entry {
        let options = batch::Options {
            shortest_lease: lease,
            longest_lease: lease,
        };
        let entry = self.entry_with("entry-1", options);
        entry.publish(1000);
        entry.take_term();
        entry
    }

    pub fn ledger(&self) -> Ledger {
        self.workers.ledger()
    }
}

fn spawn(node: &Arc<Node>, run: impl FnOnce(&Arc<Node>) + Send + 'static) {
    let node = node.clone();
    std::thread::spawn(move || run(&node));
}

fn worker(number: usize) -> Listed {
    Listed {
        id: format!("worker-{number}").into(),
        pool: "batch".into(),
        zone: format!("zone-{}", number / 4 % 4).into(),
        rack: format!("rack-{}", number / 4).into(),
        capacity: Resources {
            cpu_milli: 4000,
            memory_mib: 8192,
            accelerators: 0,
        },
    }
}

impl Entry {
    fn join(&self) {
        let join = Join {
            member: self.node.settings.member.clone(),
            zone: "zone-a".into(),
            peer_addr: ([127, 0, 0, 1], 9).into(),
        };
        let offset = self.propose(Body::Join(join));
        self.node.incarnation.store(offset, Ordering::Release);
        self.node.lifecycle.ready.store(true, Ordering::Release);
    }

    pub fn take_term(&self) {
        let take = TakeTerm {
            member: self.node.settings.member.clone(),
            incarnation: self.node.incarnation.load(Ordering::Acquire),
            term: self.node.state.load().members.term + 1,
        };
        self.propose(Body::TakeTerm(take));
    }

    pub fn publish(&self, limit: u32) {
        let file = FleetFile {
            teams: vec![team(limit)],
            pools: vec![Pool {
                id: "batch".into(),
                spare: false,
                floor: 0,
            }],
            ..FleetFile::default()
        };
        let change = FileChange {
            base: None,
            file: Some(file),
        };
        let changes = BTreeMap::from([("teams".into(), change)]);
        self.propose(Body::Publish(Publish { changes }));
    }

    /// Adds a worker to the pool `batch`.
    pub fn adopt(&self, worker: &str) {
        self.fleet(FleetStep::Adopt {
            instance: worker.into(),
            pool: "batch".into(),
            zone: "zone-0".into(),
            rack: "rack-0".into(),
            addr: ([127, 0, 0, 1], 9).into(),
        });
    }

    /// Drains a worker, as when the platform reports that it is leaving.
    pub fn drain(&self, worker: &str) {
        let since = self.node.state.load().fleet.instances[worker].since;
        self.fleet(FleetStep::Drain {
            instance: worker.into(),
            since,
            purpose: DrainPurpose::Leaving,
        });
    }

    fn fleet(&self, step: FleetStep) {
        let term = self.node.state.load().members.term;
        self.propose(Body::Fleet(FleetDecision { term, step }));
    }

    fn propose(&self, body: Body) -> u64 {
        let decided = self
            .node
            .propose(body, PROPOSE_TIMEOUT)
            .expect("the log accepts appends");
        assert_eq!(decided.verdict, Verdict::Accepted);
        decided.offset
    }

    /// Appends `count` waiting jobs, bypassing the API.
    pub fn fill(&self, count: usize) {
        let jobs: Vec<Job> = (0..count).map(waiting).collect();
        for jobs in jobs.chunks(JOBS_PER_RECORD) {
            self.propose(Body::Job(JobRecord::Submit(jobs.to_vec())));
        }
    }

    /// Calls the jobs API as the team `choir`.
    pub fn call(&self, method: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
        let key = key.map(|key| ("Idempotency-Key".to_owned(), key.to_owned()));
        let headers = key.into_iter().collect();
        let req = Request::fake_http(method, path, headers, body.as_bytes().to_vec());
        let response = jobs_api::answer(&self.node, &team(1), &req);
        let (mut reader, _) = response.data.into_reader_and_size();
        let mut body = String::new();
        reader
            .read_to_string(&mut body)
            .expect("an answer is UTF-8");
        Answer {
            status: response.status_code,
            body,
        }
    }

    /// Submits a job and returns its id.
    pub fn submit(&self, job: &str) -> Box<str> {
        let answer = self.call("POST", "/v1/jobs", None, job);
        assert_eq!(answer.status, 201, "{}", answer.body);
        answer.view().id
    }

    pub fn show(&self, id: &str) -> JobView {
        self.call("GET", &format!("/v1/jobs/{id}"), None, "").view()
    }

    pub fn cancel(&self, id: &str) -> JobView {
        self.call("DELETE", &format!("/v1/jobs/{id}"), None, "")
            .view()
    }

    /// Waits until the job has ended, and returns its end.
    pub fn end_of(&self, id: &str) -> End {
        wait_until("the job ended", || self.show(id).end.is_some());
        self.show(id)
            .end
            .expect("the end of a job is never removed")
    }

    /// Waits until the job is in this state.
    pub fn wait_for(&self, id: &str, state: &str) {
        wait_until(state, || &*self.show(id).state == state);
    }
}

impl Answer {
    pub fn view(&self) -> JobView {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not a job: {}", self.body))
    }
}

fn waiting(number: usize) -> Job {
    Job {
        id: format!("waiting-{number}").into(),
        team: "choir".into(),
        class: "settle".into(),
        urgency: Urgency::Patient,
        need: Resources::default(),
        run_time: Duration::ZERO,
        idempotent: true,
        command: "".into(),
        group: None,
    }
}

fn team(limit: u32) -> Team {
    Team {
        id: "choir".into(),
        share: 1,
        limit,
        keys: vec![],
    }
}

/// A job with one processor and 512 MiB; `command` controls the stand-in of the worker.
pub fn job(class: &str, idempotent: bool, command: &str) -> String {
    serde_json::json!({
        "class": class,
        "cpu_milli": 1000,
        "memory_mib": 512,
        "run_ms": 100,
        "idempotent": idempotent,
        "command": command,
    })
    .to_string()
}

/// Polls `condition` until it holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
