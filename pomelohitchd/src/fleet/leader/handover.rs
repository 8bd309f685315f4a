//! When a leader ends in favour of another member.
//!
//! It loses the store while others have it, a much larger member can lead, or the process shuts
//! down. What is decided is in [`succession`]; here the members are asked.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::warn;

use super::core::{Core, Event};
use crate::fleet::shared::spawn;
use crate::fleet::succession::{self, successor};
use crate::fleet::wire::{self, Probe, ProbeReply};
use crate::fleet::{clock, internal, peers};

/// The store is taken for lost after so long without an answer: the other members are asked then.
/// What they answer decides, so that asking early costs a call for each member at most.
const STORE_LOST_AFTER: Duration = Duration::from_millis(250);
/// A store that answers a read now is taken to be back for all, unless appends fail for longer.
const STORE_TRUSTED_FOR: Duration = Duration::from_secs(6);
/// How often they are asked: once they have answered, which takes long while the store is silent.
const ASK_EVERY: Duration = Duration::from_millis(900);
/// How often larger members are asked whether they can lead.
const COMPARE_EVERY: Duration = Duration::from_secs(1);
/// The first time is so long after a take-over, before its load has built up.
const COMPARE_FIRST: Duration = Duration::from_millis(300);
/// Their answers are waited for so long: a small leader that is out of processor time has to yield
/// most of all, and takes long to take them in.
const COMPARE_WITHIN: Duration = Duration::from_secs(2);
/// Without the store and without any answer of other members this process stops leading: the
/// others may have elected another leader, which counts on leases not being renewed for longer.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// When larger members were last asked, as it counts at a take-over.
pub(super) fn first_comparison() -> Steady {
    (clock::steady() + COMPARE_FIRST).saturating_sub(COMPARE_EVERY)
}

impl Core<'_> {
    /// While the store doesn't answer, asks the other members whether it answers them.
    pub(super) fn check_store(&mut self) {
        let now = clock::steady();
        let Some(since) = self.store_lost() else {
            return;
        };
        let is_lost = now.saturating_sub(since) > STORE_LOST_AFTER;
        if !is_lost || now < self.asked_at + ASK_EVERY {
            return;
        }
        self.asked_at = now;
        let others = self.shared.peers();
        let tx = self.tx.clone();
        let shared = self.shared.clone();
        let end = self.shared.view().members_end;
        let asking = spawn("ask about the store", move || {
            let probe = Probe { with_store: true };
            // Side by side: a store that is silent takes its whole time-out to say so.
            let (answers, has_store) = std::thread::scope(|scope| {
                let own = scope.spawn(|| internal::reaches_store(&shared, end));
                let within = wire::STORE_PROBE_TIMEOUT;
                let answers = peers::ask_all_within(&others, wire::PROBE_PATH, &probe, within);
                (answers, own.join().unwrap_or(false))
            });
            let _ = tx.send(Event::Probed(answers, has_store));
        });
        if let Err(error) = asking {
            warn!(%error, "other members can't be asked");
        }
    }

    /// Notices that the former leader's process has ended, by another process of that member.
    pub(super) fn check_former(&mut self) {
        let Some(former) = &self.former else {
            return;
        };
        let member = self.shared.member(&former.member);
        if member.is_some_and(|m| m.began_ms != former.began_ms) {
            self.cell.former_leader_ended();
            self.former = None;
        }
    }

    /// Asks larger members now and then whether they can lead.
    pub(super) fn check_size(&mut self) {
        let now = clock::steady();
        if now < self.compared_at + COMPARE_EVERY {
            return;
        }
        self.compared_at = now;
        let power = self.shared.site.load().power;
        let larger = succession::larger(power, &self.shared.others());
        if larger.is_empty() {
            return;
        }
        let tx = self.tx.clone();
        let asking = spawn("ask larger members", move || {
            let probe = Probe { with_store: true };
            let answers = peers::ask_all_within(&larger, wire::PROBE_PATH, &probe, COMPARE_WITHIN);
            let _ = tx.send(Event::Larger(answers));
        });
        if let Err(error) = asking {
            warn!(%error, "larger members can't be asked");
        }
    }

    /// Hands the leadership over to the largest member, if it can lead.
    pub(super) fn yield_to(&mut self, larger: &[(SocketAddr, ProbeReply)]) {
        if let Some(successor) = successor(larger) {
            self.stop("a larger member can lead", Some(successor));
        }
    }

    fn store_lost(&self) -> Option<Steady> {
        let lost = [self.appends_lost, self.reads_lost];
        lost.into_iter().flatten().min()
    }

    pub(super) fn take_probes(&mut self, answers: &[(SocketAddr, ProbeReply)], has_store: bool) {
        let Some(since) = self.store_lost() else {
            return;
        };
        let is_back = has_store && clock::steady().saturating_sub(since) < STORE_TRUSTED_FOR;
        if answers.iter().any(|(_, a)| a.epoch > self.epoch) {
            self.stop("another member knows a later leader", None);
        }
        let successor = successor(answers);
        let lost_ms = clock::steady().saturating_sub(since).as_millis();
        warn!(lost_ms, answers = answers.len(), successor = ?successor, "store lost");
        if let Some(successor) = successor.filter(|_| !is_back) {
            self.stop("the store answers others", Some(successor));
        }
        let is_alone = answers.is_empty() && !self.shared.peers().is_empty();
        if is_alone && clock::steady().saturating_sub(since) > ISOLATED_AFTER {
            self.stop("neither store nor members answer", None);
        }
    }

    /// Ends the leadership for a shutdown, with the first member that can take over.
    pub(super) fn leave(&mut self) {
        let probe = Probe { with_store: true };
        let answers = peers::ask_all::<ProbeReply>(&self.shared.peers(), wire::PROBE_PATH, &probe);
        self.stop("shutdown", successor(&answers));
    }
}
