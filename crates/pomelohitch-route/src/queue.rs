//! Queue of one service at one entry instance: bounded, deadline-aware and fair between teams.
//!
//! Each team is charged the slot time of its requests divided by its weight, and the team with the
//! lowest charge is served next. Within a team quick requests go before patient ones, except that
//! every [`PATIENT_INTERVAL`]th request is a patient one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pomelohitch_core::id::TeamId;

use crate::terms::Priority;

/// Time on the process's monotonic clock, since an arbitrary fixed start.
pub type Monotonic = Duration;

/// One in this many requests served is a patient one, if any waits.
pub const PATIENT_INTERVAL: u32 = 8;

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
struct TeamQueue<T> {
    quick: VecDeque<Waiting<T>>,
    patient: VecDeque<Waiting<T>>,
    served: u32,
    weight: f64,
    /// Slot-seconds charged, divided by the weight.
    charged: f64,
    /// The latest retry time given to a refused request.
    retry_at: Monotonic,
    /// Number of recent arrivals, accepted or refused; decays with
    /// [`decay_arrivals`](Queue::decay_arrivals).
    recent_arrivals: f64,
}

impl<T> Default for TeamQueue<T> {
    fn default() -> Self {
        TeamQueue {
            quick: VecDeque::new(),
            patient: VecDeque::new(),
            served: 0,
            weight: 1.0,
            charged: 0.0,
            retry_at: Monotonic::ZERO,
            recent_arrivals: 0.0,
        }
    }
}

/// Settings of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Number of queued requests, divided between teams by weight. The total may reach twice this
    /// number while the parts change.
    pub bound: usize,
    /// Initial mean run time; weighs as much as one recorded run.
    pub initial_mean_run: Duration,
    /// Upper limit of the time after which a refused request may retry.
    pub max_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            bound: 256,
            initial_mean_run: Duration::from_millis(50),
            max_retry_after: Duration::from_mins(1),
        }
    }
}

/// Queue of one service's requests, ordered by team and priority.
#[derive(Debug)]
pub struct Queue<T> {
    options: Options,
    team_queues: BTreeMap<TeamId, TeamQueue<T>>,
    waiting: usize,
    /// Mean time in seconds for which a request occupies a slot.
    mean_run: f64,
    run_count: f64,
    slots: f64,
    /// Highest charge at which a team was served (the virtual time of fair queuing). A team that
    /// had nothing queued starts here.
    virtual_time: f64,
}

/// Interval between calls of [`Queue::decay_arrivals`]. Each call removes a quarter of the recent
/// arrivals, so that they cover about the last second.
pub const ARRIVAL_DECAY_INTERVAL: Duration = Duration::from_millis(250);
/// Teams that need less than this, in slots, are left out of [`Queue::needs`].
const MIN_NEED: f64 = 0.001;

