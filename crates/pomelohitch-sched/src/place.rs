//! Which endpoint takes a task.

use crate::endpoint::Endpoint;
use crate::id::EndpointId;
use crate::job::StepSpec;
use crate::resources::Resources;

/// One endpoint as placing sees it.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// Which endpoint.
    pub id: &'a EndpointId,
    /// What is known of it.
    pub endpoint: &'a Endpoint,
    /// Tasks of the same step that it has already.
    pub siblings: u32,
    /// Whether the task failed there before.
    pub failed_before: bool,
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

/// The best endpoint for one task of `step`, if any can take it.
///
/// Tasks are packed onto the fullest endpoints, lasting ones onto those that have lasting ones
/// already and aren't due for maintenance, so that others stay empty and their instances can move or be maintained.
#[must_use]
pub fn choose<'a>(
    step: &StepSpec,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a EndpointId> {
    let room = step.room();
    candidates
        .filter(|c| may_take(step, &room, c))
        .min_by_key(|c| cost(step, c))
        .map(|c| c.id)
}

fn may_take(step: &StepSpec, room: &Resources, candidate: &Candidate<'_>) -> bool {
    let is_spread = step.per_endpoint == 0 || candidate.siblings < step.per_endpoint;
    let has_label = step
        .requires
        .as_deref()
        .is_none_or(|l| candidate.endpoint.has_label(l));
    is_spread && has_label && candidate.endpoint.free().holds(room)
}

fn cost(step: &StepSpec, candidate: &Candidate<'_>) -> Cost {
    let endpoint = candidate.endpoint;
    let free = endpoint.free().cpu;
    let is_far = step
        .near
        .as_deref()
        .is_some_and(|rack| endpoint.rack() != Some(rack));
    Cost {
        risk: 2 * u8::from(candidate.failed_before) + u8::from(is_doubtful(endpoint)),
        is_far,
        avoided_by_lasting: avoided_by_lasting(step, candidate),
        free,
        siblings: candidate.siblings,
    }
}

/// How little an endpoint suits a lasting task, 0 for best.
fn avoided_by_lasting(step: &StepSpec, candidate: &Candidate<'_>) -> u8 {
    if !step.is_lasting {
        return 0;
    }
    let is_crowded = candidate.siblings >= LASTING_TOGETHER * step.may_miss.max(1);
    let endpoint = candidate.endpoint;
    4 * u8::from(endpoint.is_due) + 2 * u8::from(is_crowded) + u8::from(endpoint.lasting == 0)
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
