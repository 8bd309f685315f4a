//! Maintenance in waves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tracing::{info, warn};

use super::Cell;
use crate::Steady;
use crate::endpoint::Endpoint;
use crate::id::{EndpointId, InstanceId, TaskId};
use crate::instances::{InstanceState, Remaining, Wave};
use crate::order::{Action, Operation};
use crate::wave_plan::{self, Candidate, Chain, Forecast, Limit};

/// Interval at which an open wave is planned. Instances take seconds to be emptied.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Plan of an open wave.
#[derive(Debug)]
pub(super) struct WavePlan {
    planned_at: Steady,
    /// Instances to empty.
    emptying: BTreeSet<InstanceId>,
    /// Whether the wave is expected to end after its limit.
    is_late: bool,
    /// Number of instances expected not to be maintained in time.
    late_instances: usize,
}

/// A step of one occurrence of a job, as its first task.
type StepId = TaskId;

impl Cell {
    /// Handles a wave that operators have requested.
    pub fn wave(&mut self, wave: Wave) {
        info!(
            wave = wave.number,
            instances = wave.instances.len(),
            at_once = wave.max_down,
            within_s = wave.within.as_secs(),
            "wave requested"
        );
        let fleet_ms = self.fleet_ms();
        match self.instances.add_wave(wave, self.now.steady, fleet_ms) {
            Ok(record) => self.extra_records.extend(record),
            Err(error) => warn!(%error, "failed to encode request of wave"),
        }
    }

    /// What remains to be done of each open wave.
    #[must_use]
    pub fn open_waves(&self) -> Vec<Remaining> {
        self.instances.remaining()
    }

    /// Number of instances of open waves that are expected not to be maintained in time.
    #[must_use]
    pub fn late_instances(&self) -> usize {
        let open = self.wave_plans.values();
        open.map(|plan| plan.late_instances).sum()
    }

    /// Records and reports changed statuses of waves.
    pub(super) fn report_waves(&mut self) {
        let statuses = match self.instances.take_status_changes() {
            Ok(statuses) => statuses,
            Err(error) => {
                warn!(%error, "failed to encode status of waves");
                return;
            }
        };
        for (wave, is_completed, record) in statuses {
            info!(wave, is_completed, "wave status");
            if is_completed {
                self.wave_plans.remove(&wave);
            }
            self.extra_records.extend(record);
            self.after_commit
                .push(Action::WaveStatus { wave, is_completed });
        }
    }

    /// Orders maintenance of the wave's empty instances, and adds endpoints to be emptied for it to
    /// `reserved`.
    pub(super) fn advance_wave(&mut self, wave: &Remaining, reserved: &mut BTreeSet<EndpointId>) {
        let left = wave.left.iter();
        let (mut empty, in_use): (Vec<_>, Vec<_>) = left.partition(|id| self.is_known_empty(id));
        // Those that were emptied for the wave are missing in their pools while they wait.
        empty.sort_by_cached_key(|id| (!self.is_zone_evacuated(id), !self.is_reserved(id)));
        let mut may_begin = wave.may_begin;
        let mut waiting = Vec::new();
        for id in empty {
            let operation = Operation::Maintain { wave: wave.wave };
            if may_begin > 0 && self.may_operate() && self.operate(id, operation) {
                may_begin -= 1;
            } else {
                waiting.push(id);
            }
        }
        self.plan_wave(wave, &in_use, waiting.len(), wave.max_down - may_begin);
        let Some(plan) = self.wave_plans.get(&wave.wave) else {
            return;
        };
        // An instance that waits for its maintenance stays empty.
        let kept = waiting.iter().filter(|id| self.is_reserved(id));
        let emptying = in_use.iter().filter(|id| plan.emptying.contains(**id));
        reserved.extend(kept.chain(emptying).filter_map(|id| self.endpoint_on(id)));
    }

    /// Plans which instances are emptied, unless that was done within [`PLAN_INTERVAL`].
    fn plan_wave(&mut self, wave: &Remaining, in_use: &[&InstanceId], empty: usize, down: usize) {
        let now = self.now.steady;
        let before = self.wave_plans.get(&wave.wave);
        if before.is_some_and(|plan| now < plan.planned_at + PLAN_INTERVAL) {
            return;
        }
        let was_late = before.is_some_and(|plan| plan.is_late);
        let mut steps = BTreeMap::new();
        let candidates = in_use.iter().map(|id| self.wave_candidate(id, &mut steps));
        let candidates = candidates.collect();
        let state = wave_plan::Wave {
            candidates,
            chains: chains(&steps),
            empty,
            down,
            max_down: wave.max_down,
            within: wave.within,
            time_left: wave.time_left(now),
        };
        let plan = wave_plan::plan(&state);
        let forecast = plan.forecast;
        let is_late = forecast.is_late(state.time_left, was_late);
        if is_late != was_late {
            log_forecast(wave, state.time_left, &forecast, is_late, &steps);
        }
        let emptying = plan.emptying.into_iter().map(|at| in_use[at].clone());
        let plan = WavePlan {
            planned_at: now,
            emptying: emptying.collect(),
            is_late,
            late_instances: if is_late { forecast.late_instances } else { 0 },
        };
        self.wave_plans.insert(wave.wave, plan);
    }

