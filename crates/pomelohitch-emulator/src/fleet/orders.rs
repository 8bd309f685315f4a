//! Orders to endpoints, and the checks of each start.

use std::time::Duration;

use pomelohitch_sched::job::StepSpec;
use pomelohitch_sched::order::{Action, Order, Outcome, Refusal, Target};
use pomelohitch_sched::{EndpointId, Resources, TaskId};

use super::endpoint::Endpoint;
use super::faults::{Delayed, FaultRng};
use super::{COPY_GRACE, EVACUATION_GRACE, Fleet, ORDER_TIMEOUT, SHRINK_GRACE};

impl Fleet {
    pub(super) fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll(poll) => self.send_poll(poll),
                Action::Order {
                    target,
                    order,
                    epoch,
                    ..
                } => {
                    self.send_order(&target, &order, epoch);
                }
                Action::Reply {
                    call,
                    answer,
                    is_effect_possible,
                } => {
                    self.replies.insert(call, answer);
                    if is_effect_possible {
                        self.effects_possible.insert(call);
                    }
                }
                Action::WaveStatus { wave, is_completed } => {
                    self.statuses.push((wave, is_completed));
                }
                Action::ListInstances if self.hides_instances => self.cell.instances_unlisted(),
                Action::ListInstances => {
                    self.lists_read += 1;
                    let shown = self.shown_instances.as_ref().unwrap_or(&self.instances);
                    let list = shown.values().cloned().collect();
                    self.decide(|cell, now| cell.instances_listed(list, now.steady));
                }
                Action::Operate {
                    instance,
                    operation,
                    ..
                } => self.operate(&instance, &operation),
                Action::Advise {
                    step,
                    endpoints,
                    timeout,
                } => self.advise(step, endpoints, timeout),
            }
        }
    }

    pub(super) fn send_order(&mut self, target: &Target, order: &Order, epoch: u64) {
        if self.fault_rng.occurs(self.faults.orders_lost) {
            self.starts_lost += usize::from(matches!(order, Order::Start { .. }));
            self.delayed
                .extend(self.fault_rng.unanswered_with_random_delay(
                    target,
                    order,
                    epoch,
                    self.now.steady,
                ));
            return;
        }
        if self.faults.orders_late > ORDER_TIMEOUT {
            let (now, late) = (self.now.steady, self.faults.orders_late);
            let unanswered = FaultRng::unanswered(target, order, epoch, now, late);
            self.delayed.extend(unanswered);
            return;
        }
        if let Some(link) = &mut self.link {
            link.send_order(self.now.steady, target, order, epoch);
            return;
        }
        let outcome = self.execute_order(target, order, epoch);
        let is_answer = matches!(outcome, Outcome::Taken);
        if let Some(endpoint) = self.endpoints.get(&target.id).filter(|_| is_answer) {
            let clock = endpoint.clock;
            self.decide(|cell, now| cell.order_answered(target, clock, now.steady));
        }
        self.decide(|cell, _| cell.ordered(target, order, &outcome));
    }

    /// Processes the due events of unanswered orders: timeouts and late executions.
    pub(super) fn process_delayed_orders(&mut self) {
        let now = self.now.steady;
        let due = self.delayed.extract_if(.., |d| d.at <= now);
        for delayed in due.collect::<Vec<_>>() {
            let Delayed {
                target,
                order,
                epoch,
                is_executed,
                ..
            } = delayed;
            if is_executed && self.endpoints.contains_key(&target.id) {
                self.execute_order(&target, &order, epoch);
            } else if !is_executed {
                self.decide(|cell, _| cell.ordered(&target, &order, &Outcome::Unanswered));
            }
        }
    }

    pub(super) fn execute_order(&mut self, target: &Target, order: &Order, epoch: u64) -> Outcome {
        let Some(endpoint) = self.endpoints.get_mut(&target.id) else {
            let is_start = matches!(order, Order::Start { .. });
            let was_taken_down = !self.crashes.crashed.contains(&target.id);
            self.violations
                .extend((is_start && was_taken_down).then(|| {
                    format!(
                        "start sent to {}, whose instance was moved or maintained",
                        target.id
                    )
                }));
            return Outcome::Refused(Refusal::Elsewhere);
        };
        if endpoint.is_silent {
            return Outcome::Unanswered;
        }
        let duration = match order {
            Order::Start { task, spec, .. } => {
                let step = usize::from(task.step);
                let mean = self.durations.get(&task.job).and_then(|d| d.get(step));
                let mean = mean.copied().unwrap_or(spec.steps[step].estimate);
                self.faults.duration(*task, mean)
            }
            _ => Duration::ZERO,
        };
        let outcome = endpoint.execute(order, epoch, duration);
        let is_start = matches!(order, Order::Start { .. });
        let is_late = is_start && !endpoint.start_delay.is_zero();
        let loses_answers = endpoint.loses_answers || is_late;
        if let Order::Start {
            task, run, spec, ..
        } = order
            && outcome == Outcome::Taken
        {
            self.starts.push((*task, *run, target.id.clone()));
            self.check_start(*task, &target.id, &spec.steps[usize::from(task.step)]);
            self.record_start(*task, &target.id);
        }
        if loses_answers {
            Outcome::Unanswered
        } else {
            outcome
        }
    }

    pub(super) fn check_start(&mut self, task: TaskId, at: &EndpointId, step: &StepSpec) {
        let now = self.now.steady;
        let runs = self
            .endpoints
            .values()
            .flat_map(Endpoint::accepted_runs)
            .filter(|((t, _), _)| *t == task)
            .count();
        let max_runs = if step.may_copy { 2 } else { 1 };
        if runs > max_runs {
            self.violations
                .push(format!("{task} has {runs} runs at a time"));
        }
        let grace = if step.may_copy {
            COPY_GRACE
        } else {
            Duration::ZERO
        };
        let acknowledged = self.acknowledged.get(&task);
        if acknowledged.is_some_and(|&at| now >= at + grace) {
            self.violations
                .push(format!("{task} starts after its acknowledged completion"));
        }
        let endpoint = &self.endpoints[at];
        let evacuated = self.evacuated.get(&endpoint.report.zone);
        if evacuated.is_some_and(|&since| self.now.steady > since + EVACUATION_GRACE) {
            self.violations
                .push(format!("{task} starts in an evacuated zone"));
        }
        let mut used = Resources::default();
        for (_, run) in endpoint.accepted_runs() {
            used += &run.resources;
        }
        let resized = endpoint.resized.iter().rev();
        let mut recent_changes = resized.take_while(|(at, _)| now < *at + SHRINK_GRACE);
        let fits_before = recent_changes.any(|(_, capacity)| capacity.holds(&used));
        if !endpoint.report.capacity.holds(&used) && !fits_before {
            self.violations.push(format!("{at} is over its capacity"));
        }
        for &after in &step.after {
            let is_done = self.cell.job(task.job).is_some_and(|j| {
                let open = j.progress.open.get(&task.occurrence);
                open.is_some_and(|o| o.is_step_done(after))
            });
            if !is_done {
                self.violations
                    .push(format!("{task} starts before step {after} is done"));
            }
        }
    }
}
