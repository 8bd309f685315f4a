//! Simulated fleet: entry instances with the real dispatcher, runners with run times, and network
//! delays.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_core::id::MemberId;
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_permits::{Ask, Homes, Load, Reply, Resource};
use pomelohitch_route::dispatch::{AskScope, Completion, Runner, Sent, ServiceTerms, View};
use pomelohitch_route::queue::Waiting;
use pomelohitch_route::{Dispatcher, Priority};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::{Arrival, Arrivals, ENTRIES, RUNNERS, SHARES, SLOTS, Scenario, TIMEOUT};
use crate::report::Report;

/// How requests are dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The dispatcher of this crate.
    Pomelohitch,
    /// The same, but each entry instance has a fixed eighth of every runner's slots.
    StaticSplit,
    /// A FIFO queue at each entry instance, over the static split.
    Fifo,
    /// Sends every request to a random runner immediately; a full runner refuses it.
    RandomRunner,
    /// The same, but tries another runner after each refusal until the caller gives up.
    UnlimitedRetries,
}

impl Policy {
    pub const ALL: [Policy; 5] = [
        Policy::Pomelohitch,
        Policy::StaticSplit,
        Policy::Fifo,
        Policy::RandomRunner,
        Policy::UnlimitedRetries,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Pomelohitch => "pomelohitch",
            Policy::StaticSplit => "static split",
            Policy::Fifo => "FIFO",
            Policy::RandomRunner => "random runner",
            Policy::UnlimitedRetries => "unlimited retries",
        }
    }

    fn is_random(self) -> bool {
        matches!(self, Policy::RandomRunner | Policy::UnlimitedRetries)
    }
}

const TICK: Duration = Duration::from_millis(25);
const TICKS_PER_SHARE_REFRESH: u64 = 10;
const TICKS_PER_FULL_ASK: u64 = 40;
/// Interval between unlimited retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of requests queued at one entry instance.
const QUEUE_BOUND: usize = 1000;
const SERVICE: &str = "passes";
const TEAM_LIMIT: u32 = 400;

/// Index of a request in [`Fleet::requests`].
type Id = usize;

#[derive(Debug)]
enum Event {
    Arrive(Id),
    /// A refused request is sent to another random runner.
    Retry(Id),
    Tick(u64),
    /// A request reaches a runner.
    Start(Id, Option<Sent>, usize),
    /// A runner finishes a request.
    Finish(Id, Option<Sent>, usize),
    /// The entry instance learns how a request ended.
    Ended(Id, Option<Sent>, usize, Completion),
    /// Asks, recalls and loads from one entry instance arrive at another.
    Batch(usize, usize, Vec<Ask>, Vec<Resource>, Vec<Load>),
    /// Replies of a home arrive at the entry instance that asked.
    Replies(usize, usize, Vec<Reply>),
}

struct Entry {
    dispatcher: Dispatcher<Id>,
    homes: Homes,
    fifo: VecDeque<Id>,
    fifo_running: Vec<u32>,
    awaiting_reply: BTreeSet<usize>,
}

pub struct Fleet {
    policy: Policy,
    scenario: Scenario,
    zone_delay: Duration,
    client_delay: Duration,
    arrivals: Arrivals,
    requests: Vec<Arrival>,
    entries: Vec<Entry>,
    running_at: Vec<u32>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    event_bodies: BTreeMap<u64, Event>,
    next_event: u64,
    random: StdRng,
    report: Report,
    now: Duration,
}

fn member(entry: usize) -> MemberId {
    format!("entry-{entry}").into()
}

fn team(team: usize) -> Box<str> {
    format!("team-{team}").into()
}

fn runner(runner: usize) -> Box<str> {
    format!("runner-{runner:02}").into()
}

fn number_of(id: &str) -> usize {
    let (_, digits) = id.split_once('-').expect("ids end with a number");
    digits.parse().expect("ids end with a number")
}

impl Fleet {
    pub fn new(
        policy: Policy,
        scenario: &Scenario,
        zone_delay: Duration,
        client_delay: Duration,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet {
            policy,
            scenario: scenario.clone(),
            zone_delay,
            client_delay,
            arrivals: Arrivals::new(scenario, seed),
            requests: Vec::new(),
            entries: Vec::new(),
            running_at: vec![0; RUNNERS],
            events: BinaryHeap::new(),
            event_bodies: BTreeMap::new(),
            next_event: 0,
            random: StdRng::seed_from_u64(seed),
            report: Report {
                measured: scenario.length.saturating_sub(scenario.measured_from),
                ..Report::default()
            },
            now: Duration::ZERO,
        };
        fleet.entries = (0..ENTRIES).map(|entry| fleet.entry(entry)).collect();
        fleet
    }

