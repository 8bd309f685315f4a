//! Appends of the leader to the store.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use pomelohitch_sched::Steady;
use pomelohitch_sched::progress::Record;
use pomelohitchd::fleet::clock;
use pomelohitchd::fleet::leader::confirmation::Confirmation;
use pomelohitchd::fleet::leader::core::Event;
use pomelohitchd::fleet::leader::journal::{Journal, Sequence};
use pomelohitchd::fleet::shared::{Leadership, Shared};

use super::site::site;

const EPOCH: u64 = 7;

/// What a store has accepted, in order, and its faults. Like the platform's store, it accepts any
/// number as the first of an epoch.
#[derive(Default)]
struct StoreState {
    sequences: Vec<Sequence>,
    /// Accepted, but the first answer is lost.
    lose_answers_to: Vec<Sequence>,
    /// Delay of the answers.
    answers_after: Duration,
    /// The first attempt is neither accepted nor answered.
    ignore_first: Vec<Sequence>,
}

/// A store that accepts appends in sequence and has the given faults.
fn store(faults: StoreState) -> (SocketAddr, Arc<Mutex<StoreState>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let state = Arc::new(Mutex::new(faults));
    let shared = state.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, state) = (stream.expect("the connection is accepted"), shared.clone());
            std::thread::spawn(move || serve(stream, &state));
        }
    });
    (addr, state)
}

fn serve(mut stream: TcpStream, state: &Mutex<StoreState>) {
    let mut buf = [0; 4096];
    while let Ok(count) = stream.read(&mut buf)
        && count > 0
    {
        let text = String::from_utf8_lossy(&buf[..count]).into_owned();
        let Some((_, rest)) = text.split_once("seq_no=") else {
            continue;
        };
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        let sequence = digits.parse().expect("only digits were taken");
        let answer = accept(
            &mut state
                .lock()
                .expect("no thread panics while holding the lock"),
            sequence,
        );
        let answers_after = state
            .lock()
            .expect("no thread panics while holding the lock")
            .answers_after;
        std::thread::sleep(answers_after);
        if let Some(answer) = answer
            && stream.write_all(answer.as_bytes()).is_err()
        {
            return;
        }
    }
}

fn accept(state: &mut StoreState, sequence: Sequence) -> Option<&'static str> {
    if let Some(at) = state.ignore_first.iter().position(|i| *i == sequence) {
        state.ignore_first.remove(at);
        return None;
    }
    let next = state.sequences.last().map_or(sequence, |last| last + 1);
    let is_repeat = state.sequences.contains(&sequence);
    if sequence != next && !is_repeat {
        return Some("HTTP/1.1 409 No\r\nContent-Length: 16\r\n\r\n{\"reason\":\"seq\"}");
    }
    if !is_repeat {
        state.sequences.push(sequence);
    }
    if let Some(at) = state
        .lose_answers_to
        .iter()
        .position(|lost| *lost == sequence)
    {
        state.lose_answers_to.remove(at);
        return None;
    }
    Some("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"end\":1}")
}

/// The journal of a leader whose store is at `addr`.
struct RunningJournal {
    journal: Journal,
    events: mpsc::Receiver<Event>,
    shared: Arc<Shared>,
    confirmation: Arc<Confirmation>,
}

impl RunningJournal {
    fn start(addr: SocketAddr) -> RunningJournal {
        let mut site = site();
        site.store = addr;
        let shared = Arc::new(Shared::new(site));
        let (tx, events) = mpsc::channel();
        let confirmation = Arc::new(Confirmation::new(Steady::ZERO, 1));
        shared.set_leadership(Some(Leadership {
            epoch: EPOCH,
            confirmation: confirmation.clone(),
            events: tx.clone(),
        }));
        let journal = Journal::start(&shared, EPOCH, &tx, &confirmation);
        RunningJournal {
            journal: journal.expect("the threads start"),
            events,
            shared,
            confirmation,
        }
    }

    /// Waits until all appends up to `last` are durable, and ends the leadership.
    fn finish(self, last: Sequence) {
        let is_last = |event: Event| matches!(event, Event::Committed(durable) if durable == last);
        assert!(self.events.into_iter().any(is_last));
        self.shared.set_leadership(None);
    }
}

fn record(number: Sequence) -> Record {
    Record {
        key: format!("p{number}").into(),
        value: Some(vec![1].into()),
    }
}

/// Guards against a leader that takes itself for confirmed for as long as the store's answer took, after
/// another one may have taken over.
#[test]
fn the_leadership_is_confirmed_as_of_the_request() {
    let answers_after = Duration::from_millis(60);
    let faults = StoreState {
        answers_after,
        ..StoreState::default()
    };
    let (addr, _) = store(faults);
    let mut running = RunningJournal::start(addr);
    let confirmation = running.confirmation.clone();
    running.journal.commit(vec![record(1)]);
    running.finish(1);
    let confirmed_at = confirmation.store_at();
    assert!(confirmed_at > Steady::ZERO);
    assert!(confirmed_at + answers_after <= clock::steady());
}

