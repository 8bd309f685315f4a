//! Tests of job records.

use pomelohitch_sched::progress::{
    self, Backoff, Entry, JobState, Occurrence, Progress, Run, RunView, Task,
};
use pomelohitch_sched::suspicion::Suspicion;

/// Arbitrary values from which [`task`] builds a task that a record can hold.
type RawTask = (bool, u8, u8, u8, Vec<(u8, u8, bool)>);

fn task((is_done, last_run, failures, checkpoint, runs): &RawTask) -> Task {
    let run = |&(number, at, is_leaving): &(u8, u8, bool)| Run {
        number: number.into(),
        endpoint: format!("i-{}", at % 3).into(),
        born: u64::from(at / 3 % 2),
        is_leaving,
        is_settled: number % 2 == 0,
        view: RunView::default(),
    };
    let runs: Vec<Run> = runs.iter().take(2).map(run).collect();
    let is_done_without_runs = *is_done && runs.is_empty();
    Task {
        is_done: *is_done,
        last_run: (*last_run % 4).into(),
        failures: if is_done_without_runs {
            0
        } else {
            (*failures % 2).into()
        },
        suspicion: if is_done_without_runs {
            Suspicion::default()
        } else {
            Suspicion {
                lost: (*failures / 2 % 4).into(),
                certain: (*failures / 8 % 3).into(),
                alone: (*failures / 16 % 2).into(),
                is_suspect: *failures / 32 % 2 == 1,
            }
        },
        checkpoint: match checkpoint % 3 {
            0 if !is_done_without_runs => "c".into(),
            _ => Box::default(),
        },
        runs,
        failed_at: Vec::new(),
        backoff: Backoff::default(),
    }
}

fn decode_progress(record: &progress::Record) -> Progress {
    let value = record
        .value
        .as_ref()
        .expect("records of progress have a value");
    match progress::decode(&record.key, value) {
        Ok(Entry::Progress(1, progress)) => progress,
        other => panic!("{other:?}"),
    }
}

/// Guards against a new leader that restores other runs than its predecessor recorded.
#[test]
fn records_round_trip() {
    pomelohitch_property::check(|(state, steps): &(u8, Vec<Vec<RawTask>>)| {
        let never_ran = |t: &Task| t.last_run == 0 && t.runs.is_empty() && !t.is_done;
        let tasks = |raw: &Vec<RawTask>| -> Vec<Task> {
            let tasks = raw.iter().take(4).map(task);
            tasks
                .filter(|t| !never_ran(t) || *t == Task::default())
                .collect()
        };
        let steps = steps.iter().take(4).map(tasks).collect();
        let progress = Progress {
            state: [JobState::Queued, JobState::Running, JobState::Failed][usize::from(state % 3)],
            ended_ms: u64::from(*state) * 1_000_000_000,
            is_given_up: *state > 127,
            open: [(u32::from(*state), Occurrence { steps })].into(),
            next: u32::from(*state) + 1,
        };
        let record =
            progress::encode_progress(1, &progress).expect("encoding progress does not fail");
        assert_eq!(decode_progress(&record), progress);
    });
}

/// Guards against records so large that they fill the link of a busy leader.
#[test]
fn runs_are_encoded_in_few_bytes() {
    let run = |at: u32| Task {
        last_run: 1,
        runs: vec![Run {
            number: 1,
            endpoint: format!("i-4ab4703e6{}", at / 8).into(),
            born: 1_770_000_000_000,
            is_leaving: false,
            is_settled: false,
            view: RunView::default(),
        }],
        ..Task::default()
    };
    let progress = |tasks: Vec<Task>| Progress {
        open: [(0, Occurrence { steps: vec![tasks] })].into(),
        ..Progress::default()
    };
    let bytes = |tasks| {
        let record = progress::encode_progress(1, &progress(tasks))
            .expect("encoding progress does not fail");
        record.value.map_or(0, |v| v.len())
    };
    let runs = bytes((0..32).map(run).collect());
    assert!(runs <= 32 * 6, "{runs}");
    let waiting = bytes(vec![Task::default(); 32]);
    assert!(waiting <= 48, "{waiting}");
}

/// Guards against a panic while decoding a damaged record, such as one in which a run refers to an
/// endpoint that the record doesn't list.
#[test]
fn arbitrary_bytes_are_decoded_or_refused() {
    pomelohitch_property::check(|bytes: &Vec<u8>| {
        let key = progress::progress_key(1);
        let _ = progress::decode(&key, bytes);
    });
}
