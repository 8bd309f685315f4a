//! Queue of one service at one entry instance: bounded, deadline-aware and fair between teams.
//!
//! Each team is charged the slot time of its requests divided by its weight, and the team with the
//! lowest charge is served next. Within a team quick requests go before patient ones, except that
//! every [`PATIENT_TURN`]th request is a patient one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pomelohitch_core::id::TeamId;

use crate::terms::Priority;

/// Time on the process's monotonic clock, since an arbitrary fixed start.
pub type Monotonic = Duration;

/// One in this many requests served is a patient one, if any waits.
pub const PATIENT_TURN: u32 = 8;

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting<T> {
    /// The team that sent it.
    pub team: TeamId,
    /// Its priority.
    pub priority: Priority,
    /// The time at which its caller stops waiting.
    pub deadline: Monotonic,
    /// Identifies the request to the owner of the queue.
    pub token: T,
}

/// A request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which capacity is expected for it.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Lane<T> {
    quick: VecDeque<Waiting<T>>,
    patient: VecDeque<Waiting<T>>,
    turns: u32,
    weight: f64,
    /// Slot-seconds charged, divided by the weight.
    charged: f64,
    /// The latest retry time given to a refused request.
    booked: Monotonic,
    /// Number of recent arrivals, accepted or refused; decays with [`fade`](Queue::fade).
    came: f64,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Lane {
            quick: VecDeque::new(),
            patient: VecDeque::new(),
            turns: 0,
            weight: 1.0,
            charged: 0.0,
            booked: Monotonic::ZERO,
            came: 0.0,
        }
    }
}

/// Settings of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Maximum number of queued requests.
    pub bound: usize,
    /// Assumed run time until the first request has ended.
    pub first_guess: Duration,
    /// Upper limit of the time after which a refused request may retry.
    pub longest_retry: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            bound: 256,
            first_guess: Duration::from_millis(50),
            longest_retry: Duration::from_mins(1),
        }
    }
}

/// Queue of one service's requests, ordered by team and priority.
#[derive(Debug)]
pub struct Queue<T> {
    options: Options,
    lanes: BTreeMap<TeamId, Lane<T>>,
    waiting: usize,
    /// Mean time in seconds for which a request occupies a slot.
    mean_run: f64,
    runs: f64,
    slots: f64,
    /// Highest charge at which a team was served (the virtual time of fair queuing). A team that
    /// had nothing queued starts here.
    level: f64,
}

/// Interval between calls of [`Queue::fade`]. Each call removes a quarter of the recent arrivals,
/// so that they cover about the last second.
pub const FADE_EVERY: Duration = Duration::from_millis(250);
/// Teams that need less than this, in slots, are left out of [`Queue::needs`].
const LEAST_NEED: f64 = 0.001;

