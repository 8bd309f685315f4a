//! Tests of learned run times.

use std::time::Duration;

use pomelohitch_sched::estimates::Estimates;
use pomelohitch_sched::id::QueueName;
use pomelohitch_sched::job::StepSpec;

const NOW: u64 = 1_000_000;

/// A sequence of numbers that are normally distributed.
struct Normal(u64);

impl Normal {
    fn next(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.uniform()).sum();
        sum - 6.0
    }

    fn uniform(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let high = u32::try_from(self.0 >> 32).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }
}

/// A step as its caller declares it, and how long its tasks take.
struct Sample {
    step: StepSpec,
    took: Vec<Duration>,
}

/// Steps of eight tasks of about a second. Declared times are off by `factor`, and at random by half
/// either way; tasks of a step differ by a third.
fn samples(count: usize, factor: f64, seed: u64) -> Vec<Sample> {
    let mut normal = Normal(seed);
    let sample = |_| {
        let seconds = (normal.next() * 0.5).exp();
        let declared = seconds * factor * (normal.next() * 0.5).exp();
        let task = |_| Duration::from_secs_f64(seconds * (normal.next() * 0.3).exp());
        Sample {
            took: (0..8).map(task).collect(),
            step: step(declared),
        }
    };
    (0..count).map(sample).collect()
}

fn step(declared: f64) -> StepSpec {
    StepSpec {
        count: 8,
        estimate: Duration::from_secs_f64(declared),
        ..StepSpec::default()
    }
}

fn queue(name: &str) -> QueueName {
    name.into()
}

fn learned_from(samples: &[Sample]) -> Estimates {
    let mut estimates = Estimates::default();
    for Sample { step, took } in samples {
        estimates.record(&queue("q"), step, took, NOW);
    }
    estimates
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).expect("few values"))
}

/// Mean distance of the expected time of a step from the actual one, as a logarithm.
fn error(of: impl Fn(&StepSpec) -> Duration, samples: &[Sample]) -> f64 {
    mean(samples.iter().map(|s| {
        let longest = s.took.iter().max().expect("a step has tasks");
        (of(&s.step).as_secs_f64() / longest.as_secs_f64())
            .ln()
            .abs()
    }))
}

/// Load: a queue whose declared run times are off by half either way, as a whole and at random.
/// Expected times have to be closer to the actual ones by a fifth, and right on average.
#[test]
fn declared_times_that_are_off_by_half_are_corrected() {
    for factor in [0.5, 1.0, 1.5] {
        let estimates = learned_from(&samples(60, factor, 1));
        let later = samples(400, factor, 2);
        let expected = |s: &StepSpec| estimates.expect_step(&queue("q"), s, 8).time;
        let before = error(|s| s.estimate, &later);
        let after = error(expected, &later);
        assert!(after < before * 0.8, "{factor}: {before} to {after}");
        let task = |s: &Sample| estimates.expect(&queue("q"), &s.step).time.as_secs_f64();
        let work = mean(later.iter().map(task));
        let actual = mean(
            later
                .iter()
                .flat_map(|s| &s.took)
                .map(Duration::as_secs_f64),
        );
        assert!(
            (work / actual - 1.0).abs() < 0.15,
            "{factor}: {work}, {actual}"
        );
    }
}

/// Load: the same. The deviation has to tell how far actual times are from the expected ones.
#[test]
fn the_deviation_tells_how_far_times_are_off() {
    let estimates = learned_from(&samples(100, 0.5, 1));
    let is_within = |s: &Sample| {
        let expected = estimates.expect_step(&queue("q"), &s.step, 8);
        let longest = s.took.iter().max().expect("a step has tasks");
        longest.abs_diff(expected.time) <= expected.deviation
    };
    let later = samples(400, 0.5, 2);
    let within = mean(later.iter().map(|s| f64::from(u8::from(is_within(s)))));
    assert!((0.55..0.85).contains(&within), "{within}");
}

/// Load: tasks of a step take differently long, and it ends with the slowest.
#[test]
fn a_step_takes_as_long_as_the_slowest_of_its_tasks() {
    let samples = samples(200, 1.0, 1);
    let estimates = learned_from(&samples);
    let one = |s: &Sample| estimates.expect(&queue("q"), &s.step).time.as_secs_f64();
    let all = |s: &Sample| {
        estimates
            .expect_step(&queue("q"), &s.step, 8)
            .time
            .as_secs_f64()
    };
    let longest = |s: &Sample| s.took.iter().max().expect("a step has tasks").as_secs_f64();
    let (one, all) = (mean(samples.iter().map(one)), mean(samples.iter().map(all)));
    let actual = mean(samples.iter().map(longest));
    assert!((all / actual - 1.0).abs() < 0.1, "{all}, {actual}");
    assert!(all > one * 1.3, "{one}, {all}");
    let none = estimates.expect_step(&queue("q"), &samples[0].step, 0);
    assert!(none.time.is_zero());
}

