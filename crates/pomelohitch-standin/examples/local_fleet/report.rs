//! Prints the results of a run and decides the exit code.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use hdrhistogram::Histogram;
use pomelohitch_standin::Tally;
use pomelohitch_standin::caller::{FinishedCall, Outcome as Seen};
use pomelohitch_standin::jobs::{self, Submission};

use crate::fleet::Fleet;
use crate::run::Outcome;

/// Maximum number of distinct failures that are printed.
const MAX_REASONS: usize = 12;

/// Upper bound of the recorded latencies; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Prints the outcomes of the load; success only if both tallies are clean, some requests and jobs
/// succeeded, and the replaced entry instance exited with 0.
pub fn print(fleet: &Fleet, outcome: &Outcome) -> ExitCode {
    let ledgers = fleet.runner_ledgers();
    let total = Tally::count(&outcome.calls, &ledgers);
    println!(
        "{:22} {:>6} {:>6} {:>15} {:>8} {:>5} {:>8} {:>13} {:>6} {:>9} {:>8} {:>8}",
        "requests",
        "sent",
        "whole",
        "refused not run",
        "unknown",
        "lost",
        "doubled",
        "false not-run",
        "wrong",
        "repeated",
        "p50 ms",
        "p99 ms"
    );
    for idempotent in [true, false] {
        for patient in [false, true] {
            let is_kind = |done: &&FinishedCall| {
                done.call.idempotent == idempotent && done.call.patient == patient
            };
            let calls: Vec<&FinishedCall> = outcome.calls.iter().filter(is_kind).collect();
            let name = format!(
                "{}idempotent {}",
                if idempotent { "" } else { "non-" },
                if patient { "patient" } else { "quick" }
            );
            row(
                &name,
                &Tally::count(calls.iter().copied(), &ledgers),
                &calls,
            );
        }
    }
    row("all", &total, &outcome.calls.iter().collect::<Vec<_>>());
    print_reasons(&outcome.calls);
    let jobs = jobs::Tally::count(&outcome.jobs, &fleet.worker_ledger());
    print_jobs(&jobs, &outcome.jobs);
    let exit = outcome.replaced_exit;
    println!("the replaced entry instance ended with code {exit:?}");
    for args in [&["report", "burn"][..], &["status"]] {
        println!("\n$ pomelohitch {}\n{}", args.join(" "), fleet.query(args));
    }
    let is_clean = total.is_clean() && jobs.is_clean();
    if is_clean && total.complete > 0 && jobs.ended > 0 && exit == Some(0) {
        ExitCode::SUCCESS
    } else {
        println!("logs of the entry instances: {}", fleet.log_dir.display());
        ExitCode::FAILURE
    }
}

fn row(name: &str, tally: &Tally, calls: &[&FinishedCall]) {
    // An auto-resizing histogram would clamp to its initial, tiny range in `saturating_record`.
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3).expect("three digits are allowed");
    for done in calls.iter().filter(|done| done.outcome == Seen::Complete) {
        let micros = u64::try_from(done.latency.as_micros()).unwrap_or(u64::MAX);
        latencies.saturating_record(micros);
    }
    let ms =
        |quantile| Duration::from_micros(latencies.value_at_quantile(quantile)).as_secs_f64() * 1e3;
    println!(
        "{name:22} {:>6} {:>6} {:>15} {:>8} {:>5} {:>8} {:>13} {:>6} {:>9} {:>8.1} {:>8.1}",
        tally.sent,
        tally.complete,
        tally.refused,
        tally.unknown,
        tally.lost + tally.hung,
        tally.doubled,
        tally.false_not_run,
        tally.wrong,
        tally.repeated,
        ms(0.5),
        ms(0.99)
    );
}

/// Prints the reasons of incomplete requests, the most frequent first.
fn print_reasons(calls: &[FinishedCall]) {
    let mut reasons = BTreeMap::<String, usize>::new();
    for done in calls {
        let (kind, text) = match &done.outcome {
            Seen::Complete => continue,
            Seen::NotRun(text) => ("not run", text),
            Seen::Unknown(text) => ("unknown", text),
            Seen::Wrong(text) => ("wrong", text),
            Seen::Hung => ("hung", &"".into()),
        };
        *reasons.entry(format!("{kind}: {text}")).or_default() += 1;
    }
    let mut reasons: Vec<_> = reasons.into_iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for (reason, count) in reasons.into_iter().take(MAX_REASONS) {
        println!("{count:>6} x {reason}");
    }
}

fn print_jobs(tally: &jobs::Tally, all: &[jobs::SubmittedJob]) {
    println!(
        "{:22} {:>6} {:>6} {:>15} {:>8} {:>5} {:>8}",
        "jobs", "sent", "ended", "refused not run", "unknown", "lost", "doubled"
    );
    println!(
        "{:22} {:>6} {:>6} {:>15} {:>8} {:>5} {:>8}",
        "all", tally.sent, tally.ended, tally.refused, tally.unknown, tally.lost, tally.doubled
    );
    let mut reasons = BTreeMap::<String, usize>::new();
    for done in all {
        let reason = match (&done.submission, &done.last) {
            (Submission::NotRun(text), _) => format!("not run: {text}"),
            (Submission::Unknown(text), _) => format!("unknown: {text}"),
            (Submission::Accepted(_), None) => "taken in, then not found".to_owned(),
            (Submission::Accepted(_), Some(view)) => match &view.end {
                Some(end) => format!("ended: {:?}, {:?}", end.outcome, end.reason),
                None => format!("not ended: {}", view.state),
            },
        };
        *reasons.entry(reason).or_default() += 1;
    }
    for (reason, count) in reasons {
        println!("{count:>6} x {reason}");
    }
}
