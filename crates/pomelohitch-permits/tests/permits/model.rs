//! State space for the model check: the real `Holder` and `Homes` with a modelled log, processes,
//! network, runs and time.
//!
//! The network keeps every message indefinitely and may deliver it at any time, any number of times
//! or never, which covers loss, duplication and reordering. Processes crash, restart as new
//! incarnations, and read the log late or not at all. A paused process is one that takes no step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pomelohitch_core::id::{Incarnation, MemberId, Offset};
use pomelohitch_permits::holder::Asker;
use pomelohitch_permits::home::{Bounds, Epoch};
use pomelohitch_permits::resource::home_of;
use pomelohitch_permits::{Ask, Holder, Homes, Monotonic, Reply, Resource};

/// Index of a member among the processes.
pub type MemberIndex = usize;
pub type Tick = u8;

/// Length of a lease in ticks, counted from the tick in which it is renewed.
pub const LEASE: Tick = 1;
/// Number of ticks after which a run has ended.
pub const LONGEST_RUN: Tick = 2;

/// Bounds of the exploration, and the rule that is broken on purpose.
#[derive(Debug, Clone, Copy)]
pub struct Scope {
    pub members: usize,
    pub limit: u32,
    /// The team whose permits are used, which decides which member is their home.
    pub team: &'static str,
    pub last_tick: Tick,
    pub last_offset: usize,
    pub last_sequence: u64,
    /// Whether messages sent before the initial state may still arrive.
    pub has_old_packets: bool,
    pub fault: Fault,
}

