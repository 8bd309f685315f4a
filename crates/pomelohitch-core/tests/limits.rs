//! Tests of the fold: split of a team's limit between requests and jobs.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

use std::collections::BTreeMap;
use std::time::Duration;

use pomelohitch_core::config::{FleetFile, Team};
use pomelohitch_core::id::{Offset, RecordId};
use pomelohitch_core::record::job::{Job, JobDecision, JobRecord, Placement, Resources, Urgency};
use pomelohitch_core::record::{DivideLimit, FileChange, Join, Publish, TakeTerm};
use pomelohitch_core::{Body, Record, Rejection, State, Verdict};

const TEAM: &str = "choir";

/// State of a log with a planner and one team.
struct Log {
    state: State,
}

impl Log {
    fn new(limit: u32) -> Log {
        let mut log = Log {
            state: State::default(),
        };
        log.append(Body::Join(Join {
            member: "e1".into(),
            zone: "a".into(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
        }));
        log.append(Body::TakeTerm(TakeTerm {
            member: "e1".into(),
            incarnation: 0,
            term: 1,
        }));
        log.set_limit(limit);
        log
    }

    fn append(&mut self, body: Body) -> Verdict {
        let offset = self.state.next;
        let record = Record {
            id: RecordId::from_u128(u128::from(offset)),
            after: offset,
            at: Duration::ZERO,
            by: "e1".into(),
            body,
        };
        self.state.apply(offset, &record)
    }

    fn set_limit(&mut self, limit: u32) {
        let team = Team {
            id: TEAM.into(),
            share: 1,
            limit,
            keys: vec![],
        };
        let base = self.state.config.files.get("team").map(|file| file.version);
        let file = Some(FleetFile {
            teams: vec![team],
            ..FleetFile::default()
        });
        let changes = BTreeMap::from([("team".into(), FileChange { base, file })]);
        assert_eq!(
            self.append(Body::Publish(Publish { changes })),
            Verdict::Accepted
        );
    }

    fn divide(&mut self, jobs: u32) -> Verdict {
        let divide = self.proposal(jobs);
        self.append(Body::DivideLimit(divide))
    }

    /// Proposal of the home of the team's permits, based on the current state.
    fn proposal(&self, jobs: u32) -> DivideLimit {
        DivideLimit {
            team: TEAM.into(),
            jobs,
            epoch: self.state.members.epoch,
            base: self.state.limits.version_of(TEAM),
        }
    }

    fn parts(&self) -> (u32, u32) {
        let team = &self.state.config.teams[TEAM];
        let limits = &self.state.limits;
        (limits.requests_of(team), limits.jobs_of(team))
    }

    /// Submits and places `count` jobs; returns the team's number of active jobs.
    fn place(&mut self, count: u32) -> u32 {
        let ids: Vec<Box<str>> = (0..count)
            .map(|n| format!("{}-{n}", self.state.next).into())
            .collect();
        let jobs = ids.iter().cloned().map(job).collect();
        self.append(Body::Job(JobRecord::Submit(jobs)));
        let place = ids.into_iter().map(|job| Placement {
            job,
            worker: "w".into(),
            reserve: Resources::default(),
        });
        let decision = JobDecision {
            term: 1,
            after: self.state.jobs.decided,
            place: place.collect(),
            preempt: vec![],
            refuse: vec![],
            quarantine: vec![],
            release: vec![],
        };
        let verdict = self.append(Body::Job(JobRecord::Decide(decision)));
        assert_eq!(verdict, Verdict::Accepted);
        self.state.jobs.active_of(TEAM)
    }
}

fn job(id: Box<str>) -> Job {
    Job {
        id,
        team: TEAM.into(),
        class: "settle".into(),
        urgency: Urgency::Patient,
        need: Resources::default(),
        run_time: Duration::from_secs(1),
        idempotent: true,
        command: "true".into(),
        group: None,
    }
}

/// Guards against a team running twice its limit: requests and jobs are counted separately, so each
/// count has to be held to its own part.
#[test]
fn requests_and_jobs_together_never_exceed_the_limit() {
    let mut log = Log::new(9);
    assert_eq!(log.parts(), (5, 4));
    assert_eq!(log.place(9), 4);
    assert_eq!(log.divide(7), Verdict::Accepted);
    assert_eq!(log.parts(), (2, 7));
    assert_eq!(log.place(9), 7);
}

/// Guards against exceeding the limit by a split that gives the jobs' part to requests while the
/// jobs still run.
#[test]
fn active_jobs_keep_their_part_of_the_limit() {
    let mut log = Log::new(10);
    log.place(5);
    let broken = Rejection::LimitBroken {
        active: 5,
        limit: 10,
    };
    assert_eq!(log.divide(4), Verdict::Rejected(broken.clone()));
    assert_eq!(log.divide(11), Verdict::Rejected(broken));
    assert_eq!(log.divide(5), Verdict::Accepted);
}

/// Guards against using the same permits twice: the home of a team's permits takes some back and
/// proposes to give them to jobs, but before the record lands another member becomes the home and
/// issues the same permits to requests.
#[test]
fn a_proposal_of_an_earlier_home_is_rejected() {
    let mut log = Log::new(10);
    let divide = log.proposal(8);
    let joined = log.state.next;
    log.append(Body::Join(Join {
        member: "e2".into(),
        zone: "a".into(),
        peer_addr: ([127, 0, 0, 1], 2).into(),
    }));
    let verdict = log.append(Body::DivideLimit(divide));
    assert_eq!(verdict, Verdict::Rejected(Rejection::StaleEpoch(joined)));
}

/// Guards against a proposal that lands seconds late, after the home has made another one: the
/// permits that it reserved may be in use again.
#[test]
fn a_proposal_that_lands_late_is_rejected() {
    let mut log = Log::new(10);
    let late = log.proposal(8);
    assert_eq!(log.divide(2), Verdict::Accepted);
    let verdict = log.append(Body::DivideLimit(late));
    let moved: Option<Offset> = log.state.limits.version_of(TEAM);
    assert_eq!(verdict, Verdict::Rejected(Rejection::BorderMoved(moved)));
    assert_eq!(log.parts(), (8, 2));
}

/// Guards against exceeding the limit while a publish changes it: a home that hasn't read the
/// publish still issues permits by the old part for requests, while the fold already applies the
/// new part for jobs.
#[test]
fn a_changed_limit_is_kept_by_readers_at_different_offsets() {
    pomelohitch_property::check(|&(before, jobs, after): &(u8, Option<u8>, u8)| {
        let mut log = Log::new(before.into());
        if let Some(jobs) = jobs {
            log.divide(jobs.into());
        }
        let (old_requests, old_jobs) = log.parts();
        log.set_limit(after.into());
        let (requests, jobs) = log.parts();
        let larger = u32::from(before.max(after));
        assert!(old_requests + jobs <= larger);
        assert!(requests + old_jobs <= larger);
    });
}
