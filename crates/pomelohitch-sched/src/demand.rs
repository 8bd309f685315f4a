//! Forecast of the processors that each service needs.
//!
//! Queues have bursts: for some seconds a queue submits about five times its mean load, and a
//! twentieth of it in between. Moving an instance takes about two seconds, half the length of a
//! burst, so pools have to be scaled ahead of the demand. Bursts come in the same order again and
//! again, so past demand has a period.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UnixMs;
use crate::id::ServiceName;
use crate::job::StepSpec;
use crate::policy::{ForecastMethods, Margins};

/// Length of a bucket of the time series, milliseconds. A job's steps take two or more buckets.
const BUCKET_MS: u64 = 250;
/// Number of buckets kept: three times the longest detectable period.
const KEPT_BUCKETS: u64 = 360;
/// Shortest and longest detectable period in buckets: 6 s to 30 s.
const PERIODS: std::ops::RangeInclusive<u64> = 24..=120;
/// Buckets beyond a whole period that have to be observed before the period can be detected.
const PERIOD_MARGIN: u64 = 12;
/// Smallest autocorrelation, 0 to 1, of a lag to be taken for the period.
const MIN_AUTOCORRELATION: f64 = 0.6;
/// A longer lag needs an autocorrelation higher by this much, because multiples of the true period
/// reach the same value.
const LONGER_LAG_MARGIN: f64 = 0.05;
/// A burst of a service is over when its largest arrival rate exceeded `BURST_PEAK` and was this
/// many times the present rate.
const BURST_END_RATIO: f64 = 4.0;
/// Smallest arrival rate of a burst, thousandths of a core; a few tasks do not reach it.
const BURST_PEAK: f64 = 30_000.0;
/// Number of neighbouring buckets, on both sides together, averaged with a bucket: about the time
/// for which jobs may wait.
const SMOOTHING_BUCKETS: u64 = 4;
/// Buckets over which the forecast is compared with actual demand.
const CHECKED_BUCKETS: u64 = 4;
/// Share of the forecast demand that has to occur for the period to be trusted.
const MIN_FORECAST_SHARE: f64 = 0.3;
/// Arrivals count as steady up to this ratio between one span and the one before.
const STEADY_GROWTH: f64 = 1.1;
/// Number of buckets over which the arrival rate is computed.
const RATE_BUCKETS: u64 = 3;
/// `RATE_BUCKETS` as the length of a sliding window.
const RATE_WINDOW: usize = 3;
/// A rise is extrapolated for at most the time that a move takes.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(2);
/// Safety margin for random arrivals, in standard deviations of their count.
const MARGIN_DEVIATIONS: f64 = 1.0;

/// Work that arrived in a bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Thousandths of a core times milliseconds.
    work: f64,
    jobs: u32,
}

impl Arrivals {
    /// Relative uncertainty of the arrival rate, from the number of jobs (Poisson arrivals).
    fn relative_error(&self) -> f64 {
        MARGIN_DEVIATIONS / f64::from(self.jobs.max(1)).sqrt()
    }
}

/// Expected run times of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepTimes {
    /// Run time of one task.
    pub task: Duration,
    /// Time until all tasks are done that start together.
    pub all: Duration,
}

/// Past and forecast demand of each service.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Thousandths of a core that would be in use if every task started at once, by service and
    /// bucket.
    wanted: BTreeMap<ServiceName, BTreeMap<u64, f64>>,
    arrived: BTreeMap<ServiceName, BTreeMap<u64, Arrivals>>,
    first_bucket: Option<u64>,
    last_bucket: u64,
    period: Option<u64>,
    period_checked_at: u64,
    methods: ForecastMethods,
    margins: Margins,
}

impl Demand {
    /// Creates a forecast without any history.
    #[must_use]
    pub fn new(methods: ForecastMethods, margins: Margins) -> Demand {
        Demand {
            methods,
            margins,
            ..Demand::default()
        }
    }

