//! Notices that the leader is silent and takes over.
//!
//! Taking over needs no agreement among members: the store takes one claim for each end of its
//! topic, and a former leader's writes and orders are fenced from then on. What is decided here
//! is only when to try. Too early costs a needless change, and so does a member that is cut off
//! from the others; too late leaves tasks without a scheduler.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::info;

use super::leader::core::millis;
use super::shared::{Shared, View};
use super::wire::{self, Probe, ProbeReply};
use super::{clock, leader, peers, succession};

/// How often the leader's silence is looked at.
const TICK: Duration = Duration::from_millis(100);
/// Silence after which the leader is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// A peer that heard the leader within this time speaks for it.
const HEARD_WITHIN: Duration = Duration::from_millis(700);
/// Where no peer answers, the leader's signs of life in the store decide: one comes each second.
const NO_SIGN_FOR: Duration = Duration::from_millis(2500);
/// A pause between two looks this long means that this process itself stood still, so that it
/// can't tell how long the leader was silent.
const STOOD_STILL: Duration = Duration::from_millis(600);
/// Members hold back for up to this long, so that they rarely claim at once.
const STAGGER: Duration = Duration::from_millis(150);

/// Watches the leader until the process shuts down.
pub fn run(shared: &Arc<Shared>) {
    let hold_back = stagger(&shared.site.load().member);
    let mut last_look = clock::steady();
    while !shared.is_leaving() {
        shared.wait(TICK);
        let now = clock::steady();
        if now.saturating_sub(last_look) > STOOD_STILL {
            shared.update(|view| {
                view.leader_heard_at = now;
                view.leader_alive_at = now;
            });
        }
        last_look = now;
        if shared.leadership().is_some() || shared.is_leaving() {
            continue;
        }
        let view = shared.view();
        let epoch = view.leader.as_ref().map_or(0, |l| l.epoch);
        let power = shared.site.load().power;
        let hold_back = hold_back + succession::deference(power, &shared.others());
        if let Some(claim) = shared.take_claim() {
            info!(has_ended = claim.has_ended, "asked to take over");
            leader::claim(shared, epoch, claim.has_ended);
        } else if is_suspect(&view, now, hold_back) && is_silent(shared) {
            leader::claim(shared, epoch, false);
        }
    }
}

fn is_suspect(view: &View, now: Steady, hold_back: Duration) -> bool {
    let silent_for = now.saturating_sub(view.leader_heard_at);
    view.is_loaded && silent_for > SUSPECT_AFTER + hold_back
}

/// Whether nobody else hears the leader either. Without any leader there is nothing to be heard: the
/// store takes one claim.
fn is_silent(shared: &Shared) -> bool {
    let view = shared.view();
    if view.leader.is_none() {
        return true;
    }
    let seed = millis(clock::steady());
    let others = succession::asked(shared.peers(), seed);
    let probe = Probe { with_store: false };
    let answers = peers::ask_all::<ProbeReply>(&others, wire::PROBE_PATH, &probe);
    let is_heard = answers
        .iter()
        .any(|(_, a)| Duration::from_millis(a.heard_ms) < HEARD_WITHIN);
    let no_sign = clock::steady().saturating_sub(view.leader_alive_at) > NO_SIGN_FOR;
    let is_silent = !is_heard && (!answers.is_empty() || no_sign);
    info!(
        peers = others.len(),
        answers = answers.len(),
        is_heard,
        no_sign,
        is_silent,
        "leader suspected"
    );
    is_silent
}

fn stagger(member: &str) -> Duration {
    let sum = member.bytes().fold(0_u32, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u32::from(b))
    });
    STAGGER.mul_f64(f64::from(sum % 16) / 16.0)
}
