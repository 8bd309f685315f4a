//! Transitions of members, store and endpoint.

use super::rules::Rules;
use super::scenario::{Connected, Scenario};
use super::set::Set;
use super::world::{Ack, Former, Leadership, MARGIN, Member, Order, Promise, World};

/// A transition between two states of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// One tick passes.
    Tick,
    /// A leader's heartbeat reaches a member, and the acknowledgement reaches the leader.
    Heartbeat {
        /// The leader.
        from: usize,
        /// The member.
        to: usize,
    },
    /// A leader's heartbeat reaches a member, and the acknowledgement is delayed.
    LateHeartbeat {
        /// The leader.
        from: usize,
        /// The member.
        to: usize,
    },
    /// A delayed acknowledgement reaches the leader.
    Acknowledge {
        /// The leader.
        leader: usize,
        /// The member that sent it.
        from: usize,
    },
    /// A leader appends its liveness record and receives the answer.
    Append(usize),
    /// A leader appends its liveness record, and the answer is delayed.
    LateAppend(usize),
    /// A delayed answer to an append reaches the leader.
    AppendAnswered(usize),
    /// A member reads the store.
    ReadStore(usize),
    /// A member claims the leadership.
    Claim(usize),
    /// A leader reads the endpoint.
    ReadEndpoint(usize),
    /// A leader renews the lease at the endpoint.
    Renew(usize),
    /// A leader sends a renewal, which is delayed.
    LateRenew(usize),
    /// A delayed renewal reaches the endpoint.
    RenewalArrives(usize),
    /// A leader starts the task elsewhere.
    StartElsewhere(usize),
    /// A member registers.
    Register(usize),
    /// A member is removed from the registered ones while it runs.
    Remove(usize),
    /// A member's process restarts and forgets everything.
    Restart(usize),
}

/// Collects the transitions from one state.
struct Transitions<'a> {
    scenario: &'a Scenario,
    rules: &'a Rules,
    world: &'a World,
    next: Vec<(Step, World)>,
}

/// Returns all states that can follow `world`, with the steps to them.
#[must_use]
pub fn successors(scenario: &Scenario, rules: &Rules, world: &World) -> Vec<(Step, World)> {
    let is_followed = world.broken.is_none() && world.endpoint.runs_for > 0;
    let is_claimed = scenario.connected.is_some() && world.store.epoch > 1;
    if !is_followed || is_claimed {
        return Vec::new();
    }
    let mut transitions = Transitions {
        scenario,
        rules,
        world,
        next: Vec::new(),
    };
    transitions.tick();
    for member in scenario.ended..scenario.members + scenario.joiners {
        transitions.of_member(member);
        if let Some(leadership) = &world.members[member].leading {
            transitions.of_leader(member, leadership);
        }
        if let Some(order) = world.members[member].late_order {
            transitions.order(member, order);
        }
    }
    transitions.next
}

