//! API requests of callers: submitting, reading and cancelling jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::{Cell, Job};
use crate::config::Queue;
use crate::id::{self, JobId, WorkspaceName};
use crate::job::{JobSpec, Repeat, StepSpec};
use crate::order::{Action, Answer, CallId};
use crate::progress::{JobState, Progress};

/// Retry-After while there is no configuration. The first one is read seconds
/// before callers send requests.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After while the log takes no records. Its outages last some seconds.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry-After while the maximum number of jobs is held.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Jobs that would wait longer than this for their start are refused. It is about three times the
/// duration that callers expect of a job with several steps.
const MAX_START_WAIT: Duration = Duration::from_secs(6);
/// Lower and upper limit of Retry-After for jobs refused because of that wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// An API request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Matches the answer to its request.
    pub id: CallId,
    /// The host of the request's URL, which selects the queue together with the path.
    pub host: Box<str>,
    /// The path, without query: the queue's prefix and the job's id, if any.
    pub path: Box<str>,
    /// The workspace's API key, if the request has one.
    pub key: Option<Box<str>>,
    /// The requested operation.
    pub verb: Verb,
}

/// The requested operation on a job or a queue.
#[derive(Debug, Clone)]
pub enum Verb {
    /// Submits a job, or carries the reason why its body is malformed.
    Submit(Result<Draft, Box<str>>),
    /// Asks whether a job submitted before is accepted; answered once the acceptance is durable.
    Confirm,
    /// Reads a job's state, or the number of jobs of a queue that haven't begun.
    Read,
    /// Cancels a job.
    Cancel,
}

/// A job as submitted by its caller, not validated yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Draft {
    /// The text that is passed to each task.
    pub text: Box<str>,
    /// The steps, each of which may wait for earlier ones.
    pub steps: Vec<StepSpec>,
    /// Number and interval of repetitions, if the steps run several times.
    pub repeat: Option<Repeat>,
}

impl Cell {
    /// Handles an API request. Its answer follows as an [`Action::Reply`].
    pub fn call(&mut self, call: &Call) {
        let is_effect_possible = self.is_effect_possible(call);
        let Some(answer) = self.answer(call, is_effect_possible) else {
            return;
        };
        if is_effect_possible {
            info!(path = %call.path, ?answer, "request refused although it may have taken effect");
        }
        self.outbox.push(Action::Reply {
            call: call.id,
            answer,
            is_effect_possible,
        });
    }

    /// Whether an earlier attempt at a request may have taken effect. Needs no configuration: the
    /// queue of the job may have been removed, and the key of its workspace withdrawn. A record that
    /// couldn't be decoded may be that of the job; a leader of another version may decode it.
    fn is_effect_possible(&self, call: &Call) -> bool {
        let held = id::job_at_end(&call.path).and_then(|id| self.jobs.get(&id));
        match (&call.verb, held) {
            (Verb::Read, _) => false,
            (_, None) => self.skipped_records > 0,
            (Verb::Submit(_) | Verb::Confirm, Some(_)) => true,
            (Verb::Cancel, Some(job)) => {
                job.progress.state == JobState::Cancelled || self.skipped_records > 0
            }
        }
    }

    /// The answer to a request; `None` if the answer has to wait for a record to be durable.
    fn answer(&mut self, call: &Call, is_effect_possible: bool) -> Option<Answer> {
        let Some(cfg) = self.cfg.clone() else {
            if is_effect_possible {
                return Some(Answer::Undetermined);
            }
            return Some(Answer::Refused {
                retry_after: NO_CONFIG_RETRY_AFTER,
                is_for_queue: false,
                reason: "no configuration yet",
            });
        };
        let Some(queue) = cfg.route(&call.host, &call.path) else {
            return Some(Answer::NoQueue);
        };
        let workspace = call.key.as_deref().and_then(|k| cfg.workspace_of(k));
        if workspace.is_none() && !queue.is_public {
            return Some(Answer::NoKey);
        }
        let workspace = workspace.map(|w| w.name.clone());
        let name = &call.path[queue.prefix.len()..];
        match (&call.verb, name, id::parse_job(name)) {
            (Verb::Read, "", _) => Some(Answer::Waiting(self.queued_count(queue))),
            // A job of another workspace is confirmed too: it runs, so its caller must not be told
            // that it was refused.
            (Verb::Submit(_) | Verb::Confirm, _, Ok(job)) if self.jobs.contains_key(&job) => {
                self.after_commit.push(accepted(call.id));
                None
            }
            // A leader of another version may decode the record, and knows what became of the job.
            (_, _, Ok(job)) if self.is_skipped(job) => Some(Answer::Undetermined),
            (Verb::Submit(Ok(draft)), _, Ok(job)) => {
                self.submit(call.id, job, queue, workspace, draft)
            }
            (Verb::Submit(Err(reason)), _, Ok(_)) => Some(Answer::Malformed(reason.clone())),
            (Verb::Submit(_), _, Err(error)) => Some(Answer::Malformed(error.to_string().into())),
            (Verb::Confirm, ..) | (_, _, Err(_)) => Some(Answer::Gone),
            (Verb::Read, _, Ok(job)) => self.read(call.id, job, workspace.as_ref()),
            (Verb::Cancel, _, Ok(job)) => self.cancel(call.id, job, workspace.as_ref()),
        }
    }

