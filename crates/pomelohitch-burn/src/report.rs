//! Error budget left, burn rates over several windows, and alarms.
//!
//! The burn rate is the share of bad answers divided by the share that the objective allows: at 1
//! the error budget lasts exactly for the objective's window. An alarm requires a high burn rate
//! over a long and over a short window, so that it is raised soon after a fast burn begins and ends
//! soon after the burn does (rules as in Google's Site Reliability Workbook, chapter 5).

use pomelohitch_core::Service;
use pomelohitch_core::id::{ServiceId, TeamId};
use serde::Serialize;

use crate::counts::Tally;
use crate::ledger::{Gap, Ledger};
use crate::{MINUTE_SECONDS, Minute};

/// Parts per million in a whole.
const MILLION: f64 = 1_000_000.0;

/// The windows of a report, in minutes.
pub const WINDOWS: [Minute; 5] = [5, 30, 60, 6 * 60, 3 * 24 * 60];

/// A condition that raises an alarm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AlarmRule {
    /// The long window, in minutes.
    pub long_minutes: Minute,
    /// The short window, in minutes.
    pub short_minutes: Minute,
    /// The rule holds if the burn rate exceeds this over both windows.
    pub threshold: f64,
}

/// The rules, each of which raises an alarm.
pub const ALARM_RULES: [AlarmRule; 3] = [
    AlarmRule {
        long_minutes: 60,
        short_minutes: 5,
        threshold: 14.4,
    },
    AlarmRule {
        long_minutes: 6 * 60,
        short_minutes: 30,
        threshold: 6.0,
    },
    AlarmRule {
        long_minutes: 3 * 24 * 60,
        short_minutes: 6 * 60,
        threshold: 1.0,
    },
];

/// The error budgets and burn rates of all services that have an objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The last minute of all windows.
    pub now: Minute,
    /// The first minute with a record; `None` if there are no records.
    pub counted_since: Option<Minute>,
    /// For each service a line over all teams, then one for each team.
    pub lines: Vec<Line>,
    /// Gaps in the counts within the longest objective window.
    pub gaps: Vec<Gap>,
}

/// The error budget and burn rates of one service, over all teams or for one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The service.
    pub service: ServiceId,
    /// The team; `None` for all.
    pub team: Option<TeamId>,
    /// The objective: share of good answers, in parts per million.
    pub good_ppm: u32,
    /// The answers in the objective's window.
    pub answers: Tally,
    /// Share of the error budget that is left: 1 if it is unused, below 0 if it is exceeded; `None`
    /// if there were no answers.
    pub budget_left: Option<f64>,
    /// The burn rate over each of [`WINDOWS`].
    pub burns: Vec<Burn>,
    /// Whether an alarm rule holds.
    pub alarm: bool,
}

/// The burn rate over one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Burn {
    /// Length of the window, in minutes.
    pub minutes: Minute,
    /// The burn rate; `None` if there were no answers.
    pub burn: Option<f64>,
}

impl Report {
    /// Creates the report on `services` from the counts in `ledger` up to and including the minute
    /// `now`.
    #[must_use]
    pub fn new<'a>(
        ledger: &Ledger,
        services: impl IntoIterator<Item = &'a Service>,
        now: Minute,
    ) -> Report {
        let pairs = ledger.service_teams();
        let mut lines = Vec::new();
        let mut longest = 0;
        for service in services {
            let Some(objective) = &service.objective else {
                continue;
            };
            let window = objective.window.as_secs() / MINUTE_SECONDS;
            longest = longest.max(window);
            let teams = pairs.iter().filter(|pair| pair.service == service.id);
            let teams = teams.map(|pair| Some(&*pair.team));
            for team in std::iter::once(None).chain(teams) {
                let input = LineInput {
                    ledger,
                    service: &service.id,
                    team,
                    now,
                    allowed: f64::from(1_000_000 - objective.good_ppm) / MILLION,
                };
                lines.push(input.line(objective.good_ppm, window));
            }
        }
        Report {
            now,
            counted_since: ledger.first_minute(),
            lines,
            gaps: ledger.gaps(now.saturating_sub(longest), now),
        }
    }

    /// Returns whether any line raises an alarm.
    #[must_use]
    pub fn is_burning(&self) -> bool {
        self.lines.iter().any(|line| line.alarm)
    }
}

/// The input of one line.
struct LineInput<'a> {
    ledger: &'a Ledger,
    service: &'a ServiceId,
    team: Option<&'a str>,
    now: Minute,
    /// Share of bad answers that the objective allows.
    allowed: f64,
}

impl LineInput<'_> {
    fn line(&self, good_ppm: u32, window: Minute) -> Line {
        let answers = self.tally(window);
        let burns = WINDOWS.map(|minutes| Burn {
            minutes,
            burn: self.burn_rate(minutes),
        });
        Line {
            service: self.service.clone(),
            team: self.team.map(Into::into),
            good_ppm,
            answers,
            budget_left: self.burn_rate(window).map(|burn| 1.0 - burn),
            burns: burns.into(),
            alarm: ALARM_RULES.iter().any(|rule| self.is_met(rule)),
        }
    }

    fn is_met(&self, rule: &AlarmRule) -> bool {
        let is_fast = |minutes| {
            self.burn_rate(minutes)
                .is_some_and(|burn| burn > rule.threshold)
        };
        is_fast(rule.long_minutes) && is_fast(rule.short_minutes)
    }

    fn burn_rate(&self, minutes: Minute) -> Option<f64> {
        burn_rate(self.tally(minutes), self.allowed)
    }

    fn tally(&self, minutes: Minute) -> Tally {
        let from = (self.now + 1).saturating_sub(minutes);
        self.ledger.tally(self.service, self.team, from, self.now)
    }
}

/// Returns the share of bad answers divided by `allowed`, the share that the objective allows;
/// `None` if there are no answers.
#[must_use]
pub fn burn_rate(tally: Tally, allowed: f64) -> Option<f64> {
    // Counts stay far below 2^52, so the conversion is exact.
    #[expect(clippy::cast_precision_loss)]
    let share = |count: u64| count as f64 / tally.total() as f64;
    (tally.total() > 0).then(|| share(tally.bad) / allowed)
}
