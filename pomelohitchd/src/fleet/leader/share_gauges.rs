//! Gauges of the room that pools and workspaces want and get.

use std::collections::BTreeSet;

use pomelohitch_sched::WorkspaceName;
use pomelohitch_sched::cell::sharing::Shares;

/// Thousandths of a core in a core.
const MILLICORES: f64 = 1000.0;

/// Gauges set so far.
#[derive(Debug, Default)]
pub(super) struct ShareGauges {
    workspaces: BTreeSet<WorkspaceName>,
}

impl ShareGauges {
    /// Sets the gauges. Those of workspaces that are no longer among the shares become 0.
    pub(super) fn record(&mut self, shares: &Shares) {
        for (pool, share) in &shares.pools {
            let set = |gauge: metrics::Gauge, cpu: f64| gauge.set(cpu / MILLICORES);
            let pool = || pool.to_string();
            set(
                metrics::gauge!("pool_wanted_cpu", "pool" => pool()),
                share.wanted,
            );
            set(
                metrics::gauge!("pool_granted_cpu", "pool" => pool()),
                share.granted,
            );
            set(
                metrics::gauge!("pool_held_cpu", "pool" => pool()),
                share.held,
            );
            metrics::gauge!("pool_let_in_ratio", "pool" => pool()).set(share.ratio);
            let deferred = u32::try_from(share.deferred).unwrap_or(u32::MAX);
            metrics::gauge!("pool_jobs_deferred", "pool" => pool()).set(f64::from(deferred));
        }
        let names = shares.workspaces.keys().flatten().cloned();
        self.workspaces.extend(names);
        for name in &self.workspaces {
            let share = shares.workspaces.get(&Some(name.clone()));
            let share = share.copied().unwrap_or_default();
            metrics::gauge!("workspace_wanted_cpu", "workspace" => name.to_string())
                .set(share.wanted / MILLICORES);
            metrics::gauge!("workspace_granted_cpu", "workspace" => name.to_string())
                .set(share.granted / MILLICORES);
        }
        self.workspaces
            .retain(|name| shares.workspaces.contains_key(&Some(name.clone())));
    }
}
