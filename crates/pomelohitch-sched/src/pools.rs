//! Which instances should move to which pool.
//!
//! Pure: what each pool wants and what each instance does come in, moves come out. A move costs
//! about as much as an instance in a pool for 1.2 seconds, and takes the instance away for about
//! two, so that a pool that has enough for what is coming is left alone.

use crate::id::{InstanceId, ServiceName};

/// A pool never gives away its last instances: work of its service may come at any time.
pub const KEPT: usize = 2;
/// Processors are never all in use at once, as tasks don't fit exactly.
const FILL: f64 = 0.9;

/// A pool that is short asks for one instance at a time: any lack does.
const ONE_MORE: f64 = 1.0;

/// What a pool wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its service.
    pub name: ServiceName,
    /// Whether its instances are off.
    pub is_spare: bool,
    /// Processors that tasks will take, thousandths of a core.
    pub wanted: f64,
    /// Whether a task finds no place whatever processors are free: for want of memory, or because
    /// it has to be apart from others.
    pub is_short: bool,
}

/// An instance that may be moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Which instance.
    pub id: InstanceId,
    /// Where it is, or will be.
    pub pool: ServiceName,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Whether it can be moved: up, nothing under way, no lasting task on it.
    pub is_movable: bool,
    /// Whether it is being emptied for a move already.
    pub is_reserved: bool,
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

/// The moves that bring each pool what it wants, as far as others can spare it.
#[must_use]
pub fn plan(pools: &[Pool], instances: &[Candidate]) -> Vec<Move> {
    let mut balances: Vec<Balance<'_>> = pools.iter().map(|p| Balance::new(p, instances)).collect();
    let mut moves = Vec::new();
    let mut taken = std::collections::BTreeSet::new();
    loop {
        let Some(needy) = neediest(&balances) else {
            return moves;
        };
        let giver = instances
            .iter()
            .filter(|i| i.is_movable && i.pool != balances[needy].pool.name)
            .filter(|i| !taken.contains(&i.id))
            .filter(|i| {
                balances
                    .iter()
                    .any(|b| b.pool.name == i.pool && b.can_give(i))
            })
            .min_by_key(|i| effort(i, pools));
        let Some(giver) = giver else {
            return moves;
        };
        taken.insert(giver.id.clone());
        if let Some(from) = balances.iter_mut().find(|b| b.pool.name == giver.pool) {
            from.give(giver);
        }
        balances[needy].take(giver);
        moves.push(Move {
            instance: giver.id.clone(),
            to: balances[needy].pool.name.clone(),
        });
    }
}

/// Instances that are off come first, then those that are being emptied, then the emptiest.
fn effort(instance: &Candidate, pools: &[Pool]) -> (bool, bool, u64) {
    let is_off = pools.iter().any(|p| p.is_spare && p.name == instance.pool);
    (!is_off, !instance.is_reserved, instance.used)
}

fn neediest(balances: &[Balance<'_>]) -> Option<usize> {
    let lacking = balances.iter().enumerate().filter(|(_, b)| b.lacks() > 0.0);
    let most = lacking.max_by(|(_, a), (_, b)| a.lacks().total_cmp(&b.lacks()));
    most.map(|(index, _)| index)
}

/// What a pool has beside what it wants.
struct Balance<'a> {
    pool: &'a Pool,
    have: f64,
    count: usize,
    is_short: bool,
}

impl Balance<'_> {
    fn new<'a>(pool: &'a Pool, instances: &[Candidate]) -> Balance<'a> {
        let own = instances.iter().filter(|i| i.pool == pool.name);
        Balance {
            pool,
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
        (self.pool.wanted / FILL - self.have).max(short)
    }

    fn can_give(&self, instance: &Candidate) -> bool {
        let left = self.have - as_f64(instance.cpu);
        let is_enough = self.count > KEPT && left >= self.pool.wanted / FILL;
        self.pool.is_spare || (is_enough && !self.pool.is_short)
    }

    fn give(&mut self, instance: &Candidate) {
        self.have -= as_f64(instance.cpu);
        self.count -= 1;
    }

    fn take(&mut self, instance: &Candidate) {
        self.is_short = false;
        self.have += as_f64(instance.cpu);
        self.count += 1;
    }
}

/// Amounts of processors are far below the numbers that a float can't hold.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}
