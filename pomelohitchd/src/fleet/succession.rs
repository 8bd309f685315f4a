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

/// Maximum number of members that are asked whether they hear a silent leader. If half of the other
/// members hear it, the probability that none of those asked does is less than one in ten million.
const MAX_PROBED: usize = 24;

/// Returns the members to ask whether they hear a silent leader: a different sample for each
/// `seed`.
///
/// Hundreds of members may start, or notice a silent leader, at the same moment. If each asked all
/// others, this would take tens of thousands of connections and threads.
#[must_use]
pub fn probe_sample(mut members: Vec<SocketAddr>, seed: u64) -> Vec<SocketAddr> {
    if members.len() > MAX_PROBED {
        members.sort_by_cached_key(|member| {
            let mut hasher = DefaultHasher::new();
            (seed, member).hash(&mut hasher);
            hasher.finish()
        });
        members.truncate(MAX_PROBED);
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
