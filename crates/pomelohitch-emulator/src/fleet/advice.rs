//! The placement policy's service, which answers one query after another.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use pomelohitch_sched::{EndpointId, Steady, TaskId};

use super::Fleet;

/// How long tickets are valid.
const TICKET_VALIDITY: Duration = Duration::from_secs(3);

/// The policy service, its load and its faults.
#[derive(Debug, Clone, Default)]
pub struct PolicyService {
    /// Time that every answer takes.
    pub base_latency: Duration,
    /// Additional time for each endpoint in a query.
    pub per_endpoint: Duration,
    /// Endpoints that may run no step.
    pub forbidden: BTreeSet<EndpointId>,
    /// Whether queries fail.
    pub fails: bool,
    /// Steps that were asked about, in order.
    pub asked: Vec<TaskId>,
    /// Largest number of queries that waited for an answer.
    pub longest_queue: usize,
    /// Queries without an answer.
    queue: VecDeque<Query>,
}

#[derive(Debug, Clone)]
struct Query {
    ends_at: Steady,
    step: TaskId,
    endpoints: Vec<EndpointId>,
    times_out: bool,
}

impl Fleet {
    pub(super) fn advise(&mut self, step: TaskId, endpoints: Vec<EndpointId>, timeout: Duration) {
        let policy = &mut self.policy;
        let count = u32::try_from(endpoints.len()).expect("a query names few endpoints");
        let takes = policy.base_latency + policy.per_endpoint * count;
        let begins_at = policy.queue.back().map_or(self.now.steady, |q| q.ends_at);
        policy.asked.push(step);
        policy.queue.push_back(Query {
            ends_at: begins_at + takes.min(timeout),
            step,
            endpoints,
            times_out: takes > timeout,
        });
        policy.longest_queue = policy.longest_queue.max(policy.queue.len());
        self.answer_queries();
    }

    /// Passes the answers that are due to the scheduler.
    pub(super) fn answer_queries(&mut self) {
        let now = self.now.steady;
        while let Some(query) = self.policy.queue.pop_front_if(|q| q.ends_at <= now) {
            if self.policy.fails || query.times_out {
                self.cell.policy_failed(query.step);
                continue;
            }
            let allowed = query.endpoints.into_iter();
            let allowed = allowed.filter(|id| !self.policy.forbidden.contains(id));
            let tickets = allowed.map(|id| (id, "ticket".into())).collect();
            self.cell
                .policy_answered(query.step, tickets, TICKET_VALIDITY);
        }
    }
}
