//! Detects a silent leader and claims the leadership.
//!
//! Claims need no agreement among members: the store accepts only one claim at each end offset of
//! its topic, and from then on the former leader's writes and orders are fenced. This module only
//! decides when to claim. A claim that comes too early costs a needless change of leader, and so
//! does a claim by a member that is cut off from the others; one that comes too late leaves tasks
//! without a scheduler.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::info;

use super::leader::Reason;
use super::leader::core::millis;
use super::shared::{Shared, View};
use super::wire::{self, Probe, ProbeReply};
use super::{clock, leader, peers, succession};

/// Interval at which the time since the last heartbeat is checked.
const TICK: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which the leader is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// If a peer heard the leader within this time, the leader doesn't count as silent.
const HEARD_WITHIN: Duration = Duration::from_millis(700);
/// If no peer answers, the leader counts as silent when its liveness record hasn't changed for this
/// long; it is written every second.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// If two checks are further apart than this, this process itself was suspended, and can't tell for
/// how long the leader was silent.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);
/// Upper limit of the delay of a claim. The delay is derived from the member's name, so that
/// members rarely claim at the same time.
const MAX_STAGGER: Duration = Duration::from_millis(150);

/// Watches the leader until the process shuts down.
pub fn run(shared: &Arc<Shared>) {
    let claim_delay = stagger(&shared.site.load().member);
    let mut last_check = clock::steady();
    while !shared.is_leaving() {
        shared.wait(TICK);
        let now = clock::steady();
        if now.saturating_sub(last_check) > SUSPENSION_THRESHOLD {
            shared.update(|view| {
                view.leader_heard_at = now;
                view.leader_alive_at = now;
            });
        }
        last_check = now;
        if shared.leadership().is_some() || shared.is_leaving() {
            continue;
        }
        let view = shared.view();
        let epoch = view.leader.as_ref().map_or(0, |l| l.epoch);
        if let Some(claim) = shared.take_claim() {
            info!(
                epoch = claim.epoch,
                has_ended = claim.has_ended,
                "asked to take over"
            );
            let has_ended = claim.has_ended;
            leader::claim(shared, claim.epoch, &Reason::Asked { has_ended });
        } else if is_suspect(shared, &view, now, claim_delay) && is_silent(shared) {
            leader::claim(shared, epoch, &Reason::Silent(Box::new(view)));
        }
    }
}

fn is_suspect(shared: &Shared, view: &View, now: Steady, claim_delay: Duration) -> bool {
    let silent_for = now.saturating_sub(view.leader_heard_at);
    if !view.is_loaded || silent_for <= SUSPECT_AFTER + claim_delay {
        return false;
    }
    let power = shared.site.load().power;
    let larger_delay = succession::larger_member_delay(power, &shared.others());
    silent_for > SUSPECT_AFTER + claim_delay + larger_delay
}

/// Whether no other member hears the leader either. Without a known leader there is no need to ask:
/// the store accepts only one claim.
fn is_silent(shared: &Shared) -> bool {
    let view = shared.view();
    if view.leader.is_none() {
        return true;
    }
    let seed = millis(clock::steady());
    let others = succession::probe_sample(shared.peers(), seed);
    let probe = Probe { with_store: false };
    let answers = peers::ask_all::<ProbeReply>(&others, wire::PROBE_PATH, &probe);
    let is_heard = answers
        .iter()
        .any(|(_, a)| Duration::from_millis(a.heard_ms) < HEARD_WITHIN);
    let is_record_stale = clock::steady().saturating_sub(view.leader_alive_at) > LIVENESS_TIMEOUT;
    let is_silent = !is_heard && (!answers.is_empty() || is_record_stale);
    info!(
        peers = others.len(),
        answers = answers.len(),
        is_heard,
        no_sign = is_record_stale,
        is_silent,
        "leader suspected"
    );
    is_silent
}

fn stagger(member: &str) -> Duration {
    let sum = member.bytes().fold(0_u32, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u32::from(b))
    });
    MAX_STAGGER.mul_f64(f64::from(sum % 16) / 16.0)
}