/// Minimum weight of the newest run in the mean; the first runs have more. Run times vary widely,
/// and with a larger weight permits would move back and forth between members.
const MIN_NEWEST_WEIGHT: f64 = 0.004;

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(options: Options) -> Queue<T> {
        Queue {
            team_queues: BTreeMap::new(),
            waiting: 0,
            mean_run: options.initial_mean_run.as_secs_f64(),
            run_count: 1.0,
            slots: 0.0,
            virtual_time: 0.0,
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
        let team_queues = self.team_queues.iter();
        team_queues.map(|(team, team_queue)| (team, team_queue.len()))
    }

    /// Decays the recent arrivals; to be called once every [`ARRIVAL_DECAY_INTERVAL`].
    pub fn decay_arrivals(&mut self) {
        for team_queue in self.team_queues.values_mut() {
            team_queue.recent_arrivals *= 1.0 - ARRIVAL_DECAY_INTERVAL.as_secs_f64();
        }
    }

    /// Slots that each team needs to serve its requests at the rate at which they arrive, and its
    /// queued requests within a second.
    ///
    /// Running requests are not counted: a team has more running where it is served more, so entry
    /// instances that counted them would ask for what they already have and their shares would
    /// diverge.
    pub fn needs(&self) -> impl Iterator<Item = (&TeamId, f64)> {
        let team_queues = self.team_queues.iter().map(|(team, team_queue)| {
            let waiting = f64::from(u32::try_from(team_queue.len()).unwrap_or(u32::MAX));
            (team, (team_queue.recent_arrivals + waiting) * self.mean_run)
        });
        team_queues.filter(|(_, need)| *need > MIN_NEED)
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

    /// Sets [`Options::bound`].
    pub fn set_bound(&mut self, bound: usize) {
        self.options.bound = bound;
    }

    /// Sets a team's weight: the number of slots that it is entitled to at this entry instance.
    pub fn set_weight(&mut self, team: &TeamId, weight: f64) {
        self.team_queue(team).weight = weight.max(0.01);
    }

    /// Queues a request, or refuses it immediately.
    ///
    /// # Errors
    /// If it would not be served before its deadline, or its team's part of the queue is full. The
    /// retry times of a team's refused requests differ, up to [`Options::max_retry_after`].
    pub fn offer(&mut self, req: Waiting<T>, now: Monotonic) -> Result<(), Refusal> {
        self.team_queue(&req.team).recent_arrivals += 1.0;
        let wait = self.expected_wait(&req.team, req.priority);
        // Run times vary and the estimate is inexact: a request expected to end just before its
        // deadline would miss it half of the time, after occupying a slot.
        let run = Duration::from_secs_f64(self.mean_run);
        let served = now + wait + wait / 8 + 2 * run;
        let is_late = !wait.is_zero() && served > req.deadline;
        if is_late || self.is_full_for(&req.team) {
            return Err(self.refuse(&req.team, now, wait));
        }
        let virtual_time = self.virtual_time;
        let team_queue = self.team_queue(&req.team);
        if team_queue.len() == 0 {
            // A team earns no credit while it has nothing queued.
            team_queue.charged = team_queue.charged.max(virtual_time);
        }
        match req.priority {
            Priority::Quick => team_queue.quick.push_back(req),
            Priority::Patient => team_queue.patient.push_back(req),
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
        let waiting = self.team_queues.get(team).map_or(0, TeamQueue::len);
        let is_part_used =
            f64::from(u32::try_from(waiting).unwrap_or(u32::MAX)) >= bound * own / sum;
        // Parts change as teams start and stop queuing; the total is limited to twice the bound.
        is_part_used || self.waiting >= 2 * self.options.bound
    }

    /// The weight of `team`, and the sum over all teams with queued requests and `team` itself.
    fn weights(&self, team: &TeamId) -> (f64, f64) {
        let own = self
            .team_queues
            .get(team)
            .map_or(1.0, |team_queue| team_queue.weight);
        let others = self
            .team_queues
            .iter()
            .filter(|(id, team_queue)| *id != team && team_queue.len() > 0);
        (
            own,
            own + others.map(|(_, team_queue)| team_queue.weight).sum::<f64>(),
        )
    }

    /// Assigns the team's next retry time. Callers refused together retry one after another, and no
    /// faster than capacity becomes available for them.
    fn refuse(&mut self, team: &TeamId, now: Monotonic, wait: Duration) -> Refusal {
        let longest = self.options.max_retry_after;
        let interval =
            Duration::from_secs_f64((1.0 / self.service_rate(team)).min(longest.as_secs_f64()));
        let team_queue = self.team_queue(team);
        team_queue.retry_at = (team_queue.retry_at.max(now + wait) + interval).min(now + longest);
        Refusal {
            retry_after: team_queue.retry_at.saturating_sub(now),
        }
    }

    /// Expected wait of a new request, from its team's share and the mean run time.
    #[must_use]
    pub fn expected_wait(&self, team: &TeamId, priority: Priority) -> Duration {
        let Some(team_queue) = self.team_queues.get(team) else {
            return Duration::ZERO;
        };
        let ahead = match priority {
            Priority::Quick => {
                team_queue.quick.len() + team_queue.quick.len() / PATIENT_INTERVAL as usize
            }
            // Quick requests that arrive meanwhile go first, except in the patient requests' turns.
            Priority::Patient if team_queue.quick.is_empty() => team_queue.patient.len(),
            Priority::Patient => (team_queue.patient.len() + 1) * PATIENT_INTERVAL as usize,
        };
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let wait = ahead / self.service_rate(team);
        Duration::from_secs_f64(wait.min(self.options.max_retry_after.as_secs_f64()))
    }

    /// Requests of `team` served per second, assuming that all teams with queued requests keep
    /// queuing.
    fn service_rate(&self, team: &TeamId) -> f64 {
        let (own, sum) = self.weights(team);
        (self.slots.max(0.1) * own / sum / self.mean_run.max(1e-4)).max(1e-3)
    }

    /// Whether [`next`](Queue::next) would return a request.
    pub fn has_next(&self, mut may_run: impl FnMut(&TeamId) -> bool) -> bool {
        let mut waiting = self
            .team_queues
            .iter()
            .filter(|(_, team_queue)| team_queue.len() > 0);
        waiting.any(|(team, _)| may_run(team))
    }

    /// Removes the next request of a team accepted by `may_run`, and charges the mean run time to
    /// that team.
    pub fn next(&mut self, mut may_run: impl FnMut(&TeamId) -> bool) -> Option<Waiting<T>> {
        let team = self.next_team(&mut may_run)?;
        let mean_run = self.mean_run;
        let team_queue = self.team_queues.get_mut(&team)?;
        let req = team_queue.pop()?;
        self.virtual_time = self.virtual_time.max(team_queue.charged);
        team_queue.charged += mean_run / team_queue.weight;
        self.waiting -= 1;
        Some(req)
    }

    fn next_team(&self, may_run: &mut impl FnMut(&TeamId) -> bool) -> Option<TeamId> {
        let mut waiting: Vec<_> = self
            .team_queues
            .iter()
            .filter(|(_, team_queue)| team_queue.len() > 0)
            .collect();
        waiting.sort_by(|(_, a), (_, b)| a.charged.total_cmp(&b.charged));
        let team = waiting.into_iter().map(|(team, _)| team);
        team.into_iter().find(|team| may_run(team)).cloned()
    }

    /// Removes and returns requests whose deadline has passed, so that their callers get an answer
    /// immediately.
    pub fn expire(&mut self, now: Monotonic) -> Vec<Waiting<T>> {
        let mut expired = Vec::new();
        for team_queue in self.team_queues.values_mut() {
            for queue in [&mut team_queue.quick, &mut team_queue.patient] {
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
        let team_queues = self.team_queues.values();
        team_queues
            .flat_map(|team_queue| team_queue.quick.iter().chain(&team_queue.patient))
            .map(|req| req.deadline)
            .min()
    }

    /// Records how long a request occupied its slot, and charges its team the difference from the
    /// mean run time. A change of the mean since [`next`](Queue::next) charged it is not corrected.
    pub fn record_run(&mut self, team: &TeamId, run: Duration) {
        let charged = self.mean_run;
        let run = run.as_secs_f64();
        self.run_count += 1.0;
        self.mean_run += MIN_NEWEST_WEIGHT.max(1.0 / self.run_count) * (run - self.mean_run);
        let team_queue = self.team_queue(team);
        team_queue.charged += (run - charged) / team_queue.weight;
    }

    fn team_queue(&mut self, team: &TeamId) -> &mut TeamQueue<T> {
        self.team_queues.entry(team.clone()).or_default()
    }
}

impl<T> TeamQueue<T> {
    fn len(&self) -> usize {
        self.quick.len() + self.patient.len()
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        self.served = (self.served + 1) % PATIENT_INTERVAL;
        let is_patients_turn = self.served == 0;
        if (is_patients_turn || self.quick.is_empty())
            && let Some(req) = self.patient.pop_front()
        {
            return Some(req);
        }
        self.quick.pop_front()
    }
}
