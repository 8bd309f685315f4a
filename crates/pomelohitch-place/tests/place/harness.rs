//! A simulated fleet: a planner, and a log that accepts every decision immediately.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use pomelohitch_core::id::JobId;
use pomelohitch_core::record::job::{Job, Resources, Urgency};
use pomelohitch_core::state::JobState;
use pomelohitch_core::state::jobs::{Attempt, Entry, StopCause};
use pomelohitch_place::planner::TeamQuota;
use pomelohitch_place::{Decision, Options, Planner, Worker};

/// A planner with the job entries that the log would hold.
pub struct TestFleet {
    pub planner: Planner,
    pub entries: BTreeMap<JobId, Entry>,
    pub now: Duration,
    next_offset: u64,
}

impl TestFleet {
    /// Creates `count` workers of 16 processors and 64 GiB, four per rack, in up to four zones.
    pub fn new(count: usize) -> TestFleet {
        let mut fleet = TestFleet {
            planner: Planner::new(Options::default()),
            entries: BTreeMap::new(),
            now: Duration::ZERO,
            next_offset: 1,
        };
        for number in 0..count {
            fleet.planner.set_worker(worker(number), Duration::ZERO);
        }
        fleet
    }

    pub fn team(&mut self, id: &str, share: u32, limit: u32) {
        self.planner
            .set_team(&id.into(), TeamQuota { share, limit });
    }

    pub fn submit(&mut self, job: Job) {
        let id = job.id.clone();
        let entry = Entry {
            job: Arc::new(job),
            submitted: self.next_offset,
            state: JobState::Waiting,
            attempts: 0,
            checkpointed: false,
            failed_on: Vec::new(),
            memory_floor_mib: 0,
        };
        self.next_offset += 1;
        self.set_entry(&id, entry);
    }

    pub fn set_entry(&mut self, id: &JobId, entry: Entry) {
        self.planner.set_job(id, Some(&entry), self.now);
        self.entries.insert(id.clone(), entry);
    }

    /// Changes a job's entry and passes it to the planner.
    pub fn update(&mut self, id: &JobId, change: impl FnOnce(&mut Entry)) {
        let mut entry = self.entries[id].clone();
        change(&mut entry);
        self.set_entry(id, entry);
    }

    /// Makes a decision and applies it to the entries, as the log would.
    pub fn decide(&mut self) -> Decision {
        let decision = self.planner.decide(self.now);
        for placement in &decision.place {
            let attempt = Attempt {
                attempt: self.next_offset,
                worker: placement.worker.clone(),
                reserve: placement.reserve,
            };
            self.next_offset += 1;
            self.update(&placement.job, |entry| {
                entry.attempts += 1;
                entry.state = JobState::Running(attempt);
            });
        }
        for preemption in &decision.preempt {
            self.update(&preemption.job, |entry| {
                let attempt = entry
                    .attempt()
                    .expect("only attempts are preempted")
                    .clone();
                entry.state = JobState::Stopping(attempt, StopCause::Preempt);
            });
        }
        for id in &decision.refuse {
            self.end(id);
        }
        decision
    }

    /// Removes a job that has ended.
    pub fn end(&mut self, id: &JobId) {
        self.planner.set_job(id, None, self.now);
        self.entries.remove(id);
    }

    /// Completes all preemptions that are in progress: their jobs wait again.
    pub fn finish_checkpoints(&mut self) {
        let is_stopping = |entry: &&Entry| matches!(entry.state, JobState::Stopping(..));
        let stopping = self.entries.values().filter(is_stopping);
        let ids: Vec<JobId> = stopping.map(|entry| entry.job.id.clone()).collect();
        for id in ids {
            self.update(&id, |entry| {
                entry.state = JobState::Waiting;
                entry.checkpointed = true;
            });
        }
    }

    /// The worker of a job's current attempt.
    pub fn worker_of(&self, id: &str) -> Option<&str> {
        let attempt = self.entries.get(id)?.attempt()?;
        Some(&attempt.worker)
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }
}

pub fn worker(number: usize) -> Worker {
    Worker {
        id: format!("w{number:02}").into(),
        zone: format!("zone-{}", number / 4 % 4).into(),
        rack: format!("rack-{}", number / 4).into(),
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        takes_work: true,
    }
}

/// A patient job with this many processors and GiB of memory and a run time of one minute.
pub fn job(id: &str, team: &str, processors: u64) -> Job {
    Job {
        id: id.into(),
        team: team.into(),
        class: format!("{team}-{processors}").into(),
        urgency: Urgency::Patient,
        need: Resources {
            cpu_milli: processors * 1000,
            memory_mib: processors * 1024,
            accelerators: 0,
        },
        run_time: Duration::from_mins(1),
        idempotent: true,
        command: "".into(),
        group: None,
    }
}

pub fn urgent(id: &str, team: &str, processors: u64) -> Job {
    Job {
        urgency: Urgency::Urgent,
        class: "urgent".into(),
        ..job(id, team, processors)
    }
}

/// Formats a decision as lines of text.
pub fn show(decision: &Decision) -> String {
    let mut text = String::new();
    for placement in &decision.place {
        let cpu = placement.reserve.cpu_milli;
        writeln!(
            text,
            "place {} on {} ({cpu})",
            placement.job, placement.worker
        )
        .expect("writing to a string never fails");
    }
    for preemption in &decision.preempt {
        writeln!(text, "preempt {}", preemption.job).expect("writing to a string never fails");
    }
    for id in &decision.refuse {
        writeln!(text, "refuse {id}").expect("writing to a string never fails");
    }
    for worker in &decision.quarantine {
        writeln!(text, "quarantine {worker}").expect("writing to a string never fails");
    }
    for worker in &decision.release {
        writeln!(text, "release {worker}").expect("writing to a string never fails");
    }
    text
}