/// Minimum weight of the newest run in the mean; the first runs have more. Run times vary widely,
/// and with a larger weight permits would move back and forth between members.
const NEWEST: f64 = 0.004;

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(options: Options) -> Queue<T> {
        Queue {
            lanes: BTreeMap::new(),
            waiting: 0,
            mean_run: options.first_guess.as_secs_f64(),
            runs: 1.0,
            slots: 0.0,
            level: 0.0,
            options,
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Number of queued requests of each team.
    pub fn waiting_by_team(&self) -> impl Iterator<Item = (&TeamId, usize)> {
        let lanes = self.lanes.iter();
        lanes.map(|(team, lane)| (team, lane.len()))
    }

    /// Decays the recent arrivals; to be called once every [`FADE_EVERY`].
    pub fn fade(&mut self) {
        for lane in self.lanes.values_mut() {
            lane.came *= 1.0 - FADE_EVERY.as_secs_f64();
        }
    }

    /// Slots that each team needs to serve its requests at the rate at which they arrive, and its
    /// queued requests within a second.
    ///
    /// Running requests are not counted: a team has more running where it is served more, so entry
    /// instances that counted them would ask for what they already have and their shares would
    /// diverge.
    pub fn needs(&self) -> impl Iterator<Item = (&TeamId, f64)> {
        let lanes = self.lanes.iter().map(|(team, lane)| {
            let waiting = f64::from(u32::try_from(lane.len()).unwrap_or(u32::MAX));
            (team, (lane.came + waiting) * self.mean_run)
        });
        lanes.filter(|(_, need)| *need > LEAST_NEED)
    }

    /// Mean time for which a request occupies a slot.
    #[must_use]
    pub fn mean_run(&self) -> Duration {
        Duration::from_secs_f64(self.mean_run)
    }

    /// Sets the number of slots that this entry instance has for the service.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots);
    }

    /// Sets the maximum number of queued requests.
    pub fn set_bound(&mut self, bound: usize) {
        self.options.bound = bound;
    }

    /// Sets a team's weight: the number of slots that it is entitled to at this entry instance.
    pub fn set_weight(&mut self, team: &TeamId, weight: f64) {
        self.lane(team).weight = weight.max(0.01);
    }

    /// Queues a request, or refuses it immediately if it would not be served before its deadline.
    ///
    /// # Errors
    /// With the time after which to retry, which differs for each refused request.
    pub fn offer(&mut self, req: Waiting<T>, now: Monotonic) -> Result<(), Refusal> {
        self.lane(&req.team).came += 1.0;
        let wait = self.expected_wait(&req.team, req.priority);
        // Run times vary and the estimate is inexact: a request expected to end just before its
        // deadline would miss it half of the time, after occupying a slot.
        let run = Duration::from_secs_f64(self.mean_run);
        let served = now + wait + wait / 8 + 2 * run;
        let is_late = !wait.is_zero() && served > req.deadline;
        if is_late || self.is_full_for(&req.team) {
            return Err(self.refuse(&req.team, now, wait));
        }
        let level = self.level;
        let lane = self.lane(&req.team);
        if lane.len() == 0 {
            // A team earns no credit while it has nothing queued.
            lane.charged = lane.charged.max(level);
        }
        match req.priority {
            Priority::Quick => lane.quick.push_back(req),
            Priority::Patient => lane.patient.push_back(req),
        }
        self.waiting += 1;
        Ok(())
    }

    /// Whether `team` has used up its part of the queue.
    ///
    /// If places were given out in order of arrival, the team with the most requests would take all
    /// of them, and a team that cannot queue requests does not get its share.
    fn is_full_for(&self, team: &TeamId) -> bool {
        let bound = f64::from(u32::try_from(self.options.bound).unwrap_or(u32::MAX));
        let (own, sum) = self.weights(team);
        let waiting = self.lanes.get(team).map_or(0, Lane::len);
        let has_part = f64::from(u32::try_from(waiting).unwrap_or(u32::MAX)) >= bound * own / sum;
        // Parts change as teams start and stop queuing; the total is limited to twice the bound.
        has_part || self.waiting >= 2 * self.options.bound
    }

    /// The weight of `team`, and the sum over all teams with queued requests and `team` itself.
    fn weights(&self, team: &TeamId) -> (f64, f64) {
        let own = self.lanes.get(team).map_or(1.0, |lane| lane.weight);
        let others = self
            .lanes
            .iter()
            .filter(|(id, lane)| *id != team && lane.len() > 0);
        (own, own + others.map(|(_, lane)| lane.weight).sum::<f64>())
    }

    /// Assigns the next retry time. Callers refused together are told to retry one after another,
    /// and no faster than capacity becomes available for them.
    fn refuse(&mut self, team: &TeamId, now: Monotonic, wait: Duration) -> Refusal {
        let longest = self.options.longest_retry;
        let apart = Duration::from_secs_f64((1.0 / self.rate_of(team)).min(longest.as_secs_f64()));
        let lane = self.lane(team);
        lane.booked = (lane.booked.max(now + wait) + apart).min(now + longest);
        Refusal {
            retry_after: lane.booked.saturating_sub(now),
        }
    }

    /// Expected wait of a new request, from its team's share and the mean run time.
    #[must_use]
    pub fn expected_wait(&self, team: &TeamId, priority: Priority) -> Duration {
        let Some(lane) = self.lanes.get(team) else {
            return Duration::ZERO;
        };
        let ahead = match priority {
            Priority::Quick => lane.quick.len() + lane.quick.len() / PATIENT_TURN as usize,
            // Quick requests that arrive meanwhile go first, except in the patient requests' turns.
            Priority::Patient if lane.quick.is_empty() => lane.patient.len(),
            Priority::Patient => (lane.patient.len() + 1) * PATIENT_TURN as usize,
        };
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let wait = ahead / self.rate_of(team);
        Duration::from_secs_f64(wait.min(self.options.longest_retry.as_secs_f64()))
    }

    /// Requests of `team` served per second, assuming that all teams with queued requests keep
    /// queuing.
    fn rate_of(&self, team: &TeamId) -> f64 {
        let (own, sum) = self.weights(team);
        (self.slots.max(0.1) * own / sum / self.mean_run.max(1e-4)).max(1e-3)
    }

    /// Whether [`next`](Queue::next) would return a request.
    pub fn has_next(&self, mut may_run: impl FnMut(&TeamId) -> bool) -> bool {
        let mut waiting = self.lanes.iter().filter(|(_, lane)| lane.len() > 0);
        waiting.any(|(team, _)| may_run(team))
    }

    /// Removes the next request of a team accepted by `may_run`, and charges the mean run time to
    /// that team.
    pub fn next(&mut self, mut may_run: impl FnMut(&TeamId) -> bool) -> Option<Waiting<T>> {
        let team = self.next_team(&mut may_run)?;
        let mean_run = self.mean_run;
        let lane = self.lanes.get_mut(&team)?;
        let req = lane.pop()?;
        self.level = self.level.max(lane.charged);
        lane.charged += mean_run / lane.weight;
        self.waiting -= 1;
        Some(req)
    }

    fn next_team(&self, may_run: &mut impl FnMut(&TeamId) -> bool) -> Option<TeamId> {
        let mut waiting: Vec<_> = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.len() > 0)
            .collect();
        waiting.sort_by(|(_, a), (_, b)| a.charged.total_cmp(&b.charged));
        let team = waiting.into_iter().map(|(team, _)| team);
        team.into_iter().find(|team| may_run(team)).cloned()
    }

    /// Removes and returns requests whose deadline has passed, so that their callers get an answer
    /// immediately.
    pub fn expire(&mut self, now: Monotonic) -> Vec<Waiting<T>> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            for queue in [&mut lane.quick, &mut lane.patient] {
                let (late, kept) = std::mem::take(queue)
                    .into_iter()
                    .partition(|req: &Waiting<T>| req.deadline <= now);
                *queue = kept;
                let late: VecDeque<_> = late;
                expired.extend(late);
            }
        }
        self.waiting -= expired.len();
        expired
    }

    /// The earliest deadline of all queued requests.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Monotonic> {
        let lanes = self.lanes.values();
        lanes
            .flat_map(|lane| lane.quick.iter().chain(&lane.patient))
            .map(|req| req.deadline)
            .min()
    }

    /// Records how long a request occupied its slot, and corrects the charge of its team
    /// accordingly.
    pub fn ran(&mut self, team: &TeamId, run: Duration) {
        let charged = self.mean_run;
        let run = run.as_secs_f64();
        self.runs += 1.0;
        self.mean_run += NEWEST.max(1.0 / self.runs) * (run - self.mean_run);
        let lane = self.lane(team);
        lane.charged += (run - charged) / lane.weight;
    }

    fn lane(&mut self, team: &TeamId) -> &mut Lane<T> {
        self.lanes.entry(team.clone()).or_default()
    }
}

impl<T> Lane<T> {
    fn len(&self) -> usize {
        self.quick.len() + self.patient.len()
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        self.turns = (self.turns + 1) % PATIENT_TURN;
        let is_patients_turn = self.turns == 0;
        if (is_patients_turn || self.quick.is_empty())
            && let Some(req) = self.patient.pop_front()
        {
            return Some(req);
        }
        self.quick.pop_front()
    }
}