    /// An instance in use as a candidate for emptying. `steps` collects the lasting tasks by step.
    fn wave_candidate(
        &self,
        id: &InstanceId,
        steps: &mut BTreeMap<StepId, StepMoves>,
    ) -> Candidate {
        let instance = self.instances.list().get(id);
        let endpoint = instance.and_then(|i| i.endpoint.as_ref());
        let endpoint = endpoint.and_then(|e| self.endpoints.get(e));
        let is_up = instance.is_some_and(|i| i.state == InstanceState::Up);
        let Some(endpoint) = endpoint.filter(|_| is_up) else {
            return Candidate {
                is_unavailable: true,
                ..Candidate::default()
            };
        };
        let now = self.now.steady;
        Candidate {
            is_begun: endpoint.is_reserved,
            is_unavailable: !endpoint.has_answered_within(now, self.settings.max_silence),
            is_evacuated: self.is_zone_evacuated(id),
            runs_end_in: self.runs_end_in(endpoint),
            used_cpu: endpoint.used.cpu,
            lasting: self.lasting_steps(endpoint, steps),
        }
    }

    /// Estimated time until the runs of an endpoint that end by themselves are over.
    fn runs_end_in(&self, endpoint: &Endpoint) -> Duration {
        let runs = endpoint.runs.iter().filter(|(_, a)| !a.is_lasting);
        let left = runs.filter_map(|((task, number), _)| {
            let estimate = self.step(*task)?.estimate;
            let done = self.run(*task, *number)?.view.percent.min(100);
            Some(estimate * (100 - done) / 100)
        });
        left.max().unwrap_or_default()
    }

    /// The index in `steps` of each lasting task on an endpoint.
    fn lasting_steps(
        &self,
        endpoint: &Endpoint,
        steps: &mut BTreeMap<StepId, StepMoves>,
    ) -> Vec<usize> {
        if endpoint.lasting_runs == 0 {
            return Vec::new();
        }
        let lasting = endpoint.runs.iter().filter(|(_, a)| a.is_lasting);
        let indexes = lasting.map(|((task, _), _)| {
            let index = steps.len();
            let moves = steps
                .entry(TaskId { index: 0, ..*task })
                .or_insert(StepMoves {
                    index,
                    chain: Chain {
                        tasks: 0,
                        at_once: self.step(*task).map_or(1, |s| s.may_miss.max(1)),
                    },
                });
            moves.chain.tasks += 1;
            moves.index
        });
        indexes.collect()
    }

    fn is_reserved(&self, id: &InstanceId) -> bool {
        let endpoint = self.endpoint_on(id);
        endpoint.is_some_and(|e| self.endpoints.get(&e).is_some_and(|e| e.is_reserved))
    }

    fn is_zone_evacuated(&self, id: &InstanceId) -> bool {
        let instance = self.instances.list().get(id);
        instance.is_some_and(|i| self.is_instance_evacuated(i))
    }
}

/// Moves of a step's lasting tasks away from the instances of a wave.
#[derive(Debug)]
struct StepMoves {
    /// Index of the chain.
    index: usize,
    chain: Chain,
}

fn chains(steps: &BTreeMap<StepId, StepMoves>) -> Vec<Chain> {
    let mut moves: Vec<&StepMoves> = steps.values().collect();
    moves.sort_unstable_by_key(|m| m.index);
    moves.into_iter().map(|m| m.chain).collect()
}

/// Logs a change of the verdict on a wave.
fn log_forecast(
    wave: &Remaining,
    time_left: Duration,
    forecast: &Forecast,
    is_late: bool,
    steps: &BTreeMap<StepId, StepMoves>,
) {
    let (ends_in_s, time_left_s) = (forecast.ends_in.as_secs_f64(), time_left.as_secs_f64());
    let (wave, left) = (wave.wave, wave.left.len());
    if !is_late {
        info!(
            wave,
            ends_in_s, time_left_s, left, "wave is expected to end in time"
        );
        return;
    }
    let step = match forecast.limit {
        Limit::Chain(index) => steps.iter().find(|(_, moves)| moves.index == index),
        Limit::MaxDown => None,
    };
    let step = step.map(|(id, _)| tracing::field::display(id));
    let late = forecast.late_instances;
    warn!(
        wave,
        ends_in_s, time_left_s, left, late, step, "wave is expected to end late"
    );
}