    /// Adds the work of a job that arrived at `at_ms`, by the expected run times of its steps.
    pub fn add(
        &mut self,
        service: &ServiceName,
        steps: &[StepSpec],
        at_ms: UnixMs,
        times: impl Fn(&StepSpec) -> StepTimes,
    ) {
        let bucket = at_ms / BUCKET_MS;
        self.first_bucket = Some(
            self.first_bucket
                .map_or(bucket, |first_bucket| first_bucket.min(bucket)),
        );
        self.last_bucket = self.last_bucket.max(bucket);
        let wanted = self.wanted.entry(service.clone()).or_default();
        let mut work = 0.0;
        let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
        for step in steps {
            let begins = step.after.iter().map(|&a| ends[usize::from(a)]).max();
            let begins = begins.unwrap_or(at_ms);
            let times = times(step);
            let takes = millis(times.task);
            ends.push(begins.saturating_add(millis(times.all)));
            let ends_at = begins.saturating_add(takes);
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

    /// Peak demand of a service from now until `ahead` from now, thousandths of a core.
    #[must_use]
    pub fn peak(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> f64 {
        let now = now_ms / BUCKET_MS;
        let trend_ahead = ahead.min(MAX_EXTRAPOLATION);
        let ahead = u64::try_from(ahead.as_millis()).unwrap_or(0) / BUCKET_MS;
        let series = self.wanted.get(service);
        let at = |bucket: u64| series.and_then(|s| s.get(&bucket)).copied().unwrap_or(0.0);
        let known = (now..=now + ahead)
            .map(|b| smooth(&at, b))
            .fold(0.0, f64::max);
        let Some(period) = self.trusted_period(now) else {
            let rising = self.methods.uses_trend;
            let trend = || self.trend(service, now_ms, trend_ahead);
            return known.max(if rising { trend() } else { 0.0 });
        };
        let before = (now..=now + ahead)
            .map(|b| smooth(&at, b - period))
            .fold(0.0, f64::max);
        known.max(before)
    }

    /// Peak demand of a service as [`Demand::peak`] gives it, if it can be relied on for scaling
    /// down: the period is known, a burst has just ended, or a burst has stopped rising. `None` if
    /// a burst may come at any time.
    #[must_use]
    pub fn forecast(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> Option<f64> {
        let peak = self.peak(service, now_ms, ahead);
        let is_periodic = self.trusted_period(now_ms / BUCKET_MS).is_some();
        if !self.methods.uses_peak {
            return is_periodic.then_some(peak);
        }
        if is_periodic || self.is_burst_over(service, now_ms) {
            return Some(peak);
        }
        self.is_at_peak(service, now_ms)
            .then_some(peak * self.margins.peak_factor)
    }

    /// Whether a service is in a burst whose arrival rate has stopped rising. The rise has been
    /// extrapolated before, and the instances provided beyond the peak would stay idle for the rest
    /// of the burst.
    fn is_at_peak(&self, service: &ServiceName, now_ms: UnixMs) -> bool {
        let now = now_ms / BUCKET_MS;
        let span = as_f64(RATE_BUCKETS * BUCKET_MS);
        let recent = span + as_f64(now_ms % BUCKET_MS);
        let rate = self
            .arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1)
            .work
            / recent;
        let before = self.arrivals(service, previous_span(now));
        rate > BURST_PEAK && rate <= STEADY_GROWTH * before.work / span
    }

    /// Whether the arrival rate of a service has dropped far below its past peak. Outstanding work
    /// would show the end of a burst only two seconds later, because jobs still run after the last
    /// one has arrived.
    fn is_burst_over(&self, service: &ServiceName, now_ms: UnixMs) -> bool {
        let now = now_ms / BUCKET_MS;
        let Some(arrived) = self.arrived.get(service) else {
            return false;
        };
        let mut windows = std::collections::VecDeque::from([0.0; RATE_WINDOW]);
        let mut peak: f64 = 0.0;
        for bucket in arrived.keys().next().copied().unwrap_or(now)..=now {
            windows.pop_front();
            windows.push_back(arrived.get(&bucket).map_or(0.0, |a| a.work));
            peak = peak.max(windows.iter().sum::<f64>());
        }
        let span = as_f64(RATE_BUCKETS * BUCKET_MS);
        let recent = self
            .arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1)
            .work;
        peak / span > BURST_PEAK && peak > BURST_END_RATIO * recent
    }

    /// Expected demand `ahead` from now, thousandths of a core: the recent arrival rate with its
    /// rise extrapolated, because a burst builds up over some seconds.
    ///
    /// Uses the lower confidence bounds of rate and rise, given the number of jobs that they are
    /// computed from; otherwise one large job would look like the start of a burst.
    fn trend(&self, service: &ServiceName, now_ms: UnixMs, ahead: Duration) -> f64 {
        let now = now_ms / BUCKET_MS;
        let span = RATE_BUCKETS * BUCKET_MS;
        let recent = span + now_ms % BUCKET_MS;
        let rate = self.arrivals(service, now.saturating_sub(RATE_BUCKETS)..now + 1);
        let before = self.arrivals(service, previous_span(now));
        let rate_lower_bound = rate.work * (1.0 - rate.relative_error()) / as_f64(recent);
        let before_upper_bound = before.work * (1.0 + before.relative_error()) / as_f64(span);
        let rise =
            (rate_lower_bound - before_upper_bound).max(0.0) / as_f64(u64::midpoint(recent, span));
        let extrapolated = rise * (ahead.as_secs_f64() * 1000.0);
        rate_lower_bound + extrapolated.min(rate_lower_bound * self.margins.max_rise)
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

    /// The period, unless the demand that it predicted for the last buckets has not occurred:
    /// callers may have stopped, and instances would be kept for bursts that do not come.
    fn trusted_period(&self, now: u64) -> Option<u64> {
        let period = self.period?;
        let sum = |buckets: std::ops::Range<u64>| -> f64 {
            let series = self.wanted.values();
            series
                .flat_map(|s| s.range(buckets.clone()))
                .map(|(_, wanted)| wanted)
                .sum()
        };
        let recent = now.saturating_sub(CHECKED_BUCKETS)..now;
        let before = recent.start.saturating_sub(period)..recent.end.saturating_sub(period);
        (sum(recent) >= sum(before) * MIN_FORECAST_SHARE).then_some(period)
    }

    /// Period of the bursts; `None` until it is detected.
    #[must_use]
    pub fn period(&self) -> Option<Duration> {
        self.period.map(|p| Duration::from_millis(p * BUCKET_MS))
    }

    /// Drops old buckets and detects the period again, about once a second.
    pub fn refresh(&mut self, now_ms: UnixMs) {
        const EVERY_BUCKETS: u64 = 4;
        let now = now_ms / BUCKET_MS;
        if now < self.period_checked_at + EVERY_BUCKETS {
            return;
        }
        self.period_checked_at = now;
        let oldest = now.saturating_sub(KEPT_BUCKETS);
        for series in self.wanted.values_mut() {
            *series = series.split_off(&oldest);
        }
        for series in self.arrived.values_mut() {
            *series = series.split_off(&oldest);
        }
        self.first_bucket = self
            .first_bucket
            .map(|first_bucket| first_bucket.max(oldest));
        self.period = self
            .methods
            .uses_period
            .then(|| self.find_period(now))
            .flatten();
    }

    fn find_period(&self, now: u64) -> Option<u64> {
        let seen = now.saturating_sub(self.first_bucket?);
        let mut best: Option<(u64, f64)> = None;
        for lag in PERIODS.take_while(|lag| lag + PERIOD_MARGIN <= seen) {
            let autocorrelation = self.autocorrelation(now, lag);
            let threshold = best.map_or(MIN_AUTOCORRELATION, |(_, best)| best + LONGER_LAG_MARGIN);
            if autocorrelation > threshold {
                best = Some((lag, autocorrelation));
            }
        }
        best.map(|(lag, _)| lag)
    }

    /// Autocorrelation of the series at `lag` buckets, 0 to 1.
    fn autocorrelation(&self, now: u64, lag: u64) -> f64 {
        let from = self.first_bucket.unwrap_or(now) + lag;
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

/// Moving average around a bucket: single large jobs do not recur at the same time, and jobs that
/// arrive together may wait for about that long.
fn smooth(at: &impl Fn(u64) -> f64, bucket: u64) -> f64 {
    let around = bucket.saturating_sub(SMOOTHING_BUCKETS / 2)..=bucket + SMOOTHING_BUCKETS / 2;
    #[expect(clippy::cast_precision_loss, reason = "a few buckets")]
    let count = (SMOOTHING_BUCKETS + 1) as f64;
    around.map(at).sum::<f64>() / count
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Amounts of resources and times are small enough to be exact in an `f64`.
#[expect(clippy::cast_precision_loss)]
fn as_f64(number: u64) -> f64 {
    number as f64
}

/// The span of buckets before the one over which the present rate is computed.
fn previous_span(now: u64) -> std::ops::Range<u64> {
    now.saturating_sub(2 * RATE_BUCKETS)..now.saturating_sub(RATE_BUCKETS)
}
