//! Notices to the homes of keys, sent until they are acknowledged.
//!
//! A home that doesn't learn what became of a key's request keeps the key from all others.

use std::sync::Arc;
use std::time::Duration;

use pomelohitch_core::id::MemberId;
use pomelohitch_peer::Call;
use pomelohitch_peer::permits::{Claim, Verdict};
use pomelohitch_permits::Monotonic;
use pomelohitch_route::once::WINDOW;

use super::on_claim;
use crate::node::Node;

/// Delay before an unacknowledged notice is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of unacknowledged notices; further ones are dropped.
const MAX_UNACKNOWLEDGED: usize = 10_000;

/// A release or use of a key that a home has to learn of.
#[derive(Debug, Clone)]
struct Notice {
    home: MemberId,
    claim: Claim,
    /// The home has forgotten the key by then.
    expires_at: Monotonic,
}

/// Notices that weren't acknowledged, and when they are sent again.
#[derive(Debug, Default)]
pub struct Unacknowledged {
    notices: Vec<Notice>,
    resend_at: Monotonic,
}

impl Unacknowledged {
    fn add(&mut self, notice: Notice, now: Monotonic) {
        if self.notices.is_empty() {
            self.resend_at = now + RESEND_DELAY;
        }
        if now < notice.expires_at && self.notices.len() < MAX_UNACKNOWLEDGED {
            self.notices.push(notice);
        }
    }

    fn take_due(&mut self, now: Monotonic) -> Vec<Notice> {
        if now < self.resend_at {
            return Vec::new();
        }
        std::mem::take(&mut self.notices)
    }
}

/// Sends a notice to `home`.
pub(super) fn send(node: &Arc<Node>, home: MemberId, claim: Claim) {
    let expires_at = node.permits.now() + WINDOW;
    send_notice(
        node,
        Notice {
            home,
            claim,
            expires_at,
        },
    );
}

/// Sends again the notices that weren't acknowledged.
pub fn resend(node: &Arc<Node>) {
    let due = {
        let mut inner = node.permits.lock();
        let now = node.permits.now();
        inner.unacknowledged.take_due(now)
    };
    for notice in due {
        metrics::counter!("key_notices_resent").increment(1);
        send_notice(node, notice);
    }
}

fn send_notice(node: &Arc<Node>, notice: Notice) {
    let Notice { home, claim, .. } = &notice;
    if *home == node.settings.member {
        let _ = on_claim(node, claim);
        return;
    }
    let (home, claim) = (home.clone(), claim.clone());
    let answer_node = node.clone();
    let on_answer = move |answer: Option<Verdict>| {
        if answer.is_none() {
            let mut inner = answer_node.permits.lock();
            let now = answer_node.permits.now();
            inner.unacknowledged.add(notice, now);
        }
    };
    node.permits
        .call(home, Call::Claim(claim, Box::new(on_answer)));
}