impl Transitions<'_> {
    fn push(&mut self, step: Step, change: impl FnOnce(&mut World)) {
        let mut next = *self.world;
        change(&mut next);
        if next != *self.world {
            self.next.push((step, next));
        }
    }

    fn may_delay(&self) -> bool {
        self.world.in_flight() < self.scenario.in_flight
    }

    fn tick(&mut self) {
        let (scenario, rules) = (self.scenario, self.rules);
        if let Some(connected) = scenario.connected {
            let registered = self.world.store.registered;
            let needed = match connected {
                Connected::Majority => registered.majority(),
                Connected::Half => registered.half(),
            };
            if self.world.contacted.with(0).count() < needed {
                return;
            }
        }
        self.push(Step::Tick, |world| {
            if scenario.connected.is_some() {
                world.contacted = Set::default();
                renew(rules, world, 0);
            }
            world.endpoint.runs_for -= 1;
            for member in &mut world.members {
                if let Some(leadership) = &mut member.leading {
                    leadership.tick(rules);
                }
                member.late_order = member.late_order.and_then(|order| order.after_tick(rules));
            }
            if scenario.connected.is_some() && world.endpoint.runs_for == 0 {
                world.broken = Some(Promise::LeaseKept);
            }
        });
    }

    fn of_member(&mut self, member: usize) {
        let rules = self.rules;
        self.push(Step::ReadStore(member), |world| {
            read_store(rules, world, member);
        });
        let Member {
            epoch,
            has_read,
            leading,
            late_order,
        } = self.world.members[member];
        let store = self.world.store;
        if !store.registered.contains(member) {
            if has_read {
                self.push(Step::Register(member), |world| {
                    world.store.registered = store.registered.with(member);
                });
            }
            return;
        }
        if leading.is_none() && has_read && epoch == store.epoch && epoch < self.scenario.epochs {
            self.push(Step::Claim(member), |world| claim(rules, world, member));
        }
        if self.world.removals < self.scenario.removals {
            self.push(Step::Remove(member), |world| {
                world.store.registered = store.registered.without(Set::default().with(member));
                world.removals += 1;
            });
        }
        if self.world.restarts < self.scenario.restarts {
            self.push(Step::Restart(member), |world| {
                world.members[member] = Member {
                    late_order,
                    ..Member::default()
                };
                world.restarts += 1;
            });
        }
    }

    fn of_leader(&mut self, leader: usize, leadership: &Leadership) {
        let rules = self.rules;
        let may_delay = self.may_delay();
        for to in self.scenario.ended..self.scenario.members + self.scenario.joiners {
            if to == leader || !leadership.registered.contains(to) {
                continue;
            }
            self.heartbeat(leader, to, leadership.epoch);
            if leadership.late_acks[to].is_some() {
                self.push(Step::Acknowledge { leader, from: to }, |world| {
                    change(world, leader, |l| {
                        if let Some(ack) = l.late_acks[to].take() {
                            l.acknowledged(to, ack, rules);
                        }
                    });
                });
            }
        }
        self.push(Step::Append(leader), |world| {
            if append(rules, world, leader) {
                change(world, leader, |l| l.append_accepted(0, rules));
            }
        });
        let leads = leadership.epoch == self.world.store.epoch;
        if leads && may_delay {
            self.push(Step::LateAppend(leader), |world| {
                append(rules, world, leader);
                change(world, leader, |l| l.late_append = Some(0));
            });
        }
        if leadership.late_append.is_some() {
            self.push(Step::AppendAnswered(leader), |world| {
                change(world, leader, |l| {
                    if let Some(age) = l.late_append.take() {
                        l.append_accepted(age, rules);
                    }
                });
            });
        }
        self.renewals(leader, leadership);
        if leads && leadership.concludes_expiry(rules) {
            self.push(Step::StartElsewhere(leader), |world| {
                world.broken = Some(Promise::OneRun);
            });
        }
    }

    fn heartbeat(&mut self, from: usize, to: usize, epoch: u8) {
        let rules = self.rules;
        let tracks_contact = self.scenario.connected.is_some() && from == 0;
        let may_delay = self.may_delay() && self.world.members[to].epoch <= epoch;
        self.push(Step::Heartbeat { from, to }, |world| {
            if tracks_contact {
                world.contacted = world.contacted.with(to);
            }
            let known = world.members[to].epoch;
            if known > epoch && rules.members_fence {
                learn_epoch(rules, world, from, known, true);
                return;
            }
            let ack = acknowledge(rules, world, to, epoch);
            change(world, from, |l| l.acknowledged(to, ack, rules));
        });
        if may_delay {
            self.push(Step::LateHeartbeat { from, to }, |world| {
                let ack = acknowledge(rules, world, to, epoch);
                change(world, from, |l| l.late_acks[to] = Some(ack));
            });
        }
    }

    fn renewals(&mut self, leader: usize, leadership: &Leadership) {
        let rules = self.rules;
        let epoch = leadership.epoch;
        let is_refused = self.is_refused(epoch);
        if !is_refused && leadership.former_lease.is_none() {
            self.push(Step::ReadEndpoint(leader), |world| {
                world.endpoint.epoch = world.endpoint.epoch.max(epoch);
                change(world, leader, |l| l.endpoint_answered(rules));
            });
        }
        if !is_refused {
            self.push(Step::Renew(leader), |world| renew(rules, world, leader));
        }
        if let Some(length) = leadership.lease_length(rules).filter(|_| self.may_delay()) {
            self.push(Step::LateRenew(leader), |world| {
                world.members[leader].late_order = Some(Order { epoch, length });
                change(world, leader, |l| l.lease_requested(length, rules));
            });
        }
    }

    fn order(&mut self, member: usize, order: Order) {
        let is_refused = self.is_refused(order.epoch);
        self.push(Step::RenewalArrives(member), |world| {
            world.members[member].late_order = None;
            if !is_refused {
                carry_out(world, order);
            }
        });
    }

    /// Whether the endpoint refuses orders of this epoch.
    fn is_refused(&self, epoch: u8) -> bool {
        self.rules.endpoint_fences && epoch < self.world.endpoint.epoch
    }
}

