use std::time::Duration;

use pomelohitch_route::Priority;
use pomelohitch_route::queue::{Options, PATIENT_INTERVAL, Queue, Waiting};

const START: Duration = Duration::from_secs(100);

fn queue() -> Queue<u32> {
    let mut queue = Queue::new(Options {
        bound: 1000,
        initial_mean_run: Duration::from_millis(100),
        ..Options::default()
    });
    queue.set_slots(10);
    queue
}

fn request(team: &str, priority: Priority, token: u32) -> Waiting<u32> {
    Waiting {
        team: team.into(),
        priority,
        deadline: START + Duration::from_secs(5),
        token,
    }
}

/// A large team floods the entry instance while a small one sends few requests. In order of
/// arrival, the small team's requests would wait behind the whole flood.
#[test]
fn teams_are_served_by_weight_during_a_flood() {
    let mut queue = queue();
    queue.set_weight(&"large".into(), 3.0);
    queue.set_weight(&"small".into(), 1.0);
    for token in 0..200 {
        let _ = queue.offer(request("large", Priority::Quick, token), START);
    }
    for token in 0..20 {
        queue
            .offer(request("small", Priority::Quick, token), START)
            .unwrap();
    }
    let served: Vec<_> = (0..40)
        .map(|_| queue.next(|_| true).unwrap().team)
        .collect();
    let small = served.iter().filter(|team| &***team == "small").count();
    assert!((9..=11).contains(&small), "{small} of 40");
}

/// Quick requests arrive without a break. If they always went first, patient ones would starve.
#[test]
fn patient_requests_do_not_starve() {
    let mut queue = queue();
    for token in 0..80 {
        queue
            .offer(request("team", Priority::Quick, token), START)
            .unwrap();
    }
    for token in 0..8 {
        queue
            .offer(request("team", Priority::Patient, token), START)
            .unwrap_or_default();
    }
    let turns = 2 * PATIENT_INTERVAL as usize;
    let served: Vec<_> = (0..turns).map(|_| queue.next(|_| true).unwrap()).collect();
    let patient = served
        .iter()
        .filter(|req| req.priority == Priority::Patient);
    assert_eq!(patient.count(), 2);
    assert_eq!(served[0].priority, Priority::Quick);
}

/// A burst exceeds what can be served before the deadlines. The excess is refused immediately, with
/// different retry times, no closer together than requests can be served.
#[test]
fn a_burst_is_refused_immediately_with_spread_retry_times() {
    let mut queue = queue();
    let mut retry_times = Vec::new();
    for token in 0..1000 {
        if let Err(refusal) = queue.offer(request("team", Priority::Quick, token), START) {
            retry_times.push(refusal.retry_after);
        }
    }
    // Ten slots at 100 ms per request serve 100 per second: about 450 in the 5 s.
    assert!((350..500).contains(&queue.len()), "{} queued", queue.len());
    assert!(
        retry_times.windows(2).all(|pair| pair[0] < pair[1]),
        "equal or decreasing retry times"
    );
    let (first, last) = (retry_times[0], retry_times[retry_times.len() - 1]);
    let spread = last.saturating_sub(first).as_secs_f64();
    let needed = f64::from(u32::try_from(retry_times.len()).unwrap()) / 100.0;
    assert!(
        spread > 0.9 * needed,
        "retries within {spread} s for {needed} s of work"
    );
    assert!(
        first > Duration::from_secs(3),
        "no caller retries while the queue is still full"
    );
}

/// One team fills the queue. Another one must still be able to queue requests, or it would get less
/// than its share regardless of the order of service.
#[test]
fn a_queue_filled_by_one_team_accepts_others() {
    let mut queue = queue();
    queue.set_slots(1000);
    queue.set_bound(100);
    for token in 0..300 {
        let _ = queue.offer(request("large", Priority::Quick, token), START);
    }
    assert!(
        queue
            .offer(request("small", Priority::Quick, 0), START)
            .is_ok()
    );
}

/// For any sequence of arrivals, completions and expiries: no accepted request is lost or returned
/// twice, at most twice the bound is queued, and every refusal has a retry time in the future.
#[test]
fn no_request_is_lost_or_returned_twice() {
    pomelohitch_property::check(|steps: &Vec<(u8, u8)>| {
        let mut queue = queue();
        queue.set_bound(10);
        let mut now = START;
        let mut inside = std::collections::BTreeSet::new();
        for (token, (kind, value)) in (0..).zip(steps) {
            let team = ["a", "b", "c"][usize::from(*value) % 3];
            match kind % 5 {
                0 | 1 => {
                    let mut req = request(team, Priority::Quick, token);
                    if value % 2 == 0 {
                        req.priority = Priority::Patient;
                    }
                    req.deadline = now + Duration::from_millis(u64::from(*value) * 20);
                    match queue.offer(req, now) {
                        Ok(()) => assert!(inside.insert(token)),
                        Err(refusal) => assert!(refusal.retry_after > Duration::ZERO),
                    }
                }
                2 => {
                    let next = queue.next(|id| &**id == team);
                    assert!(next.is_none_or(|req| inside.remove(&req.token)));
                }
                3 => {
                    now += Duration::from_millis(u64::from(*value) * 10);
                    for req in queue.expire(now) {
                        assert!(req.deadline <= now);
                        assert!(inside.remove(&req.token));
                    }
                }
                _ => queue.record_run(&team.into(), Duration::from_millis(u64::from(*value))),
            }
            assert_eq!(queue.len(), inside.len());
            assert!(queue.len() <= 20);
        }
    });
}
