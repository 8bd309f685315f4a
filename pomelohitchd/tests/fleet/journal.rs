//! Records on their way to the store.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, mpsc};

use pomelohitch_sched::progress::Record;
use pomelohitchd::fleet::leader::core::Event;
use pomelohitchd::fleet::leader::journal::{Journal, Sequence};
use pomelohitchd::fleet::shared::{Leadership, Shared};

use super::site::site;

const EPOCH: u64 = 7;

/// What a store has taken, in order, and its faults. As the platform's, it takes any number as the
/// first of an epoch.
#[derive(Default)]
struct Taken {
    sequences: Vec<Sequence>,
    /// Taken, but the first answer is lost.
    losing: Vec<Sequence>,
    /// The first try is neither taken nor answered.
    ignoring: Vec<Sequence>,
}

/// A store that takes appends in sequence and loses the first answers to some.
fn store(faults: Taken) -> (SocketAddr, Arc<Mutex<Taken>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let taken = Arc::new(Mutex::new(faults));
    let shared = taken.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, taken) = (stream.expect("a writer connects"), shared.clone());
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
        let sequence = digits.parse().expect("it is a number");
        let answer = take(&mut taken.lock().expect("no test panics here"), sequence);
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
        shared.set_leadership(Some(Leadership {
            epoch: EPOCH,
            events: tx.clone(),
        }));
        let confirmed = Arc::new(AtomicU64::new(0));
        let journal = Journal::start(&shared, EPOCH, &tx, &confirmed);
        Running {
            journal: journal.expect("there is room for threads"),
            events,
            shared,
        }
    }

    /// Waits until everything up to `last` is durable, and ends the leadership.
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

/// Commits so many batches of a record each, and waits until all are durable.
fn commit_all(addr: SocketAddr, count: Sequence) {
    let mut running = Running::start(addr);
    for number in 1..=count {
        assert_eq!(running.journal.commit(vec![record(number)]), number);
    }
    running.finish(count);
}

/// Several appends are on their way, and one overtakes another. The store takes them in their order
/// all the same, each once.
#[test]
fn appends_side_by_side_are_taken_in_their_order() {
    let (addr, taken) = store(Taken::default());
    commit_all(addr, 12);
    let taken = taken.lock().expect("no test panics here");
    assert_eq!(taken.sequences, (1..=12).collect::<Vec<_>>());
}

/// The answers to some appends are lost. They are tried again, and what comes after them is taken in
/// its order; nothing is taken twice.
#[test]
fn lost_answers_leave_no_gap() {
    let (addr, taken) = store(Taken {
        losing: vec![1, 4],
        ..Taken::default()
    });
    commit_all(addr, 6);
    let taken = taken.lock().expect("no test panics here");
    assert_eq!(taken.sequences, (1..=6).collect::<Vec<_>>());
}

/// A batch is larger than one append may be.
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
    let taken = taken.lock().expect("no test panics here");
    assert_eq!(taken.sequences, [1, 2, 3]);
}

/// The first append of a leadership is held up on its way. Were another sent beside it, the store
/// would begin with that one, and what the first holds would count as durable and be lost.
#[test]
fn nothing_is_sent_beside_the_first_append() {
    let (addr, taken) = store(Taken {
        ignoring: vec![1],
        ..Taken::default()
    });
    commit_all(addr, 5);
    let taken = taken.lock().expect("no test panics here");
    assert_eq!(taken.sequences, (1..=5).collect::<Vec<_>>());
}

/// The answer to an append is lost, and a later one is durable long before that shows. Told that the
/// store takes nothing, the leader would refuse callers until the next append.
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
    shared.set_leadership(None);
    let told = events.iter().filter_map(|event| match event {
        Event::Appends(is_well) => Some(is_well),
        _ => None,
    });
    assert_ne!(told.last(), Some(false));
}

/// The store has other numbers than this leader, which can't be mended: its leadership ends, and
/// the next one begins anew. Tried for ever, nothing would be durable any more.
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
    running.shared.set_leadership(None);
}
