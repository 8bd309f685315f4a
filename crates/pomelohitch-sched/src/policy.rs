//! Policy switches and parameters. Mechanisms are on by default unless their documentation says
//! otherwise; experiments switch single ones or change a parameter to determine its effect.

use std::time::Duration;

use crate::suspicion::CrashLimits;

/// Enabled scheduling mechanisms and their parameters.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub struct Policy {
    /// Jobs that cannot meet their objective wait for those that still can.
    pub ranks_late_last: bool,
    /// Multiple of the objective beyond which a job counts as late by declared run times. Above 1
    /// because these are rough and would otherwise hold back jobs that can still meet their
    /// objective.
    pub late_factor: f64,
    /// The same by learned run times.
    pub learned_late_factor: f64,
    /// Jobs are ordered by latest start time instead of arrival time.
    pub by_latest_start: bool,
    /// Under overload, defers the jobs with the most work, so that the others can meet their
    /// objectives.
    pub defers_on_overload: bool,
    /// How much is let in under overload follows from how the jobs let in end.
    pub adapts_to_overload: bool,
    /// Under overload, jobs that have begun go before others, and late ones aren't begun while
    /// others wait that can meet their objectives.
    pub finishes_first: bool,
    /// Room is divided among workspaces over all pools when it doesn't suffice.
    pub shares_over_pools: bool,
    /// Late jobs are promoted shortly before their result becomes useless to the caller.
    pub promotes_expiring: bool,
    /// Run times are learned from runs that end; otherwise the declared ones are relied on.
    pub learns_run_times: bool,
    /// Jobs that can't be of use any more are refused. Off by default: under a lasting overload
    /// half of those refused would be of use.
    pub refuses_useless: bool,
    /// Methods used to forecast demand.
    pub demand: ForecastMethods,
    /// Headroom that pools get beyond the forecast demand.
    pub margins: Margins,
    /// Tasks waiting for capacity count towards a pool's demand.
    pub provisions_backlog: bool,
    /// Instances that no pool will need soon are switched off.
    pub switches_off: bool,
    /// Tasks are packed onto the fullest endpoints to keep others empty.
    pub packs: bool,
    /// An endpoint that left a start unanswered gets no new work until it answers a call.
    pub avoids_unresponsive: bool,
    /// Endpoints on which runs are slow get work only where that isn't worse than to wait.
    pub avoids_slow: bool,
    /// Stragglers of steps that allow copies get one.
    pub copies_stragglers: bool,
    /// Limits for tasks whose endpoints crash.
    pub crashes: CrashLimits,
}

/// Headroom of pools beyond the forecast demand, and the delays of scaling down.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Margins {
    /// Target utilization of a pool's processors, 0 to 1. Below 1 because tasks do not pack exactly
    /// and arrivals vary around the forecast.
    pub target_utilization: f64,
    /// Largest backlog that is provisioned for, as a multiple of the other demand. A backlog drains
    /// within two seconds, which is also the time that an instance takes to arrive.
    pub max_backlog: f64,
    /// Factor on the demand that is kept during the peak of a burst, to cover random arrivals.
    pub peak_factor: f64,
    /// A rising rate is extrapolated by at most this many times the rate itself, because a few
    /// large jobs that arrive together look like a steep rise.
    pub max_rise: f64,
    /// An instance that will be needed within this time is kept: switching it off and on again
    /// costs two moves.
    pub keep_within: Duration,
    /// A surplus has to last this long before instances are switched off.
    pub surplus_delay: Duration,
}

impl Default for Margins {
    fn default() -> Self {
        Margins {
            target_utilization: 0.85,
            max_backlog: 0.5,
            peak_factor: 1.25,
            max_rise: 1.0,
            keep_within: Duration::from_millis(4500),
            surplus_delay: Duration::from_millis(800),
        }
    }
}

/// Methods used to forecast demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastMethods {
    /// Forecasts by the period of the demand.
    pub uses_period: bool,
    /// Extrapolates the recent trend.
    pub uses_trend: bool,
    /// Detects from the arrival rate that a burst has reached its peak or is over.
    pub uses_peak: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            ranks_late_last: true,
            late_factor: 1.4,
            learned_late_factor: 1.0,
            by_latest_start: true,
            defers_on_overload: true,
            adapts_to_overload: true,
            finishes_first: true,
            shares_over_pools: true,
            promotes_expiring: true,
            learns_run_times: true,
            refuses_useless: false,
            demand: ForecastMethods::default(),
            margins: Margins::default(),
            provisions_backlog: true,
            switches_off: true,
            packs: true,
            avoids_unresponsive: true,
            avoids_slow: true,
            copies_stragglers: true,
            crashes: CrashLimits::default(),
        }
    }
}

impl Default for ForecastMethods {
    fn default() -> Self {
        ForecastMethods {
            uses_period: true,
            uses_trend: true,
            uses_peak: true,
        }
    }
}
