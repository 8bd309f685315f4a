//! Tests of the window on starts.

use std::time::Duration;

use pomelohitch_sched::flow::StartWindow;

/// Decides starts until the window is full.
fn fill(window: &mut StartWindow) -> usize {
    let mut decided = 0;
    while window.has_capacity() {
        window.start_decided();
        decided += 1;
    }
    decided
}

/// Guards against sending the starts of 3000 waiting tasks at once after a change of leader: half
/// of them would be void before their turn to be sent.
#[test]
fn a_new_leader_does_not_send_all_starts_at_once() {
    let mut window = StartWindow::default();
    assert_eq!(fill(&mut window), 160);
    window.start_answered(Duration::from_secs(1), Duration::from_millis(5));
    assert!(fill(&mut window) <= 2);
}

/// The window grows while starts are answered promptly.
#[test]
fn prompt_answers_grow_the_window() {
    let mut window = StartWindow::default();
    let mut now = Duration::from_secs(1);
    let mut decided = 0;
    for _ in 0..200 {
        decided += fill(&mut window);
        now += Duration::from_millis(10);
        for _ in 0..40 {
            window.start_answered(now, Duration::from_millis(10));
        }
    }
    assert!(decided > 7_000, "{decided}");
    let more = fill(&mut window);
    assert!(more <= 2_000, "{more}");
}

/// Guards against starts that queue up on an overloaded link until they are void.
#[test]
fn late_answers_shrink_the_window() {
    let mut window = StartWindow::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..100 {
        fill(&mut window);
        now += Duration::from_millis(30);
        window.start_answered(now, Duration::from_millis(200));
    }
    let in_flight = 160 - 100;
    for _ in 0..in_flight {
        window.start_dropped();
    }
    assert!(fill(&mut window) <= 8, "window is not the smallest");
}

/// Guards against an idle pool because single endpoints leave starts unanswered.
#[test]
fn one_lost_answer_in_twenty_does_not_shrink_the_window() {
    let mut window = StartWindow::default();
    let mut now = Duration::from_secs(1);
    for round in 0..2_000 {
        fill(&mut window);
        now += Duration::from_millis(2);
        let is_lost = round % 20 == 0;
        window.start_answered(now, Duration::from_millis(if is_lost { 150 } else { 10 }));
    }
    for _ in 0..160 {
        window.start_dropped();
    }
    assert!(fill(&mut window) >= 160);
}

/// Guards against a first burst that takes longer on a slow link than a start is valid.
#[test]
fn the_initial_window_fits_the_link() {
    let mut window = StartWindow::for_link(250_000.0);
    assert!((8..=20).contains(&fill(&mut window)));
    assert_eq!(fill(&mut StartWindow::for_link(1e9)), 160);
}
