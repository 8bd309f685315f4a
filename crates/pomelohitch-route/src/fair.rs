//! Weighted fair sharing of capacity between teams, and its assignment to runners.

/// A participant in the sharing of a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claimant {
    /// Its weight relative to the others.
    pub share: f64,
    /// Maximum capacity that it can use.
    pub demand: f64,
}

/// Divides `capacity` by weight (max-min fairness): no claimant gets more than its demand, and what
/// one does not use goes to the others, again by weight.
#[must_use]
pub fn water_fill(capacity: f64, claimants: &[Claimant]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claimants.len()).collect();
    // Claimants with the lowest demand relative to their weight are satisfied first.
    let need = |i: usize| claimants[i].demand / claimants[i].share.max(f64::MIN_POSITIVE);
    order.sort_by(|&a, &b| need(a).total_cmp(&need(b)));
    let mut weight: f64 = claimants.iter().map(|c| c.share).sum();
    let mut left = capacity;
    let mut parts = vec![0.0; claimants.len()];
    for i in order {
        let Claimant { share, demand } = claimants[i];
        let fair = if weight > 0.0 {
            left * share / weight
        } else {
            0.0
        };
        parts[i] = fair.min(demand);
        left -= parts[i];
        weight -= share;
    }
    parts
}

/// Converts parts into whole slots and assigns these to `runners` round-robin.
///
/// Every entry instance computes the same assignment from the same parts. So their slots do not
/// overlap, each part is spread over as many runners as possible, and no more than `slots` are
/// assigned on any runner. Returns for each part its number of slots on each runner.
#[must_use]
pub fn assign_slots(parts: &[f64], runners: usize, slots: u32) -> Vec<Vec<u32>> {
    let total = runners * slots as usize;
    let sum: f64 = parts.iter().sum();
    let mut cumulative = 0.0;
    let mut next = 0;
    let mut assignment = Vec::with_capacity(parts.len());
    for part in parts {
        cumulative += part;
        let end = if sum > 0.0 {
            slot_boundary(cumulative / sum, total)
        } else {
            0
        };
        let mut counts = vec![0; runners];
        for slot in next..end.max(next) {
            counts[slot % runners] += 1;
        }
        next = end.max(next);
        assignment.push(counts);
    }
    assignment
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the fraction is 0 to 1 and a pool has far fewer slots than 2^52"
)]
fn slot_boundary(fraction: f64, total: usize) -> usize {
    ((fraction * total as f64).round() as usize).min(total)
}