    /// Whether the job isn't held because its record couldn't be decoded.
    pub(super) fn is_skipped(&self, job: JobId) -> bool {
        self.skipped_jobs.contains(&job) && !self.jobs.contains_key(&job)
    }

    /// Accepts a job that isn't held yet.
    fn submit(
        &mut self,
        call: CallId,
        id: JobId,
        queue: &Queue,
        workspace: Option<WorkspaceName>,
        draft: &Draft,
    ) -> Option<Answer> {
        if self.is_log_down {
            return Some(Answer::Refused {
                retry_after: LOG_RETRY_AFTER,
                is_for_queue: false,
                reason: "jobs can't be made durable now",
            });
        }
        if let Some(refused) = self.refuse_withdrawn(id, workspace.as_ref()) {
            return Some(refused);
        }
        if self.jobs.len() >= self.settings.max_jobs {
            return Some(Answer::Refused {
                retry_after: FULL_RETRY_AFTER,
                is_for_queue: false,
                reason: "too many jobs are held",
            });
        }
        if draft.repeat.is_none()
            && let Some(refused) = self.refuse_evacuated()
        {
            return Some(refused);
        }
        if let Some(refused) = self.refuse_unservable(draft) {
            return Some(refused);
        }
        let spec = JobSpec {
            id,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            terms: queue.terms(),
            workspace,
            text: draft.text.clone(),
            steps: draft.steps.clone(),
            repeat: draft.repeat,
            accepted_ms: self.fleet_ms(),
        };
        if let Err(error) = spec.check() {
            return Some(Answer::Malformed(error.to_string().into()));
        }
        if let Some(refused) = self.refuse_useless(&spec, queue) {
            return Some(refused);
        }
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        info!(job = %id::job_text(id), queue = %queue.name, workspace = ?spec.workspace,
            steps = spec.steps.len(), tasks, repeats = spec.occurrences(), "job accepted");
        self.unsaved_specs.insert(id);
        self.dirty.insert(id);
        self.add_job(Arc::new(spec), Progress::default());
        self.add_to_backlog(id);
        self.after_commit.push(accepted(call));
        None
    }

    /// Refuses a job that would start too late to be useful to its caller, because more starts are
    /// requested than the leader's link or processor can send.
    ///
    /// Jobs that would only wait for free endpoints are accepted, since pools grow.
    fn refuse_unservable(&self, draft: &Draft) -> Option<Answer> {
        let has_lasting = draft.steps.iter().any(|s| s.is_lasting);
        if has_lasting || draft.repeat.is_some() {
            return None;
        }
        let wait = self
            .start_window
            .wait_time(self.now.steady, self.waiting_task_count())
            .filter(|wait| *wait > MAX_START_WAIT)?;
        Some(Answer::Refused {
            retry_after: (wait.saturating_sub(MAX_START_WAIT))
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            is_for_queue: true,
            reason: "more tasks wait than can be started in time",
        })
    }

    /// Number of tasks that are neither running nor done, over the jobs that have such a task in a
    /// ready step. Tasks of their later steps are included.
    fn waiting_task_count(&self) -> usize {
        let ready = self.ready_jobs.values().flatten();
        let jobs = ready.filter_map(|id| self.jobs.get(id));
        let tasks = jobs.flat_map(|j| {
            j.progress
                .open
                .values()
                .flat_map(|o| o.steps.iter().flatten())
        });
        tasks.filter(|t| !t.is_done && t.runs.is_empty()).count()
    }

