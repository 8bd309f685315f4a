//! Which answers count as good.

use std::time::Duration;

use pomelohitch_core::{Objective, Service};
use pomelohitch_route::Problem;
use pomelohitch_route::headers::Headers;
use pomelohitch_route::problem::Kind;
use pomelohitch_route::send::Answer;
use pomelohitchd::burn::{Minutes, is_good};

const IN_TIME: Duration = Duration::from_millis(100);
const LATE: Duration = Duration::from_millis(101);

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
            within: IN_TIME,
            good_ppm: 999_000,
            window: Duration::from_hours(24),
        }),
    }
}

fn answer(status: u16) -> Answer {
    Answer {
        status,
        headers: Headers::default(),
        body: Vec::new(),
    }
}

fn problem(kind: Kind) -> Problem {
    Problem::not_run(kind, "for this test")
}

#[test]
fn a_good_answer_comes_from_the_endpoint_in_time() {
    let service = service();
    for (answered, took, good) in [
        (Ok(answer(200)), IN_TIME, Some(true)),
        (Ok(answer(404)), IN_TIME, Some(true)),
        (Ok(answer(200)), LATE, Some(false)),
        (Ok(answer(500)), IN_TIME, Some(false)),
        (Err(problem(Kind::NoRunner)), IN_TIME, Some(false)),
        (Err(problem(Kind::AnswerLate)), IN_TIME, Some(false)),
        (Err(problem(Kind::BadRequest(400))), IN_TIME, None),
        (Err(problem(Kind::TeamLimit)), IN_TIME, None),
    ] {
        assert_eq!(is_good(&service, &answered, took), good, "{answered:?}");
    }
}

#[test]
fn a_service_without_an_objective_is_not_counted() {
    let without = Service {
        objective: None,
        ..service()
    };
    assert_eq!(is_good(&without, &Ok(answer(200)), IN_TIME), None);
}

/// An entry instance shuts down just after a minute has ended, before the next periodic check. The
/// shutdown closes the minute that has just begun; if the one before were left out, its answers
/// would be missing from the report, with no visible gap.
#[test]
fn a_minute_that_ended_since_the_last_check_is_closed_once() {
    let mut minutes = Minutes::default();
    let past = [10, 10, 12, 13, 13, 11, 14].map(|now| minutes.past(now));
    insta::assert_debug_snapshot!(past.map(|past| format!("{past:?}")), @r#"
    [
        "10..10",
        "10..10",
        "10..12",
        "12..13",
        "13..13",
        "13..13",
        "13..14",
    ]
    "#);
}