/// A rule that is broken on purpose; the check must detect each of these faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A member applies a reply to an earlier ask.
    AppliesLateReply,
    /// The home accepts an ask that arrives after a later one.
    AcceptsOldAsk,
    /// A member reports a lower count before it gives up the permits.
    ReportsBeforeReleasing,
    /// The home grants before every member has reported what it holds.
    GrantsBeforeAllReported,
    /// The home does not wait until members that ended have stopped.
    DoesNotWait,
    /// The home waits for the leases of members that ended, but not for their runs.
    WaitsForLeaseOnly,
    /// A permit is returned immediately although its run may still be going on.
    ReleasesRunningPermit,
    /// A holder takes permits without a valid lease.
    IgnoresLease,
    /// A process that joins again forgets its runs.
    ForgetsRunsOnResume,
    /// A new process accounts for the runs of the one that it replaces.
    AccountsForOtherProcess,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    Ask(MemberIndex, Ask),
    Reply(MemberIndex, Incarnation, Reply),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process {
    pub incarnation: Incarnation,
    /// Its first incarnation.
    pub since: Incarnation,
    /// Number of log records that it has read.
    pub read: usize,
    /// The last tick that its lease covers; `None` if the lease has expired.
    pub covered: Option<Tick>,
    pub holder: Holder,
    pub homes: Homes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Record {
    Join(MemberIndex),
    End(MemberIndex),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub log: Vec<Record>,
    pub processes: Vec<Option<Process>>,
    pub packets: BTreeSet<Packet>,
    /// Start of each run that has not ended. Every caller gives up immediately, the hardest case:
    /// no member learns that a run has ended, so its permit is freed by time alone.
    pub runs: Vec<Tick>,
    pub now: Tick,
}

pub fn member(index: MemberIndex) -> MemberId {
    format!("entry-{index}").into()
}

fn resource(scope: &Scope) -> Resource {
    Resource::Team(scope.team.into())
}

fn time(tick: Tick) -> Monotonic {
    Duration::from_secs(u64::from(tick))
}

/// The set of members after the records of `log`.
pub fn epoch_of(log: &[Record]) -> Epoch {
    let mut epoch = Epoch::default();
    for (offset, record) in (0u64..).zip(log) {
        let before = match record {
            Record::Join(index) => epoch.members.insert(member(*index), offset),
            Record::End(index) => epoch.members.remove(&member(*index)),
        };
        epoch.has_ended |= before.is_some();
        epoch.offset = offset;
    }
    epoch
}

impl Process {
    /// Whether it is a member as far as it has read.
    fn is_member(&self, index: MemberIndex) -> bool {
        let members = &self.homes.epoch().members;
        members.get(&member(index)) == Some(&self.incarnation)
    }
}

impl World {
    /// The initial state: all members have joined, and the first holds what its home granted.
    pub fn start(scope: &Scope) -> World {
        let log: Vec<_> = (0..scope.members).map(Record::Join).collect();
        let process = |index| Process {
            incarnation: index as Offset,
            since: index as Offset,
            read: log.len(),
            covered: Some(LEASE - 1),
            holder: Holder::default(),
            homes: Homes::default(),
        };
        let mut world = World {
            processes: (0..scope.members)
                .map(|index| Some(process(index)))
                .collect(),
            log,
            packets: BTreeSet::new(),
            runs: Vec::new(),
            now: 0,
        };
        let epoch = epoch_of(&world.log);
        for process in world.processes.iter_mut().flatten() {
            process.homes.enter(epoch.clone());
        }
        world.distribute_permits(scope);
        world
    }

    /// Every member asks once and gets its reply; the first asks again for the unclaimed rest.
    fn distribute_permits(&mut self, scope: &Scope) {
        let without_fault = Scope {
            fault: Fault::None,
            last_sequence: u64::MAX,
            ..*scope
        };
        for index in (0..scope.members).chain([0]) {
            let process = self.processes[index].clone().unwrap();
            *self = self.ask(&without_fault, index, &process, 0).unwrap();
            // Delivers the ask, then its reply; both stay in the network and may arrive again.
            for _ in 0..2 {
                for packet in self.packets.clone() {
                    *self = self
                        .deliver(&without_fault, &packet)
                        .unwrap_or(self.clone());
                }
            }
        }
        if !scope.has_old_packets {
            self.packets.clear();
        }
        let holder = &self.processes[0].as_ref().unwrap().holder;
        assert_eq!(
            holder.held(),
            scope.limit,
            "the first member holds everything"
        );
    }

    /// Number of requests that run anywhere, known to a member or not.
    pub fn running(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap()
    }

    /// All states that one step can lead to.
    pub fn next(&self, scope: &Scope) -> Vec<World> {
        let mut worlds = Vec::new();
        self.tick(scope, &mut worlds);
        for packet in &self.packets {
            worlds.extend(self.deliver(scope, packet));
        }
        for index in 0..scope.members {
            self.change_members(scope, index, &mut worlds);
            let Some(process) = &self.processes[index] else {
                continue;
            };
            worlds.push(self.read_log(index, process));
            worlds.extend(self.renew_lease(index, process));
            // The first member wants no permits and the others want all, so permits move.
            let want = if index == 0 { 0 } else { scope.limit };
            worlds.extend(self.ask(scope, index, process, want));
            worlds.extend(self.start_run(scope, index, process));
        }
        worlds.retain(|world| world != self);
        worlds
    }

    fn tick(&self, scope: &Scope, worlds: &mut Vec<World>) {
        if self.now == scope.last_tick {
            return;
        }
        let mut world = self.clone();
        world.now += 1;
        let now = world.now;
        world.runs.retain(|started| started + LONGEST_RUN > now);
        for process in world.processes.iter_mut().flatten() {
            process.holder.expire(time(now));
            process.covered = process.covered.filter(|last| *last >= now);
        }
        worlds.push(world);
    }

    /// Any member may be declared dead at any time, rightly or wrongly, and a process may end and
    /// be replaced. A process that ended for good is one that takes no more steps.
    fn change_members(&self, scope: &Scope, index: MemberIndex, worlds: &mut Vec<World>) {
        if self.log.len() >= scope.last_offset {
            return;
        }
        let is_member = epoch_of(&self.log).members.contains_key(&member(index));
        let mut ended = self.clone();
        ended.log.push(Record::End(index));
        if is_member && at_most_half_ended(scope, &ended.log) {
            worlds.push(ended);
        }
        let mut joined = self.clone();
        joined.log.push(Record::Join(index));
        if at_most_half_ended(scope, &joined.log) {
            let incarnation = self.log.len() as Offset;
            let mut process = Process {
                incarnation,
                since: incarnation,
                read: joined.log.len(),
                covered: Some(self.now + LEASE - 1),
                holder: Holder::default(),
                homes: Homes::default(),
            };
            if scope.fault == Fault::AccountsForOtherProcess {
                process.since = 0;
            }
            process.homes.enter(epoch_of(&joined.log));
            worlds.extend(self.resume(scope, index, &joined.log, &process));
            joined.processes[index] = Some(process);
            worlds.push(joined);
        }
    }

    fn read_log(&self, index: MemberIndex, process: &Process) -> World {
        let mut world = self.clone();
        let mut process = process.clone();
        process.read = (process.read + 1).min(self.log.len());
        let epoch = epoch_of(&self.log[..process.read]);
        let is_member = epoch.members.get(&member(index)) == Some(&process.incarnation);
        process.homes.enter(epoch);
        if process.read == self.log.len() {
            process.covered = Some(self.now + LEASE - 1);
        }
        // A process that reads that it was ended starts nothing until it has joined again.
        if !is_member {
            process.covered = None;
            process.holder.resume();
        }
        world.processes[index] = Some(process);
        world
    }

    /// A process that has read that it was ended joins again, with the runs that it started.
    fn resume(
        &self,
        scope: &Scope,
        index: MemberIndex,
        log: &[Record],
        restarted: &Process,
    ) -> Option<World> {
        let ended = self.processes[index].as_ref()?;
        if ended.is_member(index) {
            return None;
        }
        let mut resumed = Process {
            since: ended.since,
            holder: ended.holder.clone(),
            homes: ended.homes.clone(),
            ..restarted.clone()
        };
        if scope.fault == Fault::ForgetsRunsOnResume {
            resumed.holder = Holder::default();
        }
        resumed.homes.enter(epoch_of(log));
        let mut world = self.clone();
        world.log = log.to_vec();
        world.processes[index] = Some(resumed);
        Some(world)
    }

    /// While the log is unavailable, a lease is renewed if more than half of the members answer.
    /// Members that know a later set of members do not count.
    fn renew_lease(&self, index: MemberIndex, process: &Process) -> Option<World> {
        let epoch = process.homes.epoch();
        if !process.is_member(index) {
            return None;
        }
        let reachable = epoch.members.iter().filter(|(id, _)| {
            let peer = (0..self.processes.len()).find(|&p| member(p) == **id);
            let peer = peer.and_then(|p| self.processes[p].as_ref());
            peer.is_some_and(|peer| peer.homes.epoch().offset <= epoch.offset)
        });
        if 2 * reachable.count() <= epoch.members.len() {
            return None;
        }
        let mut world = self.clone();
        world.processes[index].as_mut()?.covered = Some(self.now + LEASE - 1);
        Some(world)
    }

    fn ask(
        &self,
        scope: &Scope,
        index: MemberIndex,
        process: &Process,
        want: u32,
    ) -> Option<World> {
        let epoch = process.homes.epoch();
        if !process.is_member(index) {
            return None;
        }
        let home = home_of(&resource(scope), epoch.members.keys())?;
        let home = (0..scope.members).find(|&p| member(p) == *home)?;
        let asker = Asker {
            member: member(index),
            incarnation: process.incarnation,
            since: process.since,
            epoch: epoch.offset,
            leaving: false,
        };
        let mut world = self.clone();
        let holder = &mut world.processes[index].as_mut()?.holder;
        let mut ask = holder.ask(&resource(scope), &asker, want);
        if scope.fault == Fault::ReportsBeforeReleasing && holder.held() > holder.used() {
            ask.held -= 1;
        }
        let is_in_scope = ask.sequence <= scope.last_sequence;
        world.packets.insert(Packet::Ask(home, ask));
        is_in_scope.then_some(world)
    }

    fn deliver(&self, scope: &Scope, packet: &Packet) -> Option<World> {
        match packet {
            Packet::Ask(to, ask) => self.deliver_ask(scope, *to, ask),
            Packet::Reply(to, incarnation, reply) => {
                let mut world = self.clone();
                let process = world.processes[*to].as_mut()?;
                if process.incarnation != *incarnation {
                    return None;
                }
                if scope.fault == Fault::AppliesLateReply {
                    // A duplicate of a reply is still rejected, as in the real code.
                    world.packets.remove(packet);
                    let process = world.processes[*to].as_mut()?;
                    let mut latest = process.holder.clone();
                    let asker = Asker {
                        member: member(*to),
                        incarnation: *incarnation,
                        since: *incarnation,
                        epoch: reply.epoch,
                        leaving: false,
                    };
                    let ask = latest.ask(&resource(scope), &asker, 0);
                    latest.on_reply(&Reply {
                        sequence: ask.sequence,
                        ..reply.clone()
                    });
                    process.holder = latest;
                } else {
                    process.holder.on_reply(reply);
                }
                Some(world)
            }
        }
    }

    fn deliver_ask(&self, scope: &Scope, to: MemberIndex, ask: &Ask) -> Option<World> {
        let mut world = self.clone();
        let homes = &mut world.processes[to].as_mut()?.homes;
        let wait = match scope.fault {
            Fault::DoesNotWait => 0,
            Fault::WaitsForLeaseOnly => LEASE,
            _ => LEASE + LONGEST_RUN,
        };
        let bounds = Bounds {
            limit: scope.limit,
            wait: time(wait),
        };
        if scope.fault == Fault::GrantsBeforeAllReported {
            let mut only_sender = homes.epoch().clone();
            only_sender.members = BTreeMap::from([(ask.member.clone(), ask.incarnation)]);
            only_sender.has_ended = false;
            if only_sender.offset == ask.epoch {
                *homes = Homes::default();
                homes.enter(Epoch {
                    offset: only_sender.offset,
                    ..only_sender
                });
            }
        }
        let mut ask = ask.clone();
        let sequence = ask.sequence;
        if scope.fault == Fault::AcceptsOldAsk {
            // Each delivery appears later than the one before.
            ask.sequence = 1000 + self.packets.len() as u64;
        }
        let mut reply = homes.on_ask(&ask, &bounds, time(self.now))?;
        reply.sequence = sequence;
        homes.take_recalls();
        let index = (0..scope.members).find(|&p| member(p) == ask.member)?;
        let packet = Packet::Reply(index, ask.incarnation, reply);
        world.packets.insert(packet);
        Some(world)
    }

    fn start_run(&self, scope: &Scope, index: MemberIndex, process: &Process) -> Option<World> {
        let is_covered = process.covered.is_some();
        let is_fresh = is_covered || scope.fault == Fault::IgnoresLease;
        let mut world = self.clone();
        let holder = &mut world.processes[index].as_mut()?.holder;
        if !holder.take(is_fresh) {
            return None;
        }
        if scope.fault == Fault::ReleasesRunningPermit {
            holder.release();
        } else {
            holder.release_at(time(self.now + LONGEST_RUN));
        }
        world.runs.push(self.now);
        Some(world)
    }
}

/// Assumption of the check: of any set of members at most half have ended, unless one of them had
/// read a later set. `docs/design/permits.md`, "not proved".
fn at_most_half_ended(scope: &Scope, log: &[Record]) -> bool {
    let now = epoch_of(log);
    (scope.members..log.len()).all(|end| {
        let then = epoch_of(&log[..end]);
        let survives =
            |(id, incarnation): (&MemberId, &Incarnation)| now.members.get(id) == Some(incarnation);
        let survivors = then.members.iter().filter(|&entry| survives(entry)).count();
        2 * (then.members.len() - survivors) <= then.members.len()
    })
}
