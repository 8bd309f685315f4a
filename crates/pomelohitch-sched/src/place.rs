//! Which endpoint takes a task.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::job::StepSpec;
use crate::resources::Resources;

/// One endpoint as placing sees it.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Which endpoint.
    pub id: EndpointId,
    /// Room that is left.
    pub free: Resources,
    /// How many lasting tasks it has.
    pub lasting: usize,
    /// Whether its instance is due for maintenance.
    pub is_due: bool,
    /// Whether runs fail there more often than not.
    pub is_doubtful: bool,
    /// Its kind and its rack.
    pub labels: Arc<[Box<str>]>,
}

impl Slot {
    /// The endpoint as it is now.
    #[must_use]
    pub fn new(id: &EndpointId, endpoint: &Endpoint) -> Slot {
        let labels = endpoint.report.as_ref().map(|r| r.labels.clone());
        Slot {
            id: id.clone(),
            free: endpoint.free(),
            lasting: endpoint.lasting,
            is_due: endpoint.is_due,
            is_doubtful: is_doubtful(endpoint),
            labels: labels.unwrap_or_default(),
        }
    }

    /// Its rack: the label that isn't its kind.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(|l| &**l)
    }

    /// Whether a task of `step` can start here, beside `siblings` others of its step.
    #[must_use]
    pub fn may_take(&self, step: &StepSpec, siblings: u32) -> bool {
        let is_spread = step.per_endpoint == 0 || siblings < step.per_endpoint;
        let has_label = |l: &str| self.labels.iter().any(|own| &**own == l);
        is_spread && self.free.holds(&step.room()) && step.requires.as_deref().is_none_or(has_label)
    }

    /// Takes room for a task.
    pub fn take(&mut self, step: &StepSpec) {
        self.free = self.free.less(&step.room());
        self.lasting += usize::from(step.is_lasting);
    }
}

/// The endpoints of a service that may be given work, as they are while a pass lasts, so that they
/// aren't looked up again for each task.
#[derive(Debug, Default)]
pub struct Slots {
    /// Each of them.
    pub list: Vec<Slot>,
    index: HashMap<EndpointId, usize>,
}

impl Slots {
    /// These endpoints.
    #[must_use]
    pub fn new(list: Vec<Slot>) -> Slots {
        let ids = list.iter().map(|slot| slot.id.clone());
        let index = ids.zip(0..).collect();
        Slots { list, index }
    }

    /// How many tasks of a step each slot has, by the endpoints that have some.
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

    /// Takes an endpoint out.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Some(at) = self.index.remove(id) {
            self.list.remove(at);
            for place in self.index.values_mut().filter(|place| **place > at) {
                *place -= 1;
            }
        }
    }

    /// Reads again what is free on each.
    pub fn read_again(&mut self, endpoints: &BTreeMap<EndpointId, Endpoint>) {
        for slot in &mut self.list {
            if let Some(endpoint) = endpoints.get(&slot.id) {
                *slot = Slot::new(&slot.id, endpoint);
            }
        }
    }
}

/// Which endpoints may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allowed {
    /// All of its service.
    All,
    /// Those that the policy names.
    Only(BTreeSet<EndpointId>),
}

impl Allowed {
    /// Whether this endpoint may.
    #[must_use]
    pub fn has(&self, id: &EndpointId) -> bool {
        match self {
            Allowed::All => true,
            Allowed::Only(ids) => ids.contains(id),
        }
    }
}

/// A task that needs a place.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Its step.
    pub step: &'a StepSpec,
    /// Where it may run.
    pub allowed: &'a Allowed,
    /// Tasks of the same step that each slot has already.
    pub siblings: &'a [u32],
    /// Where it failed before.
    pub failed_at: &'a [EndpointId],
    /// Whether it goes to the fullest endpoint that can take it, else to the emptiest.
    pub packs: bool,
}

/// Lower is better, compared from the first field on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    risk: u8,
    is_far: bool,
    avoided_by_lasting: u8,
    free: u64,
    siblings: u32,
}

/// The best of `slots` for a task, if any can take it.
///
/// Tasks are packed onto the fullest endpoints, lasting ones onto those that have lasting ones
/// already and aren't due for maintenance, so that others stay empty and their instances can move or be maintained.
#[must_use]
pub fn choose(slots: &[Slot], ask: &Ask<'_>) -> Option<usize> {
    slots
        .iter()
        .zip(ask.siblings)
        .enumerate()
        .filter(|(_, (slot, siblings))| {
            slot.may_take(ask.step, **siblings) && ask.allowed.has(&slot.id)
        })
        .min_by_key(|(_, (slot, siblings))| cost(ask, slot, **siblings))
        .map(|(at, _)| at)
}

fn cost(ask: &Ask<'_>, slot: &Slot, siblings: u32) -> Cost {
    let near = ask.step.near.as_deref();
    let failed_before = ask.failed_at.contains(&slot.id);
    Cost {
        risk: 2 * u8::from(failed_before) + u8::from(slot.is_doubtful),
        is_far: near.is_some_and(|rack| slot.rack() != Some(rack)),
        avoided_by_lasting: avoided_by_lasting(ask.step, slot, siblings),
        free: if ask.packs {
            slot.free.cpu
        } else {
            u64::MAX - slot.free.cpu
        },
        siblings,
    }
}

/// How little an endpoint suits a lasting task, 0 for best.
fn avoided_by_lasting(step: &StepSpec, slot: &Slot, siblings: u32) -> u8 {
    if !step.is_lasting {
        return 0;
    }
    let is_crowded = siblings >= LASTING_TOGETHER * step.may_miss.max(1);
    4 * u8::from(slot.is_due) + 2 * u8::from(is_crowded) + u8::from(slot.lasting == 0)
}

/// So many lasting tasks of a step are put on one endpoint for each that may be away at once. They
/// leave it one after another, at about two seconds each, before its instance can be maintained.
const LASTING_TOGETHER: u32 = 2;

/// An endpoint is doubtful when more than half of several runs of late failed there.
///
/// Tasks fail by their own fault in a few cases of a hundred, so three failures beside fewer
/// successes point at the endpoint.
#[must_use]
pub fn is_doubtful(endpoint: &Endpoint) -> bool {
    const FEWEST: f64 = 2.5;
    endpoint.failures > FEWEST && endpoint.failures > endpoint.successes
}