    fn read(
        &mut self,
        call: CallId,
        id: JobId,
        workspace: Option<&WorkspaceName>,
    ) -> Option<Answer> {
        let Some(job) = self.jobs.get(&id) else {
            if self.is_log_down {
                return Some(Answer::Refused {
                    retry_after: LOG_RETRY_AFTER,
                    is_for_queue: false,
                    reason: "whether the job exists can't be confirmed now",
                });
            }
            return self.confirm_unknown(call);
        };
        Some(if !is_visible_to(job, workspace) {
            Answer::Gone
        } else if job.durable_state == JobState::Failed && job.progress.is_given_up {
            Answer::GivenUp
        } else {
            Answer::State(job.durable_state)
        })
    }

    fn cancel(
        &mut self,
        call: CallId,
        id: JobId,
        workspace: Option<&WorkspaceName>,
    ) -> Option<Answer> {
        let visible = self.jobs.get(&id).filter(|j| is_visible_to(j, workspace));
        let Some(job) = visible else {
            let is_skipped = self.skipped_records > 0 && !self.jobs.contains_key(&id);
            if is_skipped {
                return Some(Answer::Undetermined);
            }
            if !self.is_log_down && !self.jobs.contains_key(&id) {
                self.withdraw(id, workspace);
            }
            return self.confirm_unknown(call);
        };
        let is_cancelled = job.progress.state == JobState::Cancelled;
        if self.is_log_down && !is_cancelled {
            return Some(Answer::Refused {
                retry_after: LOG_RETRY_AFTER,
                is_for_queue: false,
                reason: "the cancelling can't be made durable now",
            });
        }
        info!(job = %id::job_text(id), "job cancelled");
        self.finish(id, JobState::Cancelled);
        self.after_commit.push(Action::Reply {
            call,
            answer: Answer::Cancelled,
            is_effect_possible: true,
        });
        None
    }

    /// Records that a job that isn't held was cancelled, since a submission of it may still arrive.
    fn withdraw(&mut self, id: JobId, workspace: Option<&WorkspaceName>) {
        info!(job = %id::job_text(id), "job cancelled before it was submitted");
        let now_ms = self.fleet_ms();
        match self.withdrawn.add(id, workspace, now_ms) {
            Ok(records) => self.extra_records.extend(records),
            Err(error) => warn!(%error, "failed to encode record of a cancelled job"),
        }
    }

    /// Forgets the jobs that were cancelled so long ago that no submission of them arrives any more.
    pub(super) fn forget_withdrawn(&mut self) {
        let (now_ms, retention) = (self.fleet_ms(), self.settings.job_retention);
        let records = self.withdrawn.forget_expired(now_ms, retention);
        self.extra_records.extend(records);
    }

    /// Refuses a job that its workspace has cancelled before, for as long as this is remembered.
    fn refuse_withdrawn(&self, id: JobId, workspace: Option<&WorkspaceName>) -> Option<Answer> {
        let withdrawn_ms = self.withdrawn.withdrawn_at(id, workspace)?;
        let passed = self.fleet_ms().saturating_sub(withdrawn_ms);
        let retention = self.settings.job_retention;
        Some(Answer::Refused {
            retry_after: retention.saturating_sub(Duration::from_millis(passed)),
            is_for_queue: false,
            reason: "the job was cancelled before it was submitted",
        })
    }

    /// Answers that a job doesn't exist, once an append has shown that no later leader
    /// was elected before the request arrived: a leader that was suspended doesn't know the jobs that
    /// its successor has accepted.
    fn confirm_unknown(&mut self, call: CallId) -> Option<Answer> {
        if self.is_log_down {
            return Some(Answer::Undetermined);
        }
        self.after_commit.push(Action::Reply {
            call,
            answer: Answer::Gone,
            is_effect_possible: self.skipped_records > 0,
        });
        None
    }

    /// Number of jobs of the queue of which no task has started.
    fn queued_count(&self, queue: &Queue) -> usize {
        self.queued_jobs.get(&queue.name).map_or(0, BTreeSet::len)
    }
}

fn accepted(call: CallId) -> Action {
    Action::Reply {
        call,
        answer: Answer::Accepted,
        is_effect_possible: true,
    }
}

/// Whether the workspace may see the job: it submitted it, or the job was submitted without a key.
fn is_visible_to(job: &Job, workspace: Option<&WorkspaceName>) -> bool {
    job.spec.workspace.is_none() || job.spec.workspace.as_ref() == workspace
}
