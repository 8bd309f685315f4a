//! Which instances should move to which pool.
//!
//! Pure: what each pool wants and what each instance does come in, moves come out. A move costs
//! about as much as an instance in a pool for 1.2 seconds, and takes the instance away for about
//! two, so that a pool that has enough for what is coming is left alone. Instances that no pool
//! will want for a while go to the spare pool, where they are switched off and cost nothing.

use std::sync::Arc;

use crate::id::{InstanceId, ServiceName};
use crate::policy::Margins;

/// A pool never gives away its last instances: work of its service may come at any time.
pub const KEPT: usize = 2;
/// A pool that is short asks for one instance at a time: any lack does.
const ONE_MORE: f64 = 1.0;

/// What a pool wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its service.
    pub name: ServiceName,
    /// Whether its instances are off.
    pub is_spare: bool,
    /// Processors that tasks will take by the time a move is over, thousandths of a core.
    pub wanted: f64,
    /// The most that they will take within the time for which switching off pays; `None` if that
    /// isn't known.
    pub soon: Option<f64>,
    /// What tasks take that wait for a place now, thousandths of a core.
    pub backlog: f64,
    /// Whether a task finds no place whatever processors are free: for want of memory, or because
    /// it has to be apart from others.
    pub is_short: bool,
    /// What an instance has to carry that is to help it, if it is short.
    pub label: Option<Box<str>>,
}

/// An instance that may be moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Which instance.
    pub id: InstanceId,
    /// Where it is, or will be.
    pub pool: ServiceName,
    /// Its kind and its rack.
    pub labels: Arc<[Box<str>]>,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Whether it can be moved: up, nothing under way, no lasting task on it.
    pub is_movable: bool,
    /// Whether it is being emptied for a move already.
    pub is_reserved: bool,
    /// Whether its zone is evacuated, so that it can't be given work in any pool.
    pub is_evacuated: bool,
    /// Thousandths of a core in use.
    pub used: u64,
}

/// A move that should be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Which instance.
    pub instance: InstanceId,
    /// Where to.
    pub to: ServiceName,
}

/// What should be moved.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves that bring each pool what it wants, as far as others can spare it.
    pub moves: Vec<Move>,
    /// Moves to the spare pool of instances that none will want soon, or that lie in an evacuated
    /// zone.
    pub surplus: Vec<Move>,
}

/// Decides which instances should move.
#[must_use]
pub fn plan(pools: &[Pool], instances: &[Candidate], margins: &Margins) -> Plan {
    let place = |name: &ServiceName| pools.iter().position(|p| p.name == *name);
    let rows = instances.iter().map(|candidate| Row {
        candidate,
        balance: place(&candidate.pool),
        is_taken: false,
    });
    let rows: Vec<_> = rows.collect();
    let balance = |(at, pool)| Balance::new(pool, &rows, at, *margins);
    let mut ledger = Ledger {
        balances: pools.iter().enumerate().map(balance).collect(),
        rows,
    };
    Plan {
        moves: ledger.satisfy(),
        surplus: ledger.switch_off(),
    }
}

/// What each pool has while moves are decided one after another.
struct Ledger<'a> {
    balances: Vec<Balance<'a>>,
    rows: Vec<Row<'a>>,
}

/// An instance while moves are decided.
struct Row<'a> {
    candidate: &'a Candidate,
    /// The place of its pool's balance.
    balance: Option<usize>,
    /// Whether it moves already.
    is_taken: bool,
}

impl<'a> Ledger<'a> {
    fn satisfy(&mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        while let Some(needy) = self.neediest() {
            match self.giver(needy) {
                Some(giver) => moves.push(self.transfer(giver, needy)),
                // No instance of the kind that it is short of can be spared: any helps the rest.
                None if self.balances[needy].wanted_label().is_some() => {
                    self.balances[needy].is_short = false;
                }
                None => break,
            }
        }
        moves
    }

    fn switch_off(&mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        let Some(spare) = self.balances.iter().position(|b| b.pool.is_spare) else {
            return moves;
        };
        // What a pool has over only shrinks, so that an instance that is kept now stays kept.
        for at in 0..self.rows.len() {
            if self.is_idle(at) {
                moves.push(self.transfer(at, spare));
            }
        }
        moves
    }

    fn neediest(&self) -> Option<usize> {
        let balances = self.balances.iter().enumerate();
        let lacking = balances.filter(|(_, b)| b.lacks() > 0.0);
        let most = lacking.max_by(|(_, a), (_, b)| a.lacks().total_cmp(&b.lacks()));
        most.map(|(index, _)| index)
    }

    fn giver(&self, needy: usize) -> Option<usize> {
        let label = self.balances[needy].wanted_label();
        let suits = |i: &Candidate| label.is_none_or(|l| i.labels.iter().any(|own| **own == *l));
        let able = self.rows.iter().enumerate().filter(|(_, row)| {
            let is_other = row.balance != Some(needy);
            let is_usable = row.is_free() && !row.candidate.is_evacuated;
            let gives = self.balance(row);
            is_other
                && is_usable
                && suits(row.candidate)
                && gives.is_some_and(|b| b.can_give(row.candidate))
        });
        able.min_by_key(|(_, row)| self.effort(row))
            .map(|(at, _)| at)
    }

