//! How many processors each service will want.
//!
//! The load that this answers: queues have their turns, in which each asks about five times its
//! mean for some seconds and a twentieth in between. An instance takes about two seconds to move,
//! half a turn, so that pools have to follow what is about to be wanted. Turns come in the same
//! order again and again, which shows as a period in what was wanted so far.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UnixMs;
use crate::id::ServiceName;
use crate::job::StepSpec;
use crate::policy::{Foresight, Margins};

/// Length of one bucket of the series, milliseconds: a job's steps take two or more.
const BUCKET_MS: u64 = 250;
/// Buckets that are kept: three periods of the longest that is looked for.
const KEPT: u64 = 360;
/// The shortest and longest period that is looked for, buckets: 6 s to 30 s.
const PERIODS: std::ops::RangeInclusive<u64> = 24..=120;
/// Buckets beyond a whole period that have to be seen before it counts.
const OVERLAP: u64 = 12;
/// Autocorrelation, 0 to 1, above which a lag is taken for the period.
const MIN_AUTOCORRELATION: f64 = 0.6;
/// How much larger the autocorrelation of a longer period has to be: multiples of the true period
/// reach the same.
const LONGER_BONUS: f64 = 0.05;
/// A service has its turn behind it when this many times what arrives now once arrived, and more than
/// a few tasks take, thousandths of a core.
const TURN_RATIO: f64 = 4.0;
const TURN_PEAK: f64 = 30_000.0;
/// Neighbours, on both sides together, of the mean around a bucket: jobs may wait about so long.
const SMOOTHING_BUCKETS: u64 = 4;
/// Buckets over which the forecast is compared with arrivals.
const CHECKED: u64 = 4;
/// Share of the forecast that has to have arrived for the period to be trusted.
const MIN_FORECAST_HIT: f64 = 0.3;
/// Growth from one span to the next, as a ratio, up to which arrivals count as steady.
const STEADY_GROWTH: f64 = 1.1;
/// The rate of arriving work is taken over so many buckets.
const RATE_BUCKETS: u64 = 3;
/// The same number, as the length of a sliding window.
const WINDOW: usize = 3;
/// A rise is carried on for no longer than a move takes.
const TREND_AHEAD: Duration = Duration::from_secs(2);
/// Standard deviations of a count of random arrivals that are allowed for.
const STANDARD_DEVIATIONS: f64 = 1.0;

/// What arrived in a bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Thousandths of a core times milliseconds.
    work: f64,
    jobs: u32,
}

impl Arrivals {
    /// How far off the work may be as a measure of what arrives, as a part of it.
    fn doubt(&self) -> f64 {
        STANDARD_DEVIATIONS / f64::from(self.jobs.max(1)).sqrt()
    }
}

/// What each service wanted, and will want.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Thousandths of a core that would be in use if every task started at once.
    wanted: BTreeMap<ServiceName, BTreeMap<u64, f64>>,
    arrived: BTreeMap<ServiceName, BTreeMap<u64, Arrivals>>,
    first: Option<u64>,
    last: u64,
    period: Option<u64>,
    looked_at: u64,
    foresight: Foresight,
    margins: Margins,
}

impl Demand {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(foresight: Foresight, margins: Margins) -> Demand {
        Demand {
            foresight,
            margins,
            ..Demand::default()
        }
    }

    /// Takes in that work came at `at_ms`.
    pub fn add(&mut self, service: &ServiceName, steps: &[StepSpec], at_ms: UnixMs) {
        let bucket = at_ms / BUCKET_MS;
        self.first = Some(self.first.map_or(bucket, |first| first.min(bucket)));
        self.last = self.last.max(bucket);
        let wanted = self.wanted.entry(service.clone()).or_default();
        let mut work = 0.0;
        let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
        for step in steps {
            let begins = step.after.iter().map(|&a| ends[usize::from(a)]).max();
            let begins = begins.unwrap_or(at_ms);
            let takes = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            let ends_at = begins.saturating_add(takes);
            ends.push(ends_at);
            if step.is_lasting {
                continue;
            }
            let cpu = as_f64(step.need.cpu) * f64::from(step.count);
            work += cpu * as_f64(takes);
            for bucket in begins / BUCKET_MS..ends_at.min(begins + 60_000).div_ceil(BUCKET_MS) {
                *wanted.entry(bucket).or_default() += cpu;
            }
        }
        let arrived = self.arrived.entry(service.clone()).or_default();
        let arrivals = arrived.entry(bucket).or_default();
        arrivals.work += work;
        arrivals.jobs += 1;
    }

