use std::time::Duration;

use pomelohitch_burn::{Ledger, Report, plot};
use pomelohitch_core::{Objective, Service};

use super::ledger::record;

fn service() -> Service {
    Service {
        id: "passes".into(),
        pool: "sales".into(),
        min_available: 1,
        slots: 8,
        connections: 64,
        timeout: Duration::from_secs(5),
        longest_run: Duration::from_secs(5),
        queue: 10,
        objective: Some(Objective {
            within: Duration::from_millis(800),
            good_ppm: 990_000,
            window: Duration::from_hours(24),
        }),
    }
}

/// A day with 100 answers a minute, of which `bad` are bad in each of the last `minutes`.
fn day(minutes: u64, bad: u64) -> Ledger {
    let mut ledger = Ledger::default();
    let now = 24 * 60;
    for minute in 1..=now {
        let bad = if minute + minutes > now { bad } else { 0 };
        ledger.add(&record("a", minute, minute, 100 - bad, bad));
    }
    ledger
}

fn report(ledger: &Ledger) -> Report {
    Report::new(ledger, [&service()], 24 * 60)
}

#[test]
fn budget_left_and_burn_rates_are_computed_from_the_counts() {
    let report = report(&day(6 * 60, 2));
    insta::assert_json_snapshot!(report.lines[0], @r##"
    {
      "service": "passes",
      "team": null,
      "good_ppm": 990000,
      "answers": {
        "good": 143280,
        "bad": 720
      },
      "budget_left": 0.5,
      "burns": [
        {
          "minutes": 5,
          "burn": 2.0
        },
        {
          "minutes": 30,
          "burn": 2.0
        },
        {
          "minutes": 60,
          "burn": 2.0
        },
        {
          "minutes": 360,
          "burn": 2.0
        },
        {
          "minutes": 4320,
          "burn": 0.5
        }
      ],
      "alarm": false
    }
    "##);
}

/// All answers of the last ten minutes are bad.
#[test]
fn a_fast_burn_raises_an_alarm() {
    assert!(report(&day(10, 100)).is_burning());
}

/// All answers were bad for ten minutes, an hour ago: part of the budget is used, but no rule holds
/// over both of its windows.
#[test]
fn a_burn_that_has_ended_raises_no_alarm() {
    let mut ledger = Ledger::default();
    for minute in 1..=24 * 60_u64 {
        let bad = if (1370..1380).contains(&minute) {
            100
        } else {
            0
        };
        ledger.add(&record("a", minute, minute, 100 - bad, bad));
    }
    let report = report(&ledger);
    assert!(!report.is_burning());
    assert!(report.lines[0].budget_left.is_some_and(|left| left < 1.0));
}

#[test]
fn a_service_without_answers_has_neither_burn_nor_alarm() {
    let report = report(&Ledger::default());
    assert_eq!(report.lines[0].budget_left, None);
    assert!(!report.is_burning());
}

#[test]
fn the_plot_has_a_line_for_each_service() {
    let svg = plot::budget_left(&day(60, 50), [&service()], 24 * 60, 24 * 60);
    let svg = svg.expect("the plot can be drawn");
    assert!(svg.contains("<polyline"), "{svg}");
    assert!(svg.contains("passes"), "{svg}");
}
