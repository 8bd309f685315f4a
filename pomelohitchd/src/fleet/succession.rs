//! Which member should lead.
//!
//! Pure: what members say of themselves comes in, who should lead comes out. The leader does most
//! of the work, so that where members differ in size the largest should lead. One that is much
//! smaller leads only while no larger one can.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use super::wire::{Member, ProbeReply};

/// A member counts as larger from so many times the processors on. A change of leader holds work
/// back for a tenth of a second, which a small difference isn't worth.
const LARGER_FROM: f64 = 1.5;
/// A member that knows of a larger one waits so much longer before it claims the leadership: by
/// then the larger one, which noticed the same silence, has claimed it.
const DEFERENCE: Duration = Duration::from_millis(400);

/// Most members that are asked whether they hear a silent leader. If half of the others do, it shows in
/// all but one of some million questions.
const ASKED: usize = 24;

/// The members to ask whether they hear a silent leader, others for each `seed`.
///
/// The load that this answers: hundreds of members start, or notice a silence, at the same moment.
/// Each asking all others would take tens of thousands of connections and threads.
#[must_use]
pub fn asked(mut members: Vec<SocketAddr>, seed: u64) -> Vec<SocketAddr> {
    if members.len() > ASKED {
        members.sort_by_cached_key(|member| {
            let mut hasher = DefaultHasher::new();
            (seed, member).hash(&mut hasher);
            hasher.finish()
        });
        members.truncate(ASKED);
    }
    members
}

/// The member that should lead next: of those that reach the store the largest, and of equal ones
/// the one that started last. In a rolling restart its turn is over, while any other may be the
/// next to go.
#[must_use]
pub fn successor(answers: &[(SocketAddr, ProbeReply)]) -> Option<SocketAddr> {
    let able = answers.iter().filter(|(_, a)| a.has_store && !a.is_leaving);
    able.min_by_key(|(_, a)| (Reverse(a.power), a.up_ms))
        .map(|(addr, _)| *addr)
}

/// Where the members take calls that are much larger than one of `power`.
#[must_use]
pub fn larger(power: u32, members: &[Member]) -> Vec<SocketAddr> {
    let larger = members
        .iter()
        .filter(|m| f64::from(m.power) >= f64::from(power) * LARGER_FROM);
    larger.map(|m| m.addr).collect()
}

/// How much longer than others a member of `power` waits before it claims the leadership.
#[must_use]
pub fn deference(power: u32, members: &[Member]) -> Duration {
    if larger(power, members).is_empty() {
        Duration::ZERO
    } else {
        DEFERENCE
    }
}
