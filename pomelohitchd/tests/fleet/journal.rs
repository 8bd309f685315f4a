//! Appends of the leader to the store.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, mpsc};

use pomelohitch_sched::progress::Record;
use pomelohitchd::fleet::leader::core::Event;
use pomelohitchd::fleet::leader::journal::{Journal, Sequence};
use pomelohitchd::fleet::shared::{Leading, Shared};

use super::site::site;

const EPOCH: u64 = 7;

/// What a store has accepted, in order, and its faults. Like the platform's store, it accepts any
/// number as the first of an epoch.
#[derive(Default)]
struct Taken {
    sequences: Vec<Sequence>,
    /// Accepted, but the first answer is lost.
    losing: Vec<Sequence>,
    /// The first attempt is neither accepted nor answered.
    ignoring: Vec<Sequence>,
}

/// A store that accepts appends in sequence and has the given faults.
fn store(faults: Taken) -> (SocketAddr, Arc<Mutex<Taken>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the OS assigns a free port");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    let taken = Arc::new(Mutex::new(faults));
    let shared = taken.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, taken) = (stream.expect("the connection is accepted"), shared.clone());
            std::thread::spawn(move || serve(stream, &taken));
        }
    });
    (addr, taken)
}

fn serve(mut stream: TcpStream, taken: &Mutex<Taken>) {
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
        let answer = take(
            &mut taken
                .lock()
                .expect("no thread panics while holding the lock"),
            sequence,
        );
        if let Some(answer) = answer
            && stream.write_all(answer.as_bytes()).is_err()
        {
            return;
        }
    }
}

fn take(taken: &mut Taken, sequence: Sequence) -> Option<&'static str> {
    if let Some(at) = taken.ignoring.iter().position(|i| *i == sequence) {
        taken.ignoring.remove(at);
        return None;
    }
    let next = taken.sequences.last().map_or(sequence, |last| last + 1);
    let is_repeat = taken.sequences.contains(&sequence);
    if sequence != next && !is_repeat {
        return Some("HTTP/1.1 409 No\r\nContent-Length: 16\r\n\r\n{\"reason\":\"seq\"}");
    }
    if !is_repeat {
        taken.sequences.push(sequence);
    }
    if let Some(at) = taken.losing.iter().position(|lost| *lost == sequence) {
        taken.losing.remove(at);
        return None;
    }
    Some("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"end\":1}")
}

/// The journal of a leader whose store is at `addr`.
struct Running {
    journal: Journal,
    events: mpsc::Receiver<Event>,
    shared: Arc<Shared>,
}

impl Running {
    fn start(addr: SocketAddr) -> Running {
        let mut site = site();
        site.store = addr;
        let shared = Arc::new(Shared::new(site));
        let (tx, events) = mpsc::channel();
        shared.set_leading(Some(Leading {
            epoch: EPOCH,
            events: tx.clone(),
        }));
        let confirmed = Arc::new(AtomicU64::new(0));
        let journal = Journal::start(&shared, EPOCH, &tx, &confirmed);
        Running {
            journal: journal.expect("the threads start"),
            events,
            shared,
        }
    }

    /// Waits until all appends up to `last` are durable, and ends the leadership.
    fn finish(self, last: Sequence) {
        let is_last = |event: Event| matches!(event, Event::Committed(durable) if durable == last);
        assert!(self.events.into_iter().any(is_last));
        self.shared.set_leading(None);
    }
}

fn record(number: Sequence) -> Record {
    Record {
        key: format!("p{number}").into(),
        value: Some(vec![1].into()),
    }
}

/// Commits `count` batches of one record each, and waits until all are durable.
fn commit_all(addr: SocketAddr, count: Sequence) {
    let mut running = Running::start(addr);
    for number in 1..=count {
        assert_eq!(running.journal.commit(vec![record(number)]), number);
    }
    running.finish(count);
}

/// Several appends in flight may overtake each other. The store still accepts each once and in
/// order.
#[test]
fn appends_side_by_side_are_taken_in_their_order() {
    let (addr, taken) = store(Taken::default());
    commit_all(addr, 12);
    let taken = taken
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(taken.sequences, (1..=12).collect::<Vec<_>>());
}

/// Appends whose answers are lost are retried. Later appends keep their order, and none is accepted
/// twice.
#[test]
fn lost_answers_leave_no_gap() {
    let (addr, taken) = store(Taken {
        losing: vec![1, 4],
        ..Taken::default()
    });
    commit_all(addr, 6);
    let taken = taken
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(taken.sequences, (1..=6).collect::<Vec<_>>());
}

/// A batch that is larger than the limit of an append is split.
#[test]
fn a_large_batch_is_written_in_parts() {
    let (addr, taken) = store(Taken::default());
    let mut running = Running::start(addr);
    let large = |number: u32| Record {
        key: format!("j{number}").into(),
        value: Some(vec![0; 700_000].into()),
    };
    assert_eq!(running.journal.commit((1..=3).map(large).collect()), 3);
    running.finish(3);
    let taken = taken
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(taken.sequences, [1, 2, 3]);
}

/// If another append were sent while the first of a leadership is delayed, the store would accept
/// that one as the first; the records of the first would count as durable and be lost.
#[test]
fn nothing_is_sent_beside_the_first_append() {
    let (addr, taken) = store(Taken {
        ignoring: vec![1],
        ..Taken::default()
    });
    commit_all(addr, 5);
    let taken = taken
        .lock()
        .expect("no thread panics while holding the lock");
    assert_eq!(taken.sequences, (1..=5).collect::<Vec<_>>());
}

/// If the answer to an append is lost but a later one is durable, the store must not be reported as
/// unavailable: the leader would refuse callers until the next append.
#[test]
fn a_store_that_took_a_later_append_is_not_down() {
    let (addr, _) = store(Taken {
        losing: vec![2],
        ..Taken::default()
    });
    let mut running = Running::start(addr);
    for number in 1..=3 {
        running.journal.commit(vec![record(number)]);
    }
    let Running {
        journal,
        events,
        shared,
    } = running;
    let is_last = |event: &Event| matches!(event, Event::Committed(3));
    assert!(events.iter().any(|event| is_last(&event)));
    drop(journal);
    shared.set_leading(None);
    let told = events.iter().filter_map(|event| match event {
        Event::Appends(is_well) => Some(is_well),
        _ => None,
    });
    assert_ne!(told.last(), Some(false));
}

/// If the store expects other sequence numbers than this leader's, retries can't succeed: the
/// leadership must end, so that the next leader can make records durable again.
#[test]
fn a_leader_whose_appends_do_not_follow_ends() {
    let (addr, _) = store(Taken {
        sequences: vec![7],
        ..Taken::default()
    });
    let mut running = Running::start(addr);
    running.journal.commit(vec![record(1)]);
    let is_end = |event: Event| matches!(event, Event::Deposed(_));
    assert!(running.events.into_iter().any(is_end));
    running.shared.set_leading(None);
}
