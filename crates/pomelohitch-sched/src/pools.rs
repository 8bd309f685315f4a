//! Planning of moves of instances between pools.
//!
//! A pure function from the demand of pools and the state of instances to moves. A move costs about
//! as much as an instance in a pool for 1.2 seconds, and the instance is unavailable for about two
//! seconds, so a pool that has enough for its forecast demand is left alone. Instances that no pool
//! will need for a while go to the spare pool, where they are switched off and cost nothing.

use std::sync::Arc;

use crate::id::{InstanceId, ServiceName};
use crate::policy::Margins;

/// A pool keeps at least this many instances, because work for its service may arrive at any time.
pub const MIN_INSTANCES: usize = 2;
/// Shortfall of a pool that is short, thousandths of a core. Any positive value makes it ask for
/// one instance at a time.
const MIN_SHORTFALL: f64 = 1.0;

/// A pool that is held to less than it wants keeps this part more, because grants vary with the
/// demand of all other pools.
const HELD_BAND: f64 = 0.05;

/// Demand of a pool.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent conditions")]
pub struct Pool {
    /// Name of its service.
    pub name: ServiceName,
    /// Whether its instances are switched off (spare pool).
    pub is_spare: bool,
    /// Processors needed by the time a move is over, thousandths of a core.
    pub wanted: f64,
    /// Peak demand within the time for which switching off pays off, thousandths of a core; `None`
    /// if it is unknown.
    pub peak_soon: Option<f64>,
    /// Processors of the tasks that wait for capacity now, thousandths of a core.
    pub backlog: f64,
    /// Processors that the pool may have at most, thousandths of a core, because there isn't enough
    /// for all pools; `None` if there is.
    pub granted: Option<f64>,
    /// Whether a task cannot be placed however many processors are free, because memory is short or
    /// the task has to be isolated.
    pub is_short: bool,
    /// Whether the tasks that cannot be placed belong to late jobs. Instances that these need are
    /// still given to other pools.
    pub only_late_wait: bool,
    /// Whether it is short because lasting tasks that have to move fit nowhere else. It then gets an
    /// instance although the other pools lack some themselves: waiting jobs of those would otherwise
    /// hold up the maintenance or evacuation of the instances with the lasting tasks.
    pub is_blocked: bool,
    /// Label that an instance needs to relieve the shortage, if `is_short`.
    pub label: Option<Box<str>>,
}

impl Pool {
    /// Processors for forecast demand and backlog, whatever the pool may have.
    #[must_use]
    pub fn unheld(&self, margins: &Margins) -> f64 {
        self.wanted + self.backlog.min(self.wanted * margins.max_backlog)
    }
}

/// An instance that may be moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance id.
    pub id: InstanceId,
    /// Its pool, or its destination while it is being moved.
    pub pool: ServiceName,
    /// Machine kind and rack, in this order.
    pub labels: Arc<[Box<str>]>,
    /// Capacity in thousandths of a core.
    pub cpu: u64,
    /// Whether it can be moved: it is up, no operation is in progress and no lasting task runs
    /// there.
    pub is_movable: bool,
    /// Whether it is already being emptied for a move.
    pub is_reserved: bool,
    /// Whether its zone is being evacuated, so that no pool can use it.
    pub is_evacuated: bool,
    /// Thousandths of a core in use.
    pub used: u64,
}

/// A planned move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Instance to move.
    pub instance: InstanceId,
    /// Destination pool.
    pub to: ServiceName,
}

/// The planned moves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves that cover the demand of the pools, as far as other pools can spare instances.
    pub moves: Vec<Move>,
    /// Moves to the spare pool of instances that no pool will need soon or whose zone is being
    /// evacuated.
    pub surplus: Vec<Move>,
}

/// Plans which instances should move.
#[must_use]
pub fn plan(pools: &[Pool], instances: &[Candidate], margins: &Margins) -> Plan {
    let index = |name: &ServiceName| pools.iter().position(|p| p.name == *name);
    let entries = instances.iter().map(|candidate| PlanEntry {
        candidate,
        balance: index(&candidate.pool),
        is_planned: false,
    });
    let entries: Vec<_> = entries.collect();
    let balance = |(at, pool)| Balance::new(pool, &entries, at, *margins);
    let mut planner = Planner {
        balances: pools.iter().enumerate().map(balance).collect(),
        entries,
    };
    let mut moves = planner.cover_shortfalls();
    moves.extend(planner.relieve_blocked());
    Plan {
        moves,
        surplus: planner.switch_off_surplus(),
    }
}

/// Capacity of each pool while moves are planned one after another.
struct Planner<'a> {
    balances: Vec<Balance<'a>>,
    entries: Vec<PlanEntry<'a>>,
}

