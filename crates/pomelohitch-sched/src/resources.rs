//! Amounts of processors, memory and accelerators.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits into this amount.
    #[must_use]
    pub fn holds(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.mem_mb <= self.mem_mb && need.gpu <= self.gpu
    }

    /// This amount without `used`, saturating at zero.
    #[must_use]
    pub fn saturating_sub(&self, used: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(used.cpu),
            mem_mb: self.mem_mb.saturating_sub(used.mem_mb),
            gpu: self.gpu.saturating_sub(used.gpu),
        }
    }

    /// This amount multiplied by `count`, saturating.
    #[must_use]
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// How many times `need` fits into this amount.
    #[must_use]
    pub fn fits(&self, need: &Resources) -> u64 {
        let times = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, need.cpu)
            .min(times(self.mem_mb, need.mem_mb))
            .min(times(self.gpu, need.gpu))
    }

    /// Whether `total` is within this limit; an amount of 0 means no limit.
    #[must_use]
    pub fn allows(&self, total: &Resources) -> bool {
        let within = |bound: u64, total: u64| bound == 0 || total <= bound;
        within(self.cpu, total.cpu)
            && within(self.mem_mb, total.mem_mb)
            && within(self.gpu, total.gpu)
    }
}

impl AddAssign<&Resources> for Resources {
    fn add_assign(&mut self, other: &Resources) {
        self.cpu += other.cpu;
        self.mem_mb += other.mem_mb;
        self.gpu += other.gpu;
    }
}

impl SubAssign<&Resources> for Resources {
    fn sub_assign(&mut self, other: &Resources) {
        *self = self.saturating_sub(other);
    }
}