/// Guards against a leader that takes itself for confirmed by the repeated answer to an append that was
/// carried out before another one took over.
#[test]
fn a_repeated_append_confirms_the_leadership_as_of_its_first_attempt() {
    let (addr, state) = store(StoreState {
        lose_answers_to: vec![1],
        ..StoreState::default()
    });
    let mut running = RunningJournal::start(addr);
    let confirmation = running.confirmation.clone();
    running.journal.commit(vec![record(1)]);
    let carried_out = || {
        let state = state
            .lock()
            .expect("no thread panics while holding the lock");
        !state.sequences.is_empty()
    };
    while !carried_out() {
        std::thread::sleep(Duration::from_millis(1));
    }
    let carried_out_at = clock::steady();
    running.finish(1);
    let confirmed_at = confirmation.store_at();
    assert!(confirmed_at > Steady::ZERO);
    assert!(confirmed_at <= carried_out_at);
}

/// Commits `count` batches of one record each, and waits until all are durable.
fn commit_all(addr: SocketAddr, count: Sequence) {
    let mut running = RunningJournal::start(addr);
    for number in 1..=count {
        assert_eq!(running.journal.commit(vec![record(number)]), number);
    }
    running.finish(count);
}

/// Several appends in flight may overtake each other. The store still accepts each once and in
/// order.
#[test]
fn concurrent_appends_are_accepted_in_order() {
    let (addr, state) = store(StoreState::default());
    commit_all(addr, 12);
    let state = state
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(state.sequences, (1..=12).collect::<Vec<_>>());
}

/// Appends whose answers are lost are retried. Later appends keep their order, and none is accepted
/// twice.
#[test]
fn lost_answers_leave_no_gap() {
    let (addr, state) = store(StoreState {
        lose_answers_to: vec![1, 4],
        ..StoreState::default()
    });
    commit_all(addr, 6);
    let state = state
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(state.sequences, (1..=6).collect::<Vec<_>>());
}

/// A batch that is larger than the limit of an append is split.
#[test]
fn a_large_batch_is_written_in_parts() {
    let (addr, state) = store(StoreState::default());
    let mut running = RunningJournal::start(addr);
    let large = |number: u32| Record {
        key: format!("j{number}").into(),
        value: Some(vec![0; 700_000].into()),
    };
    assert_eq!(running.journal.commit((1..=3).map(large).collect()), 3);
    running.finish(3);
    let state = state
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(state.sequences, [1, 2, 3]);
}

/// If another append were sent while the first of a leadership is delayed, the store would accept
/// that one as the first; the records of the first would count as durable and be lost.
#[test]
fn nothing_is_sent_until_the_first_append_is_durable() {
    let (addr, state) = store(StoreState {
        ignore_first: vec![1],
        ..StoreState::default()
    });
    commit_all(addr, 5);
    let state = state
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(state.sequences, (1..=5).collect::<Vec<_>>());
}

/// If the answer to an append is lost but a later one is durable, the store must not be reported as
/// unavailable: the leader would refuse callers until the next append.
#[test]
fn a_store_that_accepted_a_later_append_is_available() {
    let (addr, _) = store(StoreState {
        lose_answers_to: vec![2],
        ..StoreState::default()
    });
    let mut running = RunningJournal::start(addr);
    for number in 1..=3 {
        running.journal.commit(vec![record(number)]);
    }
    let RunningJournal {
        journal,
        events,
        shared,
        ..
    } = running;
    let is_last = |event: &Event| matches!(event, Event::Committed(3));
    assert!(events.iter().any(|event| is_last(&event)));
    drop(journal);
    shared.set_leadership(None);
    let reported = events.iter().filter_map(|event| match event {
        Event::AppendsAvailable(is_available) => Some(is_available),
        _ => None,
    });
    assert_ne!(reported.last(), Some(false));
}

/// If the store expects other sequence numbers than this leader's, retries can't succeed: the
/// leadership must end, so that the next leader can make records durable again.
#[test]
fn a_leader_whose_appends_are_out_of_sequence_ends() {
    let (addr, _) = store(StoreState {
        sequences: vec![7],
        ..StoreState::default()
    });
    let mut running = RunningJournal::start(addr);
    running.journal.commit(vec![record(1)]);
    let is_end = |event: Event| matches!(event, Event::Deposed(_));
    assert!(running.events.into_iter().any(is_end));
    running.shared.set_leadership(None);
}
