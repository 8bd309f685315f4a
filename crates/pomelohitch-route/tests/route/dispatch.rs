use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_permits::{Homes, Resource};
use pomelohitch_route::dispatch::{AskScope, Completion, Runner, Sent, ServiceTerms, View};
use pomelohitch_route::queue::Waiting;
use pomelohitch_route::{Dispatcher, Priority, fair};

const RUNNERS: usize = 3;
const SLOTS: u32 = 2;
const TEAM_LIMIT: u32 = 4;
const LONGEST_RUN: Duration = Duration::from_secs(1);

fn member(entry: usize) -> Box<str> {
    format!("entry-{entry}").into()
}

fn view(own: usize, members: usize) -> View {
    let runner = |number| Runner {
        id: format!("runner-{number}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        is_same_zone: true,
    };
    let terms = ServiceTerms {
        pool: "pool".into(),
        slots: SLOTS,
        queue: 100,
        longest_run: LONGEST_RUN,
    };
    View {
        own: member(own),
        members: (0..members).map(member).collect(),
        services: BTreeMap::from([("passes".into(), terms)]),
        shares: BTreeMap::from([("a".into(), 1), ("b".into(), 3)]),
        pools: BTreeMap::from([("pool".into(), (0..RUNNERS).map(runner).collect())]),
    }
}

/// Entry instances with their homes; a test delivers or drops their messages.
struct Fleet {
    entries: Vec<(Dispatcher<u32>, Homes)>,
    now: Duration,
    /// Requests that actually run, with the time at which each has certainly ended; `None` while
    /// its answer may still arrive.
    running: Vec<(usize, Sent, Option<Duration>)>,
}

impl Fleet {
    fn new(members: usize) -> Fleet {
        let epoch = Epoch {
            offset: 7,
            members: (0..members).map(|entry| (member(entry), 1)).collect(),
            has_ended: false,
        };
        let new_entry = |entry| {
            let mut dispatcher = Dispatcher::new(1);
            dispatcher.set_view(view(entry, members));
            let mut homes = Homes::default();
            homes.enter(epoch.clone());
            (dispatcher, homes)
        };
        Fleet {
            entries: (0..members).map(new_entry).collect(),
            now: Duration::from_secs(100),
            running: Vec::new(),
        }
    }

    /// One entry instance exchanges messages with the homes; `loses` decides for each reply whether
    /// it is lost.
    fn exchange_permits(&mut self, entry: usize, mut loses: impl FnMut() -> bool) {
        let asker = Asker {
            member: member(entry),
            incarnation: 1,
            since: 1,
            epoch: 7,
            leaving: false,
        };
        self.entries[entry].0.refresh_shares();
        let asks = self.entries[entry].0.asks(&asker, AskScope::All, |_| true);
        for (home, ask) in asks {
            let home: usize = home.strip_prefix("entry-").unwrap().parse().unwrap();
            let bounds = Bounds {
                limit: match ask.resource {
                    Resource::Team(_) => TEAM_LIMIT,
                    Resource::Slots(_) => SLOTS,
                },
                wait: Duration::ZERO,
            };
            let reply = self.entries[home].1.on_ask(&ask, &bounds, self.now);
            if let Some(reply) = reply.filter(|_| !loses()) {
                self.entries[entry].0.on_reply(&reply);
            }
        }
    }

    fn dispatch(&mut self, entry: usize) {
        let sent = self.entries[entry].0.dispatch(self.now, true);
        let running = sent.into_iter().map(|(_, sent)| (entry, sent, None));
        self.running.extend(running);
    }

    fn offer(&mut self, entry: usize, team: &str) {
        let req = Waiting {
            team: team.into(),
            priority: Priority::Quick,
            deadline: self.now + Duration::from_mins(1),
            token: 0,
        };
        let _ = self.entries[entry].0.offer(&"passes".into(), req, self.now);
    }

    fn end(&mut self, index: usize, end: Completion) {
        let (entry, sent, until) = self.running.remove(index);
        if until.is_some() {
            self.running.push((entry, sent, until));
            return;
        }
        self.entries[entry].0.complete(&sent, end, self.now);
        let until = sent.at + LONGEST_RUN;
        if end == Completion::Unknown && until > self.now {
            self.running.push((entry, sent, Some(until)));
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        // A request whose answer never arrives ends at its deadline at the latest.
        self.running
            .retain(|(_, _, until)| until.is_none_or(|until| until > now));
        for (dispatcher, _) in &mut self.entries {
            dispatcher.expire(now);
        }
    }

    fn assert_limits(&self) {
        let mut by_team = BTreeMap::<_, u32>::new();
        let mut by_runner = BTreeMap::<_, u32>::new();
        for (_, sent, _) in &self.running {
            *by_team.entry(&sent.team).or_default() += 1;
            *by_runner.entry(&sent.runner).or_default() += 1;
        }
        assert!(
            by_team.values().all(|count| *count <= TEAM_LIMIT),
            "{by_team:?}"
        );
        assert!(
            by_runner.values().all(|count| *count <= SLOTS),
            "{by_runner:?}"
        );
    }
}

/// Requests arrive at any entry instance, answers are lost or late, and replies of homes are lost.
/// Over all entry instances, no team may exceed its limit and no runner its slots, including
/// requests that run on after their answer was lost.
#[test]
fn limits_and_slots_hold_over_all_entries() {
    pomelohitch_property::check(|steps: &Vec<(u8, u8)>| {
        let mut fleet = Fleet::new(3);
        for (kind, value) in steps {
            let entry = usize::from(*value) % 3;
            let index = usize::from(*value) % fleet.running.len().max(1);
            let has_running = !fleet.running.is_empty();
            match kind % 8 {
                0 | 1 => fleet.offer(entry, if value % 2 == 0 { "a" } else { "b" }),
                2 | 3 => fleet.exchange_permits(entry, || kind % 3 == 0),
                4 => fleet.dispatch(entry),
                5 if has_running => fleet.end(index, Completion::Answered),
                6 if has_running => fleet.end(index, Completion::Unknown),
                _ => fleet.advance(Duration::from_millis(u64::from(*value) * 5)),
            }
            fleet.assert_limits();
        }
    });
}

/// The load balancer sends all requests of a team to one entry instance. The slots and permits of
/// the others have to move there, or the team gets only a third of the free capacity.
#[test]
fn idle_slots_move_to_the_entry_that_needs_them() {
    let mut fleet = Fleet::new(3);
    for entry in [0, 1, 2, 0, 1, 2] {
        fleet.exchange_permits(entry, || false);
    }
    for _ in 0..100 {
        fleet.offer(0, "b");
    }
    // Entry 0 reports its load to its peers; they return permits, and it asks again.
    let loads = fleet.entries[0].0.loads();
    for peer in [1, 2] {
        fleet.entries[peer]
            .0
            .set_peer_loads(member(0), loads.clone());
    }
    for entry in [0, 1, 2, 1, 2, 0, 0] {
        fleet.exchange_permits(entry, || false);
    }
    fleet.dispatch(0);
    assert_eq!(fleet.running.len(), TEAM_LIMIT as usize);
    fleet.assert_limits();
}

/// A retry goes to another runner, and only if the budget allows it.
#[test]
fn a_retry_goes_to_another_runner_and_uses_the_budget() {
    let mut fleet = Fleet::new(1);
    fleet.exchange_permits(0, || false);
    fleet.exchange_permits(0, || false);
    fleet.offer(0, "b");
    fleet.dispatch(0);
    let sent = fleet.running[0].1.clone();
    let mut retries = 0;
    let mut last = sent;
    let dispatcher = &mut fleet.entries[0].0;
    dispatcher.record_first_attempt(&"passes".into());
    loop {
        dispatcher.complete(&last, Completion::Refused, fleet.now);
        let next = dispatcher.retry(&last.service, &last.team, &last.runner, fleet.now, true);
        let Some(next) = next else { break };
        assert_ne!(next.runner, last.runner);
        last = next;
        retries += 1;
    }
    assert_eq!(retries, 10, "exactly the capacity of the retry budget");
}

/// A process that was paused beyond its lease still has queued requests and permits. If it sent
/// them, it would use permits that have been granted to others meanwhile.
#[test]
fn nothing_is_sent_without_a_lease() {
    let mut fleet = Fleet::new(1);
    fleet.exchange_permits(0, || false);
    fleet.exchange_permits(0, || false);
    fleet.offer(0, "b");
    assert!(fleet.entries[0].0.dispatch(fleet.now, false).is_empty());
    assert_eq!(fleet.entries[0].0.dispatch(fleet.now, true).len(), 1);
}

/// A team's limit is lowered while its requests are queued, so no permit may be used until the home
/// has replied. A request removed from the queue in that time would be lost, and its caller would
/// wait for its whole timeout.
#[test]
fn a_lowered_limit_loses_no_waiting_request() {
    let mut fleet = Fleet::new(1);
    fleet.exchange_permits(0, || false);
    fleet.exchange_permits(0, || false);
    fleet.offer(0, "b");
    let team = Resource::Team("b".into());
    fleet.entries[0].0.require_confirmation(&team);
    fleet.dispatch(0);
    assert!(fleet.running.is_empty());
    fleet.exchange_permits(0, || false);
    fleet.dispatch(0);
    assert_eq!(fleet.running.len(), 1);
}

/// Every entry instance computes the same assignment locally. If assignments overlapped, a runner
/// would become a hot spot requested by several entry instances at once.
#[test]
fn slots_are_assigned_once_and_each_part_is_spread() {
    pomelohitch_property::check(|parts: &Vec<u8>| {
        let parts: Vec<f64> = parts.iter().take(8).map(|p| f64::from(*p)).collect();
        let assignment = fair::assign_slots(&parts, 10, 8);
        for runner in 0..10 {
            let given: u32 = assignment.iter().map(|counts| counts[runner]).sum();
            assert!(given <= 8);
        }
        for counts in &assignment {
            let distinct: BTreeSet<_> = counts.iter().collect();
            let (least, most) = (distinct.first(), distinct.last());
            assert!(least.zip(most).is_none_or(|(l, m)| **m - **l <= 1));
        }
    });
}
