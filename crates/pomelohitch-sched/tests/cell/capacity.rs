//! Endpoint capacity that shrinks and grows at run time.

use std::time::Duration;

use pomelohitch_sched::Resources;
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const ID: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";

fn capacity(cpu: u64) -> Resources {
    Resources {
        cpu,
        mem_mb: 4000,
        gpu: 0,
    }
}

#[test]
fn nothing_starts_beyond_shrunken_capacity_until_it_grows_again() {
    let mut fleet = Fleet::new(1);
    fleet.submit(ID, job(vec![step(3, 1000, 9_000)]));
    fleet.advance(30);
    fleet.resize("e0", capacity(2000));
    fleet.advance(460);
    fleet.submit(OTHER, job(vec![step(1, 1000, 300)]));
    fleet.advance(100);
    fleet.assert_invariants();
    assert_eq!(fleet.starts.len(), 3);
    fleet.resize("e0", capacity(4000));
    fleet.advance(60);
    assert_eq!(fleet.state(OTHER), Answer::State(JobState::Completed));
    fleet.advance(600);
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

/// Guards against a start that is sent although capacity shrank after it was decided.
#[test]
fn a_start_whose_record_took_long_is_dropped_if_capacity_has_shrunk() {
    let mut fleet = Fleet::new(1);
    fleet.log_delay = Duration::from_secs(6);
    fleet.submit(ID, job(vec![step(4, 1000, 300)]));
    fleet.advance(100);
    fleet.resize("e0", capacity(2000));
    fleet.advance(2_400);
    fleet.log_delay = Duration::ZERO;
    fleet.advance(2_000);
    fleet.assert_invariants();
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

/// Guards against starts by the capacity known before an outage of the log, until the endpoints'
/// entries have been read again.
#[test]
fn nothing_starts_after_an_outage_until_entries_are_read() {
    let mut fleet = Fleet::new(1);
    fleet.advance(50);
    fleet.is_log_up = false;
    fleet.submit(ID, job(vec![step(4, 1000, 300)]));
    fleet.advance(100);
    fleet.reads_entries = false;
    fleet.resize("e0", capacity(2000));
    fleet.advance(600);
    fleet.is_log_up = true;
    fleet.advance(50);
    fleet.assert_invariants();
    fleet.list_endpoints();
    fleet.reads_entries = true;
    fleet.advance(200);
    fleet.assert_invariants();
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

/// Guards against starting some members of a gang while others are dropped.
#[test]
fn a_gang_is_dropped_as_a_whole_if_capacity_of_one_endpoint_has_shrunk() {
    let mut fleet = Fleet::new(2);
    fleet.log_delay = Duration::from_secs(6);
    let gang = StepSpec {
        is_gang: true,
        ..step(6, 1000, 300)
    };
    fleet.submit(ID, job(vec![gang]));
    fleet.advance(100);
    fleet.resize("e0", capacity(1000));
    fleet.advance(1_200);
    fleet.assert_invariants();
    assert!(fleet.starts.is_empty(), "{:?}", fleet.starts);
    fleet.log_delay = Duration::ZERO;
    fleet.resize("e0", capacity(4000));
    fleet.advance(2_000);
    fleet.assert_invariants();
    assert_eq!(fleet.state(ID), Answer::State(JobState::Completed));
}

/// Guards against fillers on an endpoint whose allocated processors exceed its capacity.
#[test]
fn fillers_do_not_start_where_capacity_has_shrunk_below_usage() {
    let mut fleet = Fleet::new(1);
    fleet.submit(ID, job(vec![step(3, 1000, 9_000)]));
    fleet.advance(30);
    fleet.resize("e0", capacity(2000));
    let filler = StepSpec {
        is_filler: true,
        ..step(1, 1000, 300)
    };
    fleet.advance(460);
    fleet.submit(OTHER, job(vec![filler]));
    fleet.advance(100);
    fleet.assert_invariants();
    assert_eq!(fleet.starts.len(), 3);
}

/// Guards against a new leader that places tasks by outdated capacity.
#[test]
fn a_new_leader_places_tasks_by_the_shrunken_capacity() {
    let mut fleet = Fleet::new(1);
    fleet.submit(ID, job(vec![step(2, 1000, 9_000)]));
    fleet.advance(30);
    fleet.resize("e0", capacity(2500));
    fleet.advance(460);
    fleet.change_leader();
    fleet.submit(OTHER, job(vec![step(1, 1000, 300)]));
    fleet.advance(200);
    fleet.assert_invariants();
    assert_eq!(fleet.starts.len(), 2);
}