/// State of an instance during planning.
struct PlanEntry<'a> {
    candidate: &'a Candidate,
    /// Index of its pool's balance.
    balance: Option<usize>,
    /// Whether a move of it is planned already.
    is_planned: bool,
}

impl<'a> Planner<'a> {
    fn cover_shortfalls(&mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        while let Some(recipient) = self.largest_shortfall() {
            match self.donor(recipient) {
                Some(donor) => moves.push(self.transfer(donor, recipient)),
                // No instance with the needed label can be spared; any instance can still cover the
                // remaining demand.
                None if self.balances[recipient].wanted_label().is_some() => {
                    self.balances[recipient].is_short = false;
                }
                None => break,
            }
        }
        moves
    }

    /// Gives each blocked pool that got nothing so far one instance.
    fn relieve_blocked(&mut self) -> Vec<Move> {
        let blocked = |b: &Balance<'_>| b.pool.is_blocked && b.is_short;
        let pools = 0..self.balances.len();
        let recipients: Vec<usize> = pools.filter(|&at| blocked(&self.balances[at])).collect();
        let mut moves = Vec::new();
        for recipient in recipients {
            let entries = self.entries.iter().enumerate();
            let able = entries.filter(|(_, entry)| {
                let balance = self.balance(entry);
                entry.is_free()
                    && !entry.candidate.is_evacuated
                    && entry.balance != Some(recipient)
                    && balance.is_some_and(|b| b.pool.is_spare || b.count > MIN_INSTANCES)
            });
            let donor = able.min_by_key(|(_, entry)| self.donor_rank(entry));
            if let Some(donor) = donor.map(|(at, _)| at) {
                moves.push(self.transfer(donor, recipient));
            }
        }
        moves
    }

    fn switch_off_surplus(&mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        let Some(spare) = self.balances.iter().position(|b| b.pool.is_spare) else {
            return moves;
        };
        let mut surplus = self.total_surplus();
        // The surplus of pools only shrinks, so an instance that is kept here need not be checked
        // again.
        for at in 0..self.entries.len() {
            if self.is_idle(at, surplus) {
                moves.push(self.transfer(at, spare));
                surplus = self.total_surplus();
            }
        }
        moves
    }

    /// Thousandths of a core beyond the demand of all pools. The backlog counts as demand, because
    /// instances on their way may not suffice for it.
    fn total_surplus(&self) -> f64 {
        let surplus: f64 = self.balances.iter().filter_map(Balance::surplus).sum();
        let backlog: f64 = self.balances.iter().map(|b| b.pool.backlog).sum();
        surplus - backlog
    }

    fn largest_shortfall(&self) -> Option<usize> {
        let balances = self.balances.iter().enumerate();
        let in_need = balances.filter(|(_, b)| b.shortfall() > 0.0);
        let largest = in_need.max_by(|(_, a), (_, b)| a.shortfall().total_cmp(&b.shortfall()));
        largest.map(|(index, _)| index)
    }

    fn donor(&self, recipient: usize) -> Option<usize> {
        let label = self.balances[recipient].wanted_label();
        let may_take_from_late = !self.balances[recipient].pool.only_late_wait;
        let suits = |i: &Candidate| label.is_none_or(|l| i.labels.iter().any(|own| **own == *l));
        let able = self.entries.iter().enumerate().filter(|(_, entry)| {
            let is_other = entry.balance != Some(recipient);
            let is_usable = entry.is_free() && !entry.candidate.is_evacuated;
            let donor_balance = self.balance(entry);
            is_other
                && is_usable
                && suits(entry.candidate)
                && donor_balance.is_some_and(|b| b.can_give(entry.candidate, may_take_from_late))
        });
        able.min_by_key(|(_, entry)| self.donor_rank(entry))
            .map(|(at, _)| at)
    }

    /// Order in which instances are taken, lowest first: idle surplus instances, which cost money;
    /// those that are switched off; other surplus instances; and those that their pool needs. Within
    /// the last two groups, those that are being emptied and then the least used go first.
    fn donor_rank(&self, entry: &PlanEntry<'_>) -> (u8, u64) {
        let instance = entry.candidate;
        let balance = self.balance(entry);
        let is_off = balance.is_some_and(|b| b.pool.is_spare);
        let is_needed = balance.is_none_or(|b| !b.has_surplus_for(instance));
        let rank = match (is_off, is_needed, instance.used) {
            (false, false, 0) => 0,
            (true, ..) => 1,
            (_, false, _) if instance.is_reserved => 2,
            (_, false, _) => 3,
            (_, true, _) if instance.is_reserved => 4,
            (_, true, _) => 5,
        };
        (rank, instance.used)
    }