    fn entry(&self, entry: usize) -> Entry {
        // With a static split each entry instance is the only member, with its part of the slots.
        let is_alone = self.policy != Policy::Pomelohitch;
        let all: Vec<_> = if is_alone {
            vec![entry]
        } else {
            (0..ENTRIES).collect()
        };
        let members = all.iter().map(|&index| (member(index), index as u64));
        let mut homes = Homes::default();
        homes.enter(Epoch {
            offset: 100,
            members: members.clone().collect(),
            has_ended: false,
        });
        let mut dispatcher = Dispatcher::new(entry as u64);
        let runners = (0..RUNNERS).map(|index| Runner {
            id: runner(index),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            is_same_zone: index % 4 == entry % 4,
        });
        let terms = ServiceTerms {
            pool: "pool".into(),
            slots: self.slots(),
            queue: QUEUE_BOUND,
            longest_run: Duration::from_secs(10),
        };
        dispatcher.set_view(View {
            own: member(entry),
            members: members.map(|(id, _)| id).collect(),
            services: BTreeMap::from([(SERVICE.into(), terms)]),
            shares: (0..SHARES.len()).map(|t| (team(t), SHARES[t])).collect(),
            pools: BTreeMap::from([("pool".into(), runners.collect())]),
        });
        Entry {
            dispatcher,
            homes,
            fifo: VecDeque::new(),
            fifo_running: vec![0; RUNNERS],
            awaiting_reply: BTreeSet::new(),
        }
    }

    fn slots(&self) -> u32 {
        if self.policy == Policy::Pomelohitch {
            SLOTS
        } else {
            SLOTS / ENTRIES as u32
        }
    }

