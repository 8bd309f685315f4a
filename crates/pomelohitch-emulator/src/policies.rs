//! Scheduling policies by the names of their mechanisms and parameters.

use std::time::Duration;

use pomelohitch_sched::policy::Policy;

/// Name of a mechanism, and the function that switches it off.
pub type Switch = (&'static str, fn(&mut Policy));

/// Every mechanism that can be switched off.
pub const SWITCHES: [Switch; 19] = [
    ("late-last", |p| p.ranks_late_last = false),
    ("latest-start", |p| p.by_latest_start = false),
    ("deferral", |p| p.defers_on_overload = false),
    ("adaptation", |p| p.adapts_to_overload = false),
    ("finish-first", |p| p.finishes_first = false),
    ("sharing", |p| p.shares_over_pools = false),
    ("promotion", |p| p.promotes_expiring = false),
    ("estimates", |p| p.learns_run_times = false),
    ("period", |p| p.demand.uses_period = false),
    ("rise", |p| p.demand.uses_trend = false),
    ("height", |p| p.demand.uses_peak = false),
    ("backlog", |p| p.provisions_backlog = false),
    ("switch-off", |p| p.switches_off = false),
    ("surplus-delay", |p| {
        p.margins.surplus_delay = Duration::ZERO;
    }),
    ("packing", |p| p.packs = false),
    ("doubt", |p| p.avoids_unresponsive = false),
    ("isolation", |p| p.crashes.isolates = false),
    ("speeds", |p| p.avoids_slow = false),
    ("copies", |p| p.copies_stragglers = false),
];

/// Name of a numeric parameter, and the function that sets it.
pub type Parameter = (&'static str, fn(&mut Policy, f64));

/// Every numeric parameter that can be set.
pub const PARAMETERS: [Parameter; 16] = [
    ("late-after", |p, n| p.late_factor = n),
    ("learned-late-after", |p, n| p.learned_late_factor = n),
    ("refusing", |p, n| p.refuses_useless = n > 0.0),
    ("fill", |p, n| p.margins.target_utilization = n),
    ("most-backlog", |p, n| p.margins.max_backlog = n),
    ("height", |p, n| p.margins.peak_factor = n),
    ("most-rise", |p, n| p.margins.max_rise = n),
    ("soon-ms", |p, n| p.margins.keep_within = millis(n)),
    ("surplus-ms", |p, n| p.margins.surplus_delay = millis(n)),
    ("lost-alone", |p, n| {
        p.crashes.max_lost_sole_cause = count(n);
    }),
    ("alone", |p, n| p.crashes.min_sole_cause = count(n)),
    ("proven-ms", |p, n| p.crashes.proven_after = millis(n)),
    ("proven-again-ms", |p, n| {
        p.crashes.proven_again_after = millis(n);
    }),
    ("most-isolated", |p, n| p.crashes.max_isolated_share = n),
    ("busy-patience-ms", |p, n| {
        p.crashes.busy_isolation_timeout = millis(n);
    }),
    ("patience-ms", |p, n| {
        p.crashes.isolation_timeout = millis(n);
    }),
];

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are small, and negative ones become 0"
)]
fn count(number: f64) -> u32 {
    number.max(0.0) as u32
}

fn millis(number: f64) -> Duration {
    Duration::from_secs_f64(number.max(0.0) / 1000.0)
}

/// The default policy with changes from a comma-separated list: a name of [`SWITCHES`] switches
/// that mechanism off, and `NAME=NUMBER` sets a parameter of [`PARAMETERS`]. The name `shipped` and
/// empty entries change nothing. Returns `None` if a name is unknown or a number is malformed.
#[must_use]
pub fn parse(changes: &str) -> Option<Policy> {
    let mut policy = Policy::default();
    for change in changes
        .split(',')
        .filter(|c| !c.is_empty() && *c != "shipped")
    {
        if let Some((name, number)) = change.split_once('=') {
            let (_, set) = PARAMETERS.iter().find(|(known, _)| *known == name)?;
            set(&mut policy, number.parse().ok()?);
        } else {
            let (_, switch) = SWITCHES.iter().find(|(known, _)| *known == change)?;
            switch(&mut policy);
        }
    }
    Some(policy)
}