    /// Whether an instance is idle and no pool will need it soon, by the total surplus, or its zone
    /// is being evacuated.
    fn is_idle(&self, at: usize, total_surplus: f64) -> bool {
        let entry = &self.entries[at];
        let Some(balance) = self.balance(entry).filter(|b| !b.pool.is_spare) else {
            return false;
        };
        if !entry.is_free() || entry.candidate.used > 0 {
            return false;
        }
        let is_surplus = balance.has_surplus_for(entry.candidate);
        entry.candidate.is_evacuated || (is_surplus && total_surplus >= as_f64(entry.candidate.cpu))
    }

    fn balance(&self, entry: &PlanEntry<'_>) -> Option<&Balance<'a>> {
        self.balances.get(entry.balance?)
    }

    fn transfer(&mut self, at: usize, to: usize) -> Move {
        let entry = &mut self.entries[at];
        entry.is_planned = true;
        let instance = entry.candidate;
        let from = entry.balance.and_then(|at| self.balances.get_mut(at));
        if let Some(from) = from.filter(|_| !instance.is_evacuated) {
            from.capacity -= as_f64(instance.cpu);
            from.count -= 1;
        }
        let to = &mut self.balances[to];
        if !instance.is_evacuated {
            to.capacity += as_f64(instance.cpu);
            to.count += 1;
            to.is_short = false;
        }
        Move {
            instance: instance.id.clone(),
            to: to.pool.name.clone(),
        }
    }
}

impl PlanEntry<'_> {
    fn is_free(&self) -> bool {
        self.candidate.is_movable && !self.is_planned
    }
}

/// Capacity of a pool in relation to its demand.
struct Balance<'a> {
    pool: &'a Pool,
    margins: Margins,
    capacity: f64,
    count: usize,
    is_short: bool,
}

impl Balance<'_> {
    fn new<'a>(
        pool: &'a Pool,
        entries: &[PlanEntry<'_>],
        index: usize,
        margins: Margins,
    ) -> Balance<'a> {
        let own = entries.iter().filter(|entry| entry.balance == Some(index));
        let own = own.map(|entry| entry.candidate).filter(|i| !i.is_evacuated);
        Balance {
            pool,
            margins,
            capacity: own.clone().map(|i| as_f64(i.cpu)).sum(),
            count: own.count(),
            is_short: pool.is_short,
        }
    }

    /// Missing thousandths of a core; 0 for the spare pool.
    fn shortfall(&self) -> f64 {
        if self.pool.is_spare {
            return 0.0;
        }
        let short = if self.is_short { MIN_SHORTFALL } else { 0.0 };
        (self.wanted() / self.margins.target_utilization - self.capacity).max(short)
    }

    fn wanted_label(&self) -> Option<&str> {
        self.pool.label.as_deref().filter(|_| self.is_short)
    }

    fn wanted(&self) -> f64 {
        self.held(self.pool.unheld(&self.margins))
    }

    fn is_held(&self) -> bool {
        let wanted = self.pool.unheld(&self.margins);
        self.pool.granted.is_some_and(|granted| granted < wanted)
    }

    /// An amount of processors, limited to what the pool may have.
    fn held(&self, wanted: f64) -> f64 {
        self.pool
            .granted
            .map_or(wanted, |granted| wanted.min(granted))
    }

    /// Whether the pool can do without an instance. One in which only late tasks wait can, if the
    /// recipient `may_take_from_late`; and one that is held to less than it wants has tasks that
    /// wait in any case.
    fn can_give(&self, instance: &Candidate, may_take_from_late: bool) -> bool {
        let left = self.capacity - as_f64(instance.cpu);
        let band = self.pool.granted.map_or(0.0, |_| HELD_BAND);
        let kept = self.wanted() * (1.0 + band) / self.margins.target_utilization;
        let is_enough = self.count > MIN_INSTANCES && left >= kept;
        let only_late_wait = may_take_from_late && self.pool.only_late_wait;
        let keeps_all = self.pool.is_short && !only_late_wait && !self.is_held();
        self.pool.is_spare || (is_enough && !keeps_all)
    }

    /// Thousandths of a core beyond the demand that is expected soon; negative for a shortfall.
    /// `None` if that demand is unknown, and for the spare pool.
    fn surplus(&self) -> Option<f64> {
        let soon = self.pool.peak_soon.filter(|_| !self.pool.is_spare)?;
        Some(self.capacity - self.held(soon).max(self.wanted()) / self.margins.target_utilization)
    }

    fn has_surplus_for(&self, instance: &Candidate) -> bool {
        let has_enough = self
            .surplus()
            .is_some_and(|surplus| surplus >= as_f64(instance.cpu));
        has_enough && self.can_give(instance, false)
    }
}

/// Amounts of processors are small enough to be exact in an `f64`.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
