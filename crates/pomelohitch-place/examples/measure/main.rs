//! Simulates batch placement in virtual time with fixed seeds, and compares the planner with two
//! baselines.
//!
//! `cargo run --release -p pomelohitch-place --example measure [FLEET [POLICY]]`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for display"
)]

use std::cell::RefCell;
use std::time::Duration;

use pomelohitch_place::planner::TeamQuota;
use pomelohitch_place::{Options, Planner};

mod baseline;
mod load;
mod simulation;

use baseline::Baseline;
use load::{Fleet, Load};
use simulation::{Policy, Results, Simulation};

fn main() {
    let only = std::env::args().nth(1);
    let fleets = [
        Fleet {
            name: "snehopas",
            workers: 50,
            cores: 16,
            teams: 6,
            zones: 4,
            duration: Duration::from_hours(6),
            tick: Duration::from_millis(50),
            seed: 1,
        },
        Fleet {
            name: "siam-noel",
            workers: 50,
            cores: 32,
            teams: 6,
            zones: 4,
            duration: Duration::from_hours(6),
            tick: Duration::from_millis(50),
            seed: 2,
        },
        Fleet {
            name: "ten-fold",
            workers: 500,
            cores: 16,
            teams: 24,
            zones: 4,
            duration: Duration::from_hours(2),
            tick: Duration::from_millis(50),
            seed: 3,
        },
        Fleet {
            name: "letter",
            workers: 6800,
            cores: 16,
            teams: 240,
            zones: 7,
            duration: Duration::from_mins(30),
            tick: Duration::from_millis(100),
            seed: 4,
        },
    ];
    for fleet in fleets {
        if only.as_deref().is_none_or(|only| only == fleet.name) {
            measure(&fleet, std::env::args().nth(2).as_deref());
        }
    }
}

fn measure(fleet: &Fleet, only: Option<&str>) {
    let is_wanted = |name: &str| only.is_none_or(|only| only == name);
    let load = Load::new(fleet);
    println!(
        "\n{}: {} workers of {} cores, {} teams, {} jobs, {} of virtual time, seed {}",
        fleet.name,
        fleet.workers,
        fleet.cores,
        fleet.teams,
        load.jobs.len(),
        minutes(fleet.duration),
        fleet.seed
    );
    let baseline = |name, has_priority| {
        if !is_wanted(name) {
            return;
        }
        let baseline = RefCell::new(Baseline {
            has_priority,
            ..Baseline::default()
        });
        let results = Simulation::new(fleet, &load, baseline_policy(&baseline)).run();
        print(name, &results);
    };
    let planner = RefCell::new(Planner::new(Options::default()));
    for (team, share) in &load.shares {
        let quota = TeamQuota {
            share: *share,
            limit: u32::MAX,
        };
        planner.borrow_mut().set_team(team, quota);
    }
    if is_wanted("ours") {
        print(
            "ours",
            &Simulation::new(fleet, &load, planner_policy(&planner)).run(),
        );
    }
    baseline("fifo-first-fit", false);
    baseline("priority-no-shares", true);
}

fn planner_policy(planner: &RefCell<Planner>) -> Policy<'_> {
    Policy {
        set_worker: Box::new(|worker, now| planner.borrow_mut().set_worker(worker.clone(), now)),
        set_job: Box::new(|id, state, now| {
            planner.borrow_mut().set_job(id, state.jobs.get(id), now);
        }),
        observe_usage: Box::new(|id, attempt, used| {
            planner.borrow_mut().observe_usage(id, attempt, used);
        }),
        observe_end: Box::new(|id, attempt, end, now| {
            planner.borrow_mut().observe_end(id, attempt, end, now);
        }),
        observe_memory_kill: Box::new(|id, memory| {
            planner.borrow_mut().observe_memory_kill(id, memory);
        }),
        decide: Box::new(|now| planner.borrow_mut().decide(now)),
    }
}

fn baseline_policy(baseline: &RefCell<Baseline>) -> Policy<'_> {
    Policy {
        set_worker: Box::new(|worker, _| {
            let mut baseline = baseline.borrow_mut();
            baseline.workers.insert(worker.id.clone(), worker.clone());
        }),
        set_job: Box::new(|id, state, _| baseline.borrow_mut().set_job(id, state.jobs.get(id))),
        observe_usage: Box::new(|_, _, _| {}),
        observe_end: Box::new(|_, _, _, _| {}),
        observe_memory_kill: Box::new(|_, _| {}),
        decide: Box::new(|now| baseline.borrow_mut().decide(now)),
    }
}

fn print(name: &str, results: &Results) {
    println!("  {name}:");
    println!(
        "    urgent wait p50 {} p99 {} max {} (of {}, {} unstarted after more than 4.5 s at the end)",
        seconds(quantile(&results.urgent_waits, 0.5)),
        seconds(quantile(&results.urgent_waits, 0.99)),
        seconds(quantile(&results.urgent_waits, 1.0)),
        results.urgent_waits.len(),
        results.urgent_unstarted,
    );
    println!(
        "    patient wait p50 {} p99 {}, over their bound {} of {}, max {:.2} of the bound",
        seconds(quantile(&results.patient_waits, 0.5)),
        seconds(quantile(&results.patient_waits, 0.99)),
        results.beyond_bound,
        results.patient_counted,
        results.max_wait_to_bound,
    );
    println!(
        "    allocated {:.1}%, used {:.1}%, max deviation from share {:.1}%, ended {}, oversubscribed {}",
        results.allocated * 100.0,
        results.actually_used * 100.0,
        results.max_share_deviation * 100.0,
        results.ended,
        results.oversubscribed,
    );
    println!(
        "    checkpoints {} (work lost {:.2}%), memory kills {} (work lost {:.2}%)",
        results.checkpoints,
        results.lost_to_checkpoints * 100.0,
        results.kills,
        results.lost_to_kills * 100.0,
    );
    let quarantined: Vec<_> = results
        .quarantined_after
        .iter()
        .copied()
        .map(seconds)
        .collect();
    println!(
        "    impossible jobs refused {} of {}; faulty workers quarantined after [{}], other workers {}",
        results.refused,
        results.impossible,
        quarantined.join(", "),
        results.wrongly_quarantined,
    );
    println!(
        "    decision p50 {} p99 {} max {} (of {}), {:.1} us per job change (of {})",
        micros(quantile(&results.decide_times, 0.5)),
        micros(quantile(&results.decide_times, 0.99)),
        micros(quantile(&results.decide_times, 1.0)),
        results.decide_times.len(),
        results.decide_times.iter().sum::<Duration>().as_secs_f64() * 1e6
            / f64::from(results.changes),
        results.changes,
    );
}

fn quantile(values: &[Duration], level: f64) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * level).round() as usize;
    sorted.get(at).copied().unwrap_or_default()
}

fn seconds(duration: Duration) -> String {
    format!("{:.2} s", duration.as_secs_f64())
}

fn micros(duration: Duration) -> String {
    format!("{} us", duration.as_micros())
}

fn minutes(duration: Duration) -> String {
    format!("{} min", duration.as_secs() / 60)
}