    /// The most that a service will want from now until `ahead` from now, thousandths of a core.
    #[must_use]
    pub fn most(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> f64 {
        let now = now_ms / BUCKET_MS;
        let look_ahead = ahead.min(TREND_AHEAD);
        let ahead = u64::try_from(ahead.as_millis()).unwrap_or(0) / BUCKET_MS;
        let series = self.wanted.get(service);
        let at = |bucket: u64| series.and_then(|s| s.get(&bucket)).copied().unwrap_or(0.0);
        let known = (now..=now + ahead)
            .map(|b| smooth(&at, b))
            .fold(0.0, f64::max);
        let Some(period) = self.trusted_period(now) else {
            let rising = self.foresight.uses_rise;
            let trend = || self.trend(service, now_ms, look_ahead);
            return known.max(if rising { trend() } else { 0.0 });
        };
        let before = (now..=now + ahead)
            .map(|b| smooth(&at, b - period))
            .fold(0.0, f64::max);
        known.max(before)
    }

    /// The same for as long as it can be foreseen: by the period, or, before that is known, for a
    /// service that has just had its turn, or whose turn doesn't rise any more. `None` if a turn may
    /// come at any time.
    #[must_use]
    pub fn foreseen(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> Option<f64> {
        let most = self.most(service, now_ms, ahead);
        let is_periodic = self.trusted_period(now_ms / BUCKET_MS).is_some();
        if !self.foresight.uses_height {
            return is_periodic.then_some(most);
        }
        if is_periodic || self.has_had_turn(service, now_ms) {
            return Some(most);
        }
        self.is_at_height(service, now_ms)
            .then_some(most * self.margins.height)
    }

    /// Whether a service has its turn, and what arrives has stopped rising. The rise before was
    /// carried on, and what it brought beyond the height would stay idle for the rest of the turn.
    fn is_at_height(&self, service: &ServiceName, now_ms: UnixMs) -> bool {
        let now = now_ms / BUCKET_MS;
        let span = as_f64(RATE_BUCKETS * BUCKET_MS);
        let lately = span + as_f64(now_ms % BUCKET_MS);
        let rate = self
            .arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1)
            .work
            / lately;
        let before = self.arrivals(service, earlier(now));
        rate > TURN_PEAK && rate <= STEADY_GROWTH * before.work / span
    }

    /// Whether much more has arrived for a service than arrives now. By what is still wanted the end of
    /// a turn would show two seconds later, since jobs go on after the last has arrived.
    fn has_had_turn(&self, service: &ServiceName, now_ms: UnixMs) -> bool {
        let now = now_ms / BUCKET_MS;
        let Some(arrived) = self.arrived.get(service) else {
            return false;
        };
        let mut windows = std::collections::VecDeque::from([0.0; WINDOW]);
        let mut peak: f64 = 0.0;
        for bucket in arrived.keys().next().copied().unwrap_or(now)..=now {
            windows.pop_front();
            windows.push_back(arrived.get(&bucket).map_or(0.0, |a| a.work));
            peak = peak.max(windows.iter().sum::<f64>());
        }
        let span = as_f64(RATE_BUCKETS * BUCKET_MS);
        let lately = self
            .arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1)
            .work;
        peak / span > TURN_PEAK && peak > TURN_RATIO * lately
    }

    /// What arriving work will take `ahead` from now, thousandths of a core: the rate of the last
    /// moments, and its rise carried on, since a turn begins over some seconds.
    ///
    /// Both by what they are at least, given how few jobs they are known from: one large job would
    /// look like the beginning of a turn otherwise.
    fn trend(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> f64 {
        let now = now_ms / BUCKET_MS;
        let span = RATE_BUCKETS * BUCKET_MS;
        let lately = span + now_ms % BUCKET_MS;
        let rate = self.arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1);
        let before = self.arrivals(service, earlier(now));
        let least = rate.work * (1.0 - rate.doubt()) / as_f64(lately);
        let most_before = before.work * (1.0 + before.doubt()) / as_f64(span);
        let rise = (least - most_before).max(0.0) / as_f64(u64::midpoint(lately, span));
        let carried = rise * (ahead.as_secs_f64() * 1000.0);
        least + carried.min(least * self.margins.most_rise)
    }