fn change(world: &mut World, member: usize, change: impl FnOnce(&mut Leadership)) {
    if let Some(leadership) = &mut world.members[member].leading {
        change(leadership);
    }
}

/// Extends the lease at the endpoint, where the task still runs.
fn carry_out(world: &mut World, order: Order) {
    let endpoint = &mut world.endpoint;
    endpoint.epoch = endpoint.epoch.max(order.epoch);
    endpoint.runs_for = endpoint.runs_for.max(order.length + MARGIN);
}

fn renew(rules: &Rules, world: &mut World, leader: usize) {
    let Some(leadership) = world.members[leader].leading else {
        return;
    };
    let Some(length) = leadership.lease_length(rules) else {
        return;
    };
    let epoch = leadership.epoch;
    carry_out(world, Order { epoch, length });
    change(world, leader, |l| {
        l.lease_requested(length, rules);
        l.endpoint_answered(rules);
    });
}

/// A member learns of an epoch, and ends a leadership of its own of a lower one.
fn learn_epoch(rules: &Rules, world: &mut World, member: usize, epoch: u8, ends: bool) {
    let member = &mut world.members[member];
    member.epoch = member.epoch.max(epoch);
    let is_later = member.leading.is_some_and(|l| l.epoch < epoch);
    if is_later && (ends || rules.ends_when_acknowledging) {
        member.leading = None;
    }
}

fn acknowledge(rules: &Rules, world: &mut World, member: usize, epoch: u8) -> Ack {
    learn_epoch(rules, world, member, epoch, false);
    Ack {
        age: 0,
        confirms: world.members[member].has_read || !rules.reads_before_confirming,
    }
}

fn read_store(rules: &Rules, world: &mut World, member: usize) {
    let store = world.store;
    world.members[member].has_read = true;
    learn_epoch(rules, world, member, store.epoch, true);
    change(world, member, |l| {
        l.update_registered(store.registered, rules);
    });
}

/// Appends a leader's liveness record; returns whether the store accepts it.
fn append(rules: &Rules, world: &mut World, leader: usize) -> bool {
    let store = world.store;
    let Some(leadership) = world.members[leader].leading else {
        return false;
    };
    if leadership.epoch < store.epoch {
        learn_epoch(rules, world, leader, store.epoch, true);
        return false;
    }
    if rules.records_quorum_growth {
        world.store.quorum = leadership.recorded_quorum(rules);
    }
    true
}

fn claim(rules: &Rules, world: &mut World, member: usize) {
    let store = &mut world.store;
    store.epoch += 1;
    let mut leadership = Leadership {
        former: Former::Unknown {
            quorum: store.quorum,
            acknowledged: Set::default().with(member),
        },
        ..Leadership::new(store.epoch, store.registered, rules)
    };
    store.quorum = leadership.recorded_quorum(rules);
    leadership.check_former(rules);
    world.members[member].epoch = store.epoch;
    world.members[member].leading = Some(leadership);
}