    /// Idle instances that nobody will miss come first, as they cost; then those that are off,
    /// those that are being emptied, and the emptiest.
    fn effort(&self, row: &Row<'_>) -> (u8, u64) {
        let instance = row.candidate;
        let balance = self.balance(row);
        let is_off = balance.is_some_and(|b| b.pool.is_spare);
        let is_missed = balance.is_none_or(|b| !b.has_over(instance));
        let rank = match (is_off, is_missed, instance.used) {
            (false, false, 0) => 0,
            (true, ..) => 1,
            (_, false, _) if instance.is_reserved => 2,
            (_, false, _) => 3,
            (_, true, _) if instance.is_reserved => 4,
            (_, true, _) => 5,
        };
        (rank, instance.used)
    }

    /// Whether an instance is idle and no pool will want it soon, its own or another, or its zone is
    /// evacuated.
    ///
    /// What waits for a place counts against it: whether what is on its way will do isn't known yet.
    fn is_idle(&self, at: usize) -> bool {
        let row = &self.rows[at];
        let Some(balance) = self.balance(row).filter(|b| !b.pool.is_spare) else {
            return false;
        };
        if !row.is_free() || row.candidate.used > 0 {
            return false;
        }
        let over: f64 = self.balances.iter().filter_map(Balance::over).sum();
        let backlog: f64 = self.balances.iter().map(|b| b.pool.backlog).sum();
        let is_unmissed = balance.has_over(row.candidate);
        row.candidate.is_evacuated || (is_unmissed && over - backlog >= as_f64(row.candidate.cpu))
    }

    fn balance(&self, row: &Row<'_>) -> Option<&Balance<'a>> {
        self.balances.get(row.balance?)
    }

    fn transfer(&mut self, at: usize, to: usize) -> Move {
        let row = &mut self.rows[at];
        row.is_taken = true;
        let instance = row.candidate;
        let from = row.balance.and_then(|at| self.balances.get_mut(at));
        if let Some(from) = from.filter(|_| !instance.is_evacuated) {
            from.have -= as_f64(instance.cpu);
            from.count -= 1;
        }
        let to = &mut self.balances[to];
        if !instance.is_evacuated {
            to.have += as_f64(instance.cpu);
            to.count += 1;
            to.is_short = false;
        }
        Move {
            instance: instance.id.clone(),
            to: to.pool.name.clone(),
        }
    }
}

impl Row<'_> {
    fn is_free(&self) -> bool {
        self.candidate.is_movable && !self.is_taken
    }
}

/// What a pool has beside what it wants.
struct Balance<'a> {
    pool: &'a Pool,
    margins: Margins,
    have: f64,
    count: usize,
    is_short: bool,
}

impl Balance<'_> {
    fn new<'a>(pool: &'a Pool, rows: &[Row<'_>], place: usize, margins: Margins) -> Balance<'a> {
        let own = rows.iter().filter(|row| row.balance == Some(place));
        let own = own.map(|row| row.candidate).filter(|i| !i.is_evacuated);
        Balance {
            pool,
            margins,
            have: own.clone().map(|i| as_f64(i.cpu)).sum(),
            count: own.count(),
            is_short: pool.is_short,
        }
    }

    /// Processors that are missing; a pool that is off wants none.
    fn lacks(&self) -> f64 {
        if self.pool.is_spare {
            return 0.0;
        }
        let short = if self.is_short { ONE_MORE } else { 0.0 };
        (self.wanted() / self.margins.fill - self.have).max(short)
    }

    fn wanted_label(&self) -> Option<&str> {
        self.pool.label.as_deref().filter(|_| self.is_short)
    }

    fn wanted(&self) -> f64 {
        self.pool.wanted
            + self
                .pool
                .backlog
                .min(self.pool.wanted * self.margins.most_backlog)
    }

    fn can_give(&self, instance: &Candidate) -> bool {
        let left = self.have - as_f64(instance.cpu);
        let is_enough = self.count > KEPT && left >= self.wanted() / self.margins.fill;
        self.pool.is_spare || (is_enough && !self.pool.is_short)
    }

    /// Processors beyond what the pool will want soon, or lacking for it; `None` if that isn't
    /// known or the pool is off.
    fn over(&self) -> Option<f64> {
        let soon = self.pool.soon.filter(|_| !self.pool.is_spare)?;
        Some(self.have - soon.max(self.wanted()) / self.margins.fill)
    }

    fn has_over(&self, instance: &Candidate) -> bool {
        let is_over = self.over().is_some_and(|over| over >= as_f64(instance.cpu));
        is_over && self.can_give(instance)
    }
}

/// Amounts of processors are far below the numbers that a float can't hold.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