#[test]
fn without_samples_the_declared_time_is_expected_with_a_deviation() {
    let expected = Estimates::default().expect_step(&queue("q"), &step(2.0), 8);
    assert!(expected.time.abs_diff(Duration::from_secs(2)) < Duration::from_millis(1));
    assert!((0.8..1.2).contains(&expected.deviation.as_secs_f64()));
}

/// Guards against one odd step that changes what is expected of a whole queue.
#[test]
fn one_sample_changes_little() {
    let mut estimates = Estimates::default();
    let took = [Duration::from_secs(4); 8];
    estimates.record(&queue("q"), &step(1.0), &took, NOW);
    let expected = estimates.expect(&queue("q"), &step(1.0)).time.as_secs_f64();
    assert!((1.1..1.6).contains(&expected), "{expected}");
    assert!(!estimates.is_learned(&queue("q")));
}

/// Guards against a slow endpoint that isn't known as such: one task of each third step takes eight
/// times as long.
#[test]
fn a_slow_endpoint_changes_little() {
    let mut samples = samples(100, 1.0, 1);
    let task = |s: &Estimates| s.expect(&queue("q"), &step(1.0)).time.as_secs_f64();
    let before = task(&learned_from(&samples));
    for sample in samples.iter_mut().step_by(3) {
        sample.took[0] *= 8;
    }
    let after = task(&learned_from(&samples));
    assert!((after / before - 1.0).abs() < 0.15, "{before}, {after}");
}

/// Load: callers change their habits. What they did before is forgotten, by number and with time.
#[test]
fn older_samples_are_forgotten() {
    let task = |s: &Estimates| s.expect(&queue("q"), &step(1.0)).time.as_secs_f64();
    let took = |seconds| [Duration::from_secs(seconds); 4];
    let mut busy = Estimates::default();
    for seconds in [1, 3] {
        for _ in 0..400 {
            busy.record(&queue("q"), &step(1.0), &took(seconds), NOW);
        }
    }
    assert!(task(&busy) > 2.4, "{}", task(&busy));
    let mut quiet = Estimates::default();
    for (seconds, at) in [(1, NOW), (3, NOW + 3_600_000)] {
        for _ in 0..20 {
            quiet.record(&queue("q"), &step(1.0), &took(seconds), at);
        }
    }
    assert!(task(&quiet) > 2.0, "{}", task(&quiet));
}

/// Guards against memory that grows with the names of queues. The least recently used one goes.
#[test]
fn the_number_of_queues_is_bounded() {
    let mut estimates = Estimates::default();
    let took = [Duration::from_secs(2); 4];
    for index in 0..2_000 {
        let name = queue(&format!("q{index}"));
        for _ in 0..10 {
            estimates.record(&name, &step(1.0), &took, NOW + index);
        }
    }
    assert!(estimates.learned().count() <= 512);
    assert!(!estimates.is_learned(&queue("q0")));
    assert!(estimates.is_learned(&queue("q1999")));
}

/// Guards against a record for each end of a run.
#[test]
fn a_model_is_recorded_seldom_and_restored() {
    let mut estimates = Estimates::default();
    let mut records = Vec::new();
    for (at, sample) in (NOW..).step_by(10).zip(samples(1_000, 0.5, 1)) {
        estimates.record(&queue("q"), &sample.step, &sample.took, at);
        records.extend(estimates.take_records(at).expect("records are encodable"));
    }
    assert!((1..=3).contains(&records.len()), "{}", records.len());
    let mut restored = Estimates::default();
    for record in &records {
        let value = record.value.as_deref().expect("no model was dropped");
        assert!(value.len() < 100, "{}", value.len());
        restored.restore(&record.key, value);
    }
    let (before, after) = (
        estimates.expect(&queue("q"), &step(1.0)),
        restored.expect(&queue("q"), &step(1.0)),
    );
    let ratio = after.time.as_secs_f64() / before.time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
    let known = restored.take_records(NOW + 20_000);
    assert!(known.expect("records are encodable").is_empty());
}

/// Guards against a damaged record, or one of another version, that a leader can't start with.
#[test]
fn a_record_that_cannot_be_used_is_ignored() {
    let mut estimates = Estimates::default();
    estimates.restore("t/q", b"x");
    let not_a_number = [0xff; 200];
    estimates.restore("t/q", &not_a_number);
    assert_eq!(estimates.learned().count(), 0);
}
