use std::time::Duration;

use pomelohitch_core::id::InstanceId;
use pomelohitch_route::pick::{Candidate, Outcome, Picker};

const START: Duration = Duration::from_secs(100);

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|i| format!("runner-{i}").into()).collect()
}

fn idle(ids: &[InstanceId]) -> Vec<Candidate<'_>> {
    ids.iter()
        .enumerate()
        .map(|(i, id)| Candidate {
            id,
            is_same_zone: i % 2 == 0,
            running: 0,
            has_slot: true,
        })
        .collect()
}

fn picks(picker: &mut Picker, candidates: &[Candidate<'_>], now: Duration) -> Vec<InstanceId> {
    let pick = |random| picker.pick(candidates, None, now, random).unwrap();
    (0..100).map(pick).collect()
}

#[test]
fn near_runners_go_first_until_they_are_busier() {
    let ids = ids(4);
    let mut picker = Picker::default();
    let mut candidates = idle(&ids);
    let near = |picked: &[InstanceId]| picked.iter().all(|id| *id == ids[0] || *id == ids[2]);
    assert!(near(&picks(&mut picker, &candidates, START)));
    candidates[0].running = 1;
    candidates[2].running = 1;
    assert!(!near(&picks(&mut picker, &candidates, START)));
}

/// A runner hangs and every request to it is lost. If it were still picked, callers would lose one
/// answer in four; when it works again, it must be probed with few requests.
#[test]
fn a_failing_runner_is_ejected_and_probed_one_request_at_a_time() {
    let ids = ids(4);
    let mut picker = Picker::default();
    let candidates = idle(&ids);
    for _ in 0..3 {
        picker.record(&ids[0], Outcome::Failed, START);
    }
    assert!(!picks(&mut picker, &candidates, START).contains(&ids[0]));
    let later = START + Duration::from_secs(2);
    let probes = picks(&mut picker, &candidates, later);
    assert_eq!(probes.iter().filter(|id| **id == ids[0]).count(), 1);
    picker.record(&ids[0], Outcome::Answered(Duration::from_millis(5)), later);
    assert!(picks(&mut picker, &candidates, later).contains(&ids[0]));
}

/// A switch fails and all runners with it, or the requests themselves are at fault. If all runners
/// were ejected, nothing would be served although most may work again.
#[test]
fn runners_are_not_ejected_when_all_fail_at_once() {
    let ids = ids(4);
    let mut picker = Picker::default();
    for id in &ids {
        for _ in 0..5 {
            picker.record(id, Outcome::Failed, START);
        }
    }
    assert!(picker.pick(&idle(&ids), None, START, 0).is_some());
}

#[test]
fn a_slow_runner_is_used_only_when_no_other_is_free() {
    let ids = ids(4);
    let mut picker = Picker::default();
    for id in &ids[1..] {
        picker.record(id, Outcome::Answered(Duration::from_millis(10)), START);
    }
    picker.record(
        &ids[0],
        Outcome::Answered(Duration::from_millis(100)),
        START,
    );
    let mut candidates = idle(&ids);
    assert!(!picks(&mut picker, &candidates, START).contains(&ids[0]));
    for candidate in &mut candidates[1..] {
        candidate.has_slot = false;
    }
    assert_eq!(
        picker.pick(&candidates, None, START, 0).as_ref(),
        Some(&ids[0])
    );
}

#[test]
fn a_full_runner_is_not_ejected() {
    let ids = ids(2);
    let mut picker = Picker::default();
    for _ in 0..10 {
        picker.record(&ids[0], Outcome::Refused, START);
    }
    assert!(picks(&mut picker, &idle(&ids), START).contains(&ids[0]));
}
