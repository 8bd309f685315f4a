//! A team's limit is split between its requests and its jobs by their demand.

use std::time::Duration;

use pomelohitch_core::Body;
use pomelohitch_core::record::job::{Job, JobRecord, Resources, Urgency};
use pomelohitch_standin::caller::Outcome;
use pomelohitch_standin::config::{self, PATH, TEAMS};

use crate::support::{Fleet, wait_until};

const LIMIT: u32 = 4;

/// Jobs get the whole limit while there are no requests, and give back a part when requests arrive.
/// If jobs kept it, requests would be refused; if requests kept an unused half, jobs would take
/// twice as long.
#[test]
fn jobs_get_the_unused_limit_of_requests_and_give_it_back() {
    let fleet = Fleet::start(3, 2);
    let mut file = config::small();
    for team in &mut file.teams {
        team.limit = LIMIT;
    }
    let base = fleet.state().config.files[PATH].version;
    config::publish(&fleet.client, file, Some(base)).expect("the log is up");
    let jobs = (0..2 * LIMIT).map(job).collect();
    config::append(&fleet.client, Body::Job(JobRecord::Submit(jobs))).expect("the log is up");
    wait_until("jobs have the whole limit", || {
        limit_of_jobs(&fleet) == LIMIT
    });
    assert_eq!(fleet.probe(0), Outcome::Complete);
    wait_until("requests have a part", || limit_of_jobs(&fleet) < LIMIT);
}

fn limit_of_jobs(fleet: &Fleet) -> u32 {
    let state = fleet.state();
    let team = &state.config.teams[TEAMS[0].0];
    state.limits.jobs_of(team)
}

fn job(n: u32) -> Job {
    Job {
        id: format!("settle-{n}").into(),
        team: TEAMS[0].0.into(),
        class: "settle".into(),
        urgency: Urgency::Patient,
        need: Resources::default(),
        run_time: Duration::from_secs(1),
        idempotent: true,
        command: "settle".into(),
        group: None,
    }
}
