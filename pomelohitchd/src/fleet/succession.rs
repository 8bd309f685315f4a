//! Decides which member should lead, from what the members report about themselves.
//!
//! The leader does most of the work, so that the largest member should lead where members differ in
//! size. A much smaller one leads only while no larger one can.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use super::wire::{Member, ProbeReply};

/// Ratio of CPU capacities from which a member counts as larger. A change of leader delays work by
/// a tenth of a second, which a smaller difference isn't worth.
const LARGER_RATIO: f64 = 1.5;
/// Additional delay before a member that knows of a larger one claims the leadership. The larger
/// one notices the same silence and has claimed by then.
const LARGER_MEMBER_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of members that are asked at a time. If half of the other members hear a silent
/// leader, the probability that none of those asked does is less than one in ten million.
const MAX_PROBED: usize = 24;
/// Maximum number of the largest members among those that are asked whether they can lead. The
/// others are asked in case all of the largest are lost.
const MAX_LARGEST_PROBED: usize = 16;

/// Returns the members to ask whether they hear a silent leader: a different sample for each
/// `seed`.
///
/// Hundreds of members may start, or notice a silent leader, at the same moment. If each asked all
/// others, this would take tens of thousands of connections and threads.
#[must_use]
pub fn probe_sample(members: Vec<SocketAddr>, seed: u64) -> Vec<SocketAddr> {
    sample(members, MAX_PROBED, seed)
}

/// Returns the members to ask whether they can lead: a sample of the largest and of the others.
#[must_use]
pub fn candidates(members: &[Member], seed: u64) -> Vec<SocketAddr> {
    let largest_power = members.iter().map(|m| m.power).max().unwrap_or_default();
    let addrs = |is_largest: bool| {
        let chosen = members
            .iter()
            .filter(|m| (m.power == largest_power) == is_largest);
        chosen.map(|m| m.addr).collect()
    };
    let others: Vec<_> = addrs(false);
    let max_largest = MAX_LARGEST_PROBED.max(MAX_PROBED.saturating_sub(others.len()));
    let mut candidates = sample(addrs(true), max_largest, seed);
    let max_others = MAX_PROBED - candidates.len();
    candidates.extend(sample(others, max_others, seed));
    candidates
}

/// Returns at most `max` of the members, a different sample for each `seed`.
fn sample(mut members: Vec<SocketAddr>, max: usize, seed: u64) -> Vec<SocketAddr> {
    if members.len() > max {
        members.sort_by_cached_key(|member| {
            let mut hasher = DefaultHasher::new();
            (seed, member).hash(&mut hasher);
            hasher.finish()
        });
        members.truncate(max);
    }
    members
}

/// Returns the member that should lead next: the largest of those that reach the store, and of
/// equally large ones the one that started last. In a rolling restart that one has already
/// restarted, while any other may be the next to stop.
#[must_use]
pub fn successor(answers: &[(SocketAddr, ProbeReply)]) -> Option<SocketAddr> {
    let candidates = answers.iter().filter(|(_, a)| a.has_store && !a.is_leaving);
    candidates
        .min_by_key(|(_, a)| (Reverse(a.power), a.up_ms))
        .map(|(addr, _)| *addr)
}

/// Returns the addresses of the members that are much larger than one of `power`, in thousandths of
/// a core.
#[must_use]
pub fn larger_members(power: u32, members: &[Member]) -> Vec<SocketAddr> {
    let larger = members
        .iter()
        .filter(|m| f64::from(m.power) >= f64::from(power) * LARGER_RATIO);
    larger.map(|m| m.addr).collect()
}

/// Additional delay before a member of `power` claims the leadership.
#[must_use]
pub fn larger_member_delay(power: u32, members: &[Member]) -> Duration {
    if larger_members(power, members).is_empty() {
        Duration::ZERO
    } else {
        LARGER_MEMBER_DELAY
    }
}
