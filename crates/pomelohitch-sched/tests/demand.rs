//! Tests of the demand forecast.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::ServiceName;
use pomelohitch_sched::demand::{Demand, StepTimes};
use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::resources::Resources;

const AHEAD: Duration = Duration::from_secs(2);

fn steps(cpu: u64, millis: u64) -> Vec<StepSpec> {
    vec![StepSpec {
        count: 1,
        need: Resources {
            cpu,
            ..Resources::default()
        },
        estimate: Duration::from_millis(millis),
        ..StepSpec::default()
    }]
}

/// The declared run times.
fn declared(step: &StepSpec) -> StepTimes {
    StepTimes {
        task: step.estimate,
        all: step.estimate,
    }
}

/// Adds jobs of one core for 0.8 s until `until_ms`, at the rate `per_second` of the time.
fn add_jobs(
    demand: &mut Demand,
    name: &ServiceName,
    until_ms: u64,
    per_second: impl Fn(u64) -> u64,
) {
    for at in (0..until_ms).step_by(100) {
        for _ in 0..per_second(at) / 10 {
            demand.add(name, &steps(1000, 800), at, declared);
        }
    }
}

fn cores(demand: &Demand, name: &ServiceName, now_ms: u64, ahead: Duration) -> f64 {
    demand.peak(name, now_ms, ahead) / 1000.0
}

/// Guards against provisioning only for what has arrived while a burst builds up, which takes
/// longer than a move. Arrivals rise by 40 per second each second and need over 100 cores two
/// seconds later; 42 cores would be provided without extrapolation, 56 with it.
#[test]
fn rising_arrivals_are_extrapolated() {
    let name: ServiceName = Arc::from("s");
    let mut demand = Demand::default();
    add_jobs(&mut demand, &name, 2_000, |at| at * 40 / 1000);
    let forecast = cores(&demand, &name, 2_000, AHEAD);
    assert!(forecast > 50.0, "{forecast}");
}

/// Guards against taking one large job for the start of a burst, which would move half of the
/// fleet.
#[test]
fn one_large_job_is_not_extrapolated() {
    let name: ServiceName = Arc::from("s");
    let mut demand = Demand::default();
    demand.add(&name, &steps(20_000, 2_000), 10_000, declared);
    let forecast = cores(&demand, &name, 10_100, AHEAD);
    assert!(forecast <= 20.0, "{forecast}");
}

/// Bursts come every 16 s. After one and a half periods the next burst is forecast before it
/// begins, and a pause between bursts is known to last.
#[test]
fn bursts_are_forecast_by_their_period() {
    let name: ServiceName = Arc::from("s");
    let other: ServiceName = Arc::from("other");
    let mut demand = Demand::default();
    let is_burst = |at: u64| at % 16_000 < 4_000;
    add_jobs(&mut demand, &name, 30_500, |at| {
        if is_burst(at) { 100 } else { 0 }
    });
    add_jobs(&mut demand, &other, 30_500, |at| {
        if is_burst(at + 8_000) { 100 } else { 0 }
    });
    demand.refresh(30_500);
    assert_eq!(demand.period(), Some(Duration::from_secs(16)));
    assert!(cores(&demand, &name, 30_500, AHEAD) > 40.0);
    assert!(cores(&demand, &other, 30_500, AHEAD) < 5.0);
}

/// Guards against noticing the end of a burst too late. The last jobs run for two more seconds;
/// judged by outstanding work, hundreds of instances would stay in a pool without work for that
/// time.
#[test]
fn the_end_of_a_burst_is_detected_when_arrivals_stop() {
    let name: ServiceName = Arc::from("quotes");
    let mut demand = Demand::default();
    for at in (0..8_000).step_by(100) {
        let per_step = if at < 4_000 { 6 } else { 0 };
        for _ in 0..per_step {
            demand.add(&name, &steps(1000, 2_000), at, declared);
        }
    }
    let forecast = |at| demand.forecast(&name, at, AHEAD).map(|f| f / 1000.0);
    assert_eq!(forecast(500), None, "the burst has just begun");
    let after_burst = forecast(5_000).expect("forecast, since arrivals stopped a second ago");
    assert!(
        after_burst < 90.0,
        "{after_burst} cores, after 120 were in use"
    );
}

/// Guards against scaling for a period that is over: when callers stop, instances would be kept,
/// and switched on again and again, for bursts that do not come.
#[test]
fn a_period_whose_bursts_stop_is_not_trusted() {
    let mut demand = Demand::default();
    let service: ServiceName = "one".into();
    let step = StepSpec {
        count: 4,
        need: Resources {
            cpu: 10_000,
            ..Resources::default()
        },
        estimate: Duration::from_secs(1),
        ..StepSpec::default()
    };
    let second = 1_000;
    let is_burst = |at_ms: u64| at_ms % (8 * second) < 2 * second;
    for at_ms in (0..32 * second).step_by(100).filter(|at| is_burst(*at)) {
        demand.add(&service, std::slice::from_ref(&step), at_ms, declared);
        demand.refresh(at_ms);
    }
    let ahead = Duration::from_secs(2);
    demand.refresh(32 * second);
    assert!(demand.period().is_some());
    let before_burst = demand.peak(&service, 31 * second, ahead);
    demand.refresh(33 * second + 500);
    let during_burst = demand.peak(&service, 33 * second + 500, ahead);
    assert!(before_burst > 100_000.0, "{before_burst}");
    assert!(during_burst < 0.1 * before_burst, "{during_burst}");
}