    pub fn run(&mut self) -> Report {
        // Permits are distributed before the load starts.
        for tick in 0..8 {
            self.schedule_at(TICK * tick, Event::Tick(u64::from(tick)));
        }
        self.next_arrival();
        self.schedule_at(TICK * 8, Event::Tick(8));
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at;
            let event = self
                .event_bodies
                .remove(&id)
                .expect("each event has a body");
            self.handle(event);
            if at > self.scenario.length + TIMEOUT {
                break;
            }
        }
        std::mem::take(&mut self.report)
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.event_bodies.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn next_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            let at = arrival.at + self.client_delay + Duration::from_millis(500);
            self.requests.push(arrival);
            self.schedule_at(at, Event::Arrive(self.requests.len() - 1));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Retry(id) => self.send_to_random_runner(id),
            Event::Tick(tick) => self.tick(tick),
            Event::Start(id, sent, runner) => self.start(id, sent, runner),
            Event::Finish(id, sent, runner) => {
                self.running_at[runner] -= 1;
                self.schedule_after(
                    self.zone_delay,
                    Event::Ended(id, sent, runner, Completion::Answered),
                );
            }
            Event::Ended(id, sent, runner, end) => self.on_end(id, sent.as_ref(), runner, end),
            Event::Batch(from, to, asks, recalls, loads) => {
                self.on_batch(from, to, &asks, &recalls, loads);
            }
            Event::Replies(home, to, replies) => {
                let entry = &mut self.entries[to];
                entry.awaiting_reply.remove(&home);
                for reply in &replies {
                    entry.dispatcher.on_reply(reply);
                }
                self.dispatch(to);
            }
        }
    }

    fn sent_at(&self, id: Id) -> Duration {
        self.requests[id].at + Duration::from_millis(500)
    }

    fn is_measured(&self, id: Id) -> bool {
        self.requests[id].at >= self.scenario.measured_from
    }

    fn arrive(&mut self, id: Id) {
        self.next_arrival();
        let arrival = self.requests[id].clone();
        if self.is_measured(id) {
            self.report.arrived += 1;
            self.report.arrived_quick += u64::from(arrival.is_quick);
        }
        if self.policy.is_random() {
            self.report.first_attempts += 1;
            self.send_to_random_runner(id);
            return;
        }
        if self.policy == Policy::Fifo {
            if self.entries[arrival.entry].fifo.len() >= QUEUE_BOUND {
                self.report.refused += u64::from(self.is_measured(id));
                return;
            }
            self.entries[arrival.entry].fifo.push_back(id);
            self.dispatch(arrival.entry);
            return;
        }
        let deadline = (self.sent_at(id) + TIMEOUT).saturating_sub(self.client_delay);
        let waiting = Waiting {
            team: team(arrival.team),
            priority: if arrival.is_quick {
                Priority::Quick
            } else {
                Priority::Patient
            },
            deadline,
            token: id,
        };
        let entry = &mut self.entries[arrival.entry];
        entry.dispatcher.record_first_attempt(&SERVICE.into());
        let offered = entry.dispatcher.offer(&SERVICE.into(), waiting, self.now);
        if offered.is_err() {
            self.report.refused += u64::from(self.is_measured(id));
            return;
        }
        self.dispatch(arrival.entry);
    }

    fn count_late(&mut self, id: Id) {
        self.report.late += u64::from(self.is_measured(id));
    }

    fn send_to_random_runner(&mut self, id: Id) {
        let runner = self.random.random_range(0..RUNNERS);
        self.report.attempts += 1;
        self.schedule_after(self.zone_delay, Event::Start(id, None, runner));
    }

    fn start(&mut self, id: Id, sent: Option<Sent>, runner: usize) {
        if self.running_at[runner] >= SLOTS {
            self.schedule_after(
                self.zone_delay,
                Event::Ended(id, sent, runner, Completion::Refused),
            );
            return;
        }
        if runner < self.scenario.broken {
            self.schedule_after(
                self.zone_delay,
                Event::Ended(id, sent, runner, Completion::Unknown),
            );
            return;
        }
        self.running_at[runner] += 1;
        self.report.max_running_at_runner = self
            .report
            .max_running_at_runner
            .max(self.running_at[runner]);
        let run = self.requests[id].run;
        self.schedule_after(run, Event::Finish(id, sent, runner));
    }

    fn on_end(&mut self, id: Id, sent: Option<&Sent>, runner: usize, end: Completion) {
        let entry = self.requests[id].entry;
        let deadline = self.sent_at(id) + TIMEOUT;
        let is_in_time = self.now + self.client_delay <= deadline;
        if self.policy == Policy::Fifo {
            self.entries[entry].fifo_running[runner] -= 1;
        }
        let mut next = None;
        if let Some(sent) = sent {
            let dispatcher = &mut self.entries[entry].dispatcher;
            dispatcher.complete(sent, end, self.now);
            if end != Completion::Answered && is_in_time {
                next = dispatcher.retry(&sent.service, &sent.team, &sent.runner, self.now, true);
            }
        }
        match (end, next) {
            (Completion::Answered, _) if is_in_time => self.answered(id),
            (Completion::Answered, _) => self.count_late(id),
            (_, Some(next)) => self.send(id, next),
            (Completion::Refused, None)
                if self.policy == Policy::UnlimitedRetries && is_in_time =>
            {
                self.schedule_after(RETRY_INTERVAL, Event::Retry(id));
            }
            _ => self.report.refused += u64::from(self.is_measured(id)),
        }
        self.dispatch(entry);
    }

    fn answered(&mut self, id: Id) {
        if !self.is_measured(id) {
            return;
        }
        let latency = (self.now + self.client_delay).saturating_sub(self.sent_at(id));
        let (team, is_quick) = (self.requests[id].team, self.requests[id].is_quick);
        self.report.answered(team, is_quick, latency);
    }

    fn send(&mut self, id: Id, sent: Sent) {
        self.report.attempts += 1;
        let runner = number_of(&sent.runner);
        self.schedule_after(self.zone_delay, Event::Start(id, Some(sent), runner));
    }

    fn dispatch(&mut self, entry: usize) {
        if self.policy == Policy::Fifo {
            self.dispatch_fifo(entry);
            return;
        }
        if self.policy.is_random() {
            return;
        }
        for (id, sent) in self.entries[entry].dispatcher.dispatch(self.now, true) {
            self.report.first_attempts += 1;
            self.send(id, sent);
        }
    }

    fn dispatch_fifo(&mut self, entry: usize) {
        let slots = self.slots();
        loop {
            let running = &mut self.entries[entry].fifo_running;
            let Some(runner) = (0..RUNNERS).find(|&runner| running[runner] < slots) else {
                return;
            };
            let Some(id) = self.entries[entry].fifo.pop_front() else {
                return;
            };
            self.entries[entry].fifo_running[runner] += 1;
            self.report.first_attempts += 1;
            self.report.attempts += 1;
            self.schedule_after(self.zone_delay, Event::Start(id, None, runner));
        }
    }

    fn tick(&mut self, tick: u64) {
        if tick >= 8 && self.now < self.scenario.length + TIMEOUT {
            self.schedule_after(TICK, Event::Tick(tick + 1));
        }
        if self.policy.is_random() || self.policy == Policy::Fifo {
            return;
        }
        for entry in 0..ENTRIES {
            self.exchange_permits(entry, tick);
            self.dispatch(entry);
        }
    }

    /// Exchanges permits with the homes as the daemon does at each of its ticks.
    fn exchange_permits(&mut self, own: usize, tick: u64) {
        let is_share_tick = tick.is_multiple_of(TICKS_PER_SHARE_REFRESH);
        let entry = &mut self.entries[own];
        let expired = entry.dispatcher.expire(self.now);
        if is_share_tick {
            entry.dispatcher.refresh_shares();
        }
        let asker = Asker {
            member: member(own),
            incarnation: own as u64,
            since: own as u64,
            epoch: 100,
            leaving: false,
        };
        let loads = entry.dispatcher.loads();
        let awaiting_reply = std::mem::take(&mut entry.awaiting_reply);
        let scope = if tick.is_multiple_of(TICKS_PER_FULL_ASK) && !loads.is_empty() {
            AskScope::All
        } else if is_share_tick {
            AskScope::BelowPart
        } else {
            AskScope::Changed
        };
        let asks = entry.dispatcher.asks(&asker, scope, |home| {
            !awaiting_reply.contains(&number_of(home))
        });
        entry.awaiting_reply = awaiting_reply;
        let mut batches: BTreeMap<usize, (Vec<Ask>, Vec<Resource>)> = BTreeMap::new();
        for (home, ask) in asks {
            let home = number_of(&home);
            if home == own {
                let bounds = bounds(self.policy, &ask);
                if let Some(reply) = entry.homes.on_ask(&ask, &bounds, self.now) {
                    entry.dispatcher.on_reply(&reply);
                }
            } else {
                batches.entry(home).or_default().0.push(ask);
            }
        }
        for (member, resource) in entry.homes.take_recalls() {
            let member = number_of(&member);
            if member == own {
                entry.dispatcher.recall(&resource);
            } else if !entry.awaiting_reply.contains(&member) {
                batches.entry(member).or_default().1.push(resource);
            }
        }
        if is_share_tick && self.policy == Policy::Pomelohitch && !loads.is_empty() {
            for other in (0..ENTRIES).filter(|other| *other != own) {
                if !entry.awaiting_reply.contains(&other) {
                    batches.entry(other).or_default();
                }
            }
        }
        entry.awaiting_reply.extend(batches.keys());
        for (to, (asks, recalls)) in batches {
            self.report.messages += 2;
            let event = Event::Batch(own, to, asks, recalls, loads.clone());
            self.schedule_after(self.zone_delay, event);
        }
        for waiting in expired {
            self.count_late(waiting.token);
        }
    }

    fn on_batch(
        &mut self,
        from: usize,
        to: usize,
        asks: &[Ask],
        recalls: &[Resource],
        loads: Vec<Load>,
    ) {
        let (policy, now) = (self.policy, self.now);
        let entry = &mut self.entries[to];
        let replies = asks
            .iter()
            .filter_map(|ask| entry.homes.on_ask(ask, &bounds(policy, ask), now))
            .collect();
        for resource in recalls {
            entry.dispatcher.recall(resource);
        }
        entry.dispatcher.set_peer_loads(member(from), loads);
        self.schedule_after(self.zone_delay, Event::Replies(to, from, replies));
    }
}

fn bounds(policy: Policy, ask: &Ask) -> Bounds {
    let parts = if policy == Policy::Pomelohitch {
        1
    } else {
        ENTRIES as u32
    };
    let limit = match ask.resource {
        Resource::Team(_) => TEAM_LIMIT,
        Resource::Slots(_) => SLOTS,
    };
    Bounds {
        limit: limit / parts,
        wait: Duration::from_secs(15),
    }
}
