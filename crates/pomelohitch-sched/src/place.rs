//! Choice of the endpoint for a task.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::job::StepSpec;
use crate::resources::Resources;

/// An endpoint as a candidate for placement.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Endpoint id.
    pub id: EndpointId,
    /// Free capacity.
    pub free: Resources,
    /// Number of lasting tasks there.
    pub lasting_runs: usize,
    /// Whether its instance is due for maintenance.
    pub is_maintenance_due: bool,
    /// Whether it takes only lasting tasks for now.
    pub is_kept_for_lasting: bool,
    /// Whether most runs fail there, see [`is_doubtful`].
    pub is_doubtful: bool,
    /// Machine kind and rack, in this order.
    pub labels: Arc<[Box<str>]>,
}

impl Slot {
    /// Builds the slot from the present state of the endpoint.
    #[must_use]
    pub fn new(id: &EndpointId, endpoint: &Endpoint) -> Slot {
        let labels = endpoint.report.as_ref().map(|r| r.labels.clone());
        Slot {
            id: id.clone(),
            free: endpoint.free(),
            lasting_runs: endpoint.lasting_runs,
            is_maintenance_due: endpoint.is_maintenance_due,
            is_kept_for_lasting: endpoint.is_kept_for_lasting,
            is_doubtful: is_doubtful(endpoint),
            labels: labels.unwrap_or_default(),
        }
    }

    /// Rack, the second label.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(|l| &**l)
    }

    /// Whether a task of `step` can start here, given `siblings` other tasks of the step.
    #[must_use]
    pub fn may_take(&self, step: &StepSpec, siblings: u32) -> bool {
        let is_spread = step.per_endpoint == 0 || siblings < step.per_endpoint;
        let has_label = |l: &str| self.labels.iter().any(|own| &**own == l);
        is_spread
            && (step.is_lasting || !self.is_kept_for_lasting)
            && self.free.holds(&step.task_resources())
            && step.requires.as_deref().is_none_or(has_label)
    }

    /// Allocates capacity for a task.
    pub fn allocate(&mut self, step: &StepSpec) {
        self.free = self.free.saturating_sub(&step.task_resources());
        self.lasting_runs += usize::from(step.is_lasting);
    }
}

/// Slots of the endpoints of a service that may get work, built once for a scheduling pass.
#[derive(Debug, Default)]
pub struct Slots {
    /// All slots.
    pub list: Vec<Slot>,
    index: HashMap<EndpointId, usize>,
}

impl Slots {
    /// Creates the index of the slots.
    #[must_use]
    pub fn new(list: Vec<Slot>) -> Slots {
        let ids = list.iter().map(|slot| slot.id.clone());
        let index = ids.zip(0..).collect();
        Slots { list, index }
    }

    /// Number of tasks of a step in each slot, given the counts by endpoint.
    #[must_use]
    pub fn siblings(&self, counts: &BTreeMap<EndpointId, u32>) -> Vec<u32> {
        let mut siblings = vec![0; self.list.len()];
        for (id, count) in counts {
            if let Some(&at) = self.index.get(id) {
                siblings[at] = *count;
            }
        }
        siblings
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Some(at) = self.index.remove(id) {
            self.list.remove(at);
            for index in self.index.values_mut().filter(|index| **index > at) {
                *index -= 1;
            }
        }
    }

    /// Rebuilds each slot from the present state of its endpoint.
    pub fn refresh(&mut self, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        for slot in &mut self.list {
            if let Some(endpoint) = endpoints.get(&slot.id) {
                *slot = Slot::new(&slot.id, endpoint);
            }
        }
    }
}

/// Endpoints that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allowed {
    /// All endpoints of its service.
    All,
    /// Endpoints that the placement policy allows.
    Only(BTreeSet<EndpointId>),
}

impl Allowed {
    /// Whether the endpoint is allowed.
    #[must_use]
    pub fn has(&self, id: &EndpointId) -> bool {
        match self {
            Allowed::All => true,
            Allowed::Only(ids) => ids.contains(id),
        }
    }
}

/// A task to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Step of the task.
    pub step: &'a StepSpec,
    /// Endpoints that may run it.
    pub allowed: &'a Allowed,
    /// Number of tasks of the same step in each slot.
    pub siblings: &'a [u32],
    /// Endpoints where the task failed before.
    pub failed_at: &'a [EndpointId],
    /// Whether to choose the fullest endpoint that can take the task, instead of the emptiest.
    pub packs: bool,
}

/// Cost of a slot, lowest first; fields are compared in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    risk: u8,
    is_far: bool,
    lasting_penalty: u8,
    free: u64,
    siblings: u32,
}

/// Chooses the best slot for a task; `None` if none can take it.
///
/// Tasks are packed onto the fullest endpoints, and lasting tasks onto endpoints that already have
/// some and are not due for maintenance. This keeps other endpoints empty, so that their instances
/// can be moved or maintained.
#[must_use]
pub fn choose(slots: &[Slot], request: &PlacementRequest<'_>) -> Option<usize> {
    slots
        .iter()
        .zip(request.siblings)
        .enumerate()
        .filter(|(_, (slot, siblings))| {
            slot.may_take(request.step, **siblings) && request.allowed.has(&slot.id)
        })
        .min_by_key(|(_, (slot, siblings))| cost(request, slot, **siblings))
        .map(|(at, _)| at)
}

fn cost(request: &PlacementRequest<'_>, slot: &Slot, siblings: u32) -> Cost {
    let near = request.step.near.as_deref();
    let has_failed_there = request.failed_at.contains(&slot.id);
    Cost {
        risk: 2 * u8::from(has_failed_there) + u8::from(slot.is_doubtful),
        is_far: near.is_some_and(|rack| slot.rack() != Some(rack)),
        lasting_penalty: lasting_penalty(request.step, slot, siblings),
        free: if request.packs {
            slot.free.cpu
        } else {
            u64::MAX - slot.free.cpu
        },
        siblings,
    }
}

/// Penalty of an endpoint for a lasting task, 0 for best.
fn lasting_penalty(step: &StepSpec, slot: &Slot, siblings: u32) -> u8 {
    if !step.is_lasting {
        return 0;
    }
    let is_crowded = siblings >= LASTING_PER_ENDPOINT * step.may_miss.max(1);
    4 * u8::from(slot.is_maintenance_due)
        + 2 * u8::from(is_crowded)
        + u8::from(slot.lasting_runs == 0)
}

/// Other endpoints are preferred once an endpoint has this many lasting tasks of a step, per task of
/// the step that may be out of service. Before its instance can be maintained, they leave the
/// endpoint one after another, about two seconds each.
const LASTING_PER_ENDPOINT: u32 = 2;

/// Whether an endpoint is probably broken: more than half of several recent runs failed there.
///
/// Some percent of the tasks fail by their own fault, so three failures and fewer successes point
/// at the endpoint.
#[must_use]
pub fn is_doubtful(endpoint: &Endpoint) -> bool {
    const MIN_FAILURES: f64 = 2.5;
    endpoint.failures > MIN_FAILURES && endpoint.failures > endpoint.successes
}