    fn arrivals(&self, service: &ServiceName, buckets: std::ops::Range<u64>) -> Arrivals {
        let mut sum = Arrivals::default();
        let arrived = self.arrived.get(service);
        for (_, arrivals) in arrived.into_iter().flat_map(|a| a.range(buckets.clone())) {
            sum.work += arrivals.work;
            sum.jobs += arrivals.jobs;
        }
        sum
    }

    /// The period, unless what it foretold for the last moments has not come: callers may have
    /// stopped, and pools would be kept for turns that nobody asks for.
    fn trusted_period(&self, now: u64) -> Option<u64> {
        let period = self.period?;
        let sum = |buckets: std::ops::Range<u64>| -> f64 {
            let series = self.wanted.values();
            series
                .flat_map(|s| s.range(buckets.clone()))
                .map(|(_, wanted)| wanted)
                .sum()
        };
        let lately = now.saturating_sub(CHECKED)..now;
        let before = lately.start.saturating_sub(period)..lately.end.saturating_sub(period);
        (sum(lately) >= sum(before) * MIN_FORECAST_HIT).then_some(period)
    }

    /// The period in which turns repeat, once it is known.
    #[must_use]
    pub fn period(&self) -> Option<Duration> {
        self.period.map(|p| Duration::from_millis(p * BUCKET_MS))
    }

    /// Drops what is old, and looks for the period, about once a second.
    pub fn tend(&mut self, now_ms: UnixMs) {
        const EVERY: u64 = 4;
        let now = now_ms / BUCKET_MS;
        if now < self.looked_at + EVERY {
            return;
        }
        self.looked_at = now;
        let oldest = now.saturating_sub(KEPT);
        for series in self.wanted.values_mut() {
            *series = series.split_off(&oldest);
        }
        for series in self.arrived.values_mut() {
            *series = series.split_off(&oldest);
        }
        self.first = self.first.map(|first| first.max(oldest));
        self.period = self
            .foresight
            .uses_period
            .then(|| self.find_period(now))
            .flatten();
    }

    fn find_period(&self, now: u64) -> Option<u64> {
        let seen = now.saturating_sub(self.first?);
        let mut best: Option<(u64, f64)> = None;
        for lag in PERIODS.take_while(|lag| lag + OVERLAP <= seen) {
            let likeness = self.likeness(now, lag);
            let bar = best.map_or(MIN_AUTOCORRELATION, |(_, best)| best + LONGER_BONUS);
            if likeness > bar {
                best = Some((lag, likeness));
            }
        }
        best.map(|(lag, _)| lag)
    }

    /// How like the series is to itself `lag` buckets ago, 0 to 1.
    fn likeness(&self, now: u64, lag: u64) -> f64 {
        let from = self.first.unwrap_or(now) + lag;
        let (mut product, mut newer, mut older) = (0.0, 0.0, 0.0);
        for series in self.wanted.values() {
            let at = |bucket: u64| series.get(&bucket).copied().unwrap_or(0.0);
            for bucket in from..now {
                let (a, b) = (at(bucket), at(bucket - lag));
                product += a * b;
                newer += a * a;
                older += b * b;
            }
        }
        if newer <= 0.0 || older <= 0.0 {
            return 0.0;
        }
        product / (newer * older).sqrt()
    }
}

/// The mean around a bucket: single large jobs don't come again at the same time, and what comes
/// together can wait for as long.
fn smooth(at: &impl Fn(u64) -> f64, bucket: u64) -> f64 {
    let around = bucket.saturating_sub(SMOOTHING_BUCKETS / 2)..=bucket + SMOOTHING_BUCKETS / 2;
    #[expect(clippy::cast_precision_loss, reason = "a few buckets")]
    let count = (SMOOTHING_BUCKETS + 1) as f64;
    around.map(at).sum::<f64>() / count
}

/// Amounts of resources and times are far below the numbers that a float can't hold.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}

/// The buckets before those that the rate is taken over.
fn earlier(now: u64) -> std::ops::Range<u64> {
    now.saturating_sub(2 * RATE_BUCKETS)..now.saturating_sub(RATE_BUCKETS)
}
