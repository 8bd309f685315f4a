//! Faults in any order: whatever comes, no promise is broken and every job ends.

use bolero::check;

use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::Answer;
use pomelohitch_sched::progress::JobState;

use super::fleet::{Fleet, job, step};

const ENDPOINTS: u8 = 4;

/// What happens next; `which` names an endpoint.
fn disturb(fleet: &mut Fleet, what: u8, which: u8) {
    let id = format!("e{}", which % ENDPOINTS);
    match what % 8 {
        0 => fleet.endpoint(&id).is_silent = true,
        1 => fleet.endpoint(&id).is_silent = false,
        2 => fleet.endpoint(&id).loses_answers = which < 128,
        3 => fleet.restart(&id),
        4 => fleet.change_leader(),
        5 => fleet.is_log_up = which < 128,
        6 => fleet.list(),
        _ => {}
    }
    fleet.pass(u32::from(which % 64) + 1);
}

#[test]
fn faults_in_any_order_break_no_promise() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|faults| {
        let mut fleet = Fleet::new(u16::from(ENDPOINTS));
        let second = StepSpec {
            after: vec![0],
            ..step(3, 1500, 300)
        };
        fleet.submit(
            "00000000000000a1",
            job(vec![step(6, 900, 400), second.clone()]),
        );
        fleet.submit("00000000000000a2", job(vec![step(2, 2500, 900), second]));
        for &(what, which) in faults.iter().take(40) {
            disturb(&mut fleet, what, which);
        }
        fleet.is_log_up = true;
        for endpoint in fleet.endpoints.values_mut() {
            endpoint.is_silent = false;
            endpoint.loses_answers = false;
        }
        fleet.list();
        fleet.pass(2_500);
        fleet.assert_sound();
        for id in ["00000000000000a1", "00000000000000a2"] {
            let state = fleet.state(id);
            let is_known = state != Answer::Gone;
            assert!(
                !is_known || state == Answer::State(JobState::Completed),
                "{id}: {state:?}"
            );
        }
    });
}
