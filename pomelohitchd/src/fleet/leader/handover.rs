//! Decides when the leadership ends in favour of another member.
//!
//! A leader hands over if it loses the store while other members have it, if a much larger member
//! can lead, or if the process shuts down. It also ends once its leases have expired because neither
//! the store nor a majority of the members confirms it. The choice of a successor is in
//! [`succession`]; this module probes the members.

use std::net::SocketAddr;
use std::time::Duration;

use pomelohitch_sched::Steady;
use tracing::{info, warn};

use super::core::{Core, Event, millis};
use crate::fleet::shared::spawn;
use crate::fleet::succession::{self, successor};
use crate::fleet::wire::{self, Probe, ProbeReply};
use crate::fleet::{clock, internal, peers};

/// Time without an answer after which the store counts as lost and the other members are probed.
/// Their answers decide, so that probing early costs a few calls.
const STORE_LOST_AFTER: Duration = Duration::from_millis(250);
/// Maximum outage after which a store that answers a read of this process counts as recovered.
/// After a longer one appends may still fail, and the leadership is handed over.
const MAX_RECOVERED_OUTAGE: Duration = Duration::from_secs(6);
/// Minimum interval between probes about the store. Answers take long while the store is silent.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);
/// Interval at which larger members are asked whether they can lead.
const LARGER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a takeover before larger members are first asked, which is before the load of the
/// leadership has built up.
const LARGER_CHECK_DELAY: Duration = Duration::from_millis(300);
/// Timeout of the answers of larger members. Long, since a small leader that is out of processor
/// time has the most need to hand over and is slow to read the answers.
const LARGER_CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a confirmation after which this process stops leading: the longest lease that it may
/// have requested has expired.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(9);
/// Time without the store and without an answer of any other member after which this process stops
/// leading: the other members have probably elected another leader.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// Initial value of the time of the last check for larger members, which puts the first check
/// [`LARGER_CHECK_DELAY`] after the takeover.
pub(super) fn initial_larger_checked_at() -> Steady {
    (clock::steady() + LARGER_CHECK_DELAY).saturating_sub(LARGER_CHECK_INTERVAL)
}

/// Time without a confirmation after which the leadership counts as unconfirmed, and reports no states
/// of jobs.
pub const UNCONFIRMED_AFTER: Duration = Duration::from_millis(1500);

impl Core<'_> {
    /// Passes the newest confirmation on to the scheduler, and ends a leadership that hasn't been
    /// confirmed for so long that all of its leases have expired.
    pub(super) fn check_confirmation(&mut self) {
        let now = clock::steady();
        let at = self.confirmation.at();
        self.cell.leadership_confirmed(at);
        let is_confirmed = now.saturating_sub(at) < UNCONFIRMED_AFTER;
        let age_ms = |at: Steady| now.saturating_sub(at).as_millis();
        let store_ms = age_ms(self.confirmation.store_at());
        let members_ms = age_ms(self.confirmation.members_at());
        match self.unconfirmed_since {
            None if !is_confirmed => {
                self.unconfirmed_since = Some(now);
                let epoch = self.epoch;
                warn!(epoch, store_ms, members_ms, "leadership unconfirmed");
            }
            Some(since) if is_confirmed => {
                self.unconfirmed_since = None;
                let unconfirmed_ms = age_ms(since);
                info!(
                    epoch = self.epoch,
                    unconfirmed_ms, store_ms, members_ms, "leadership confirmed again"
                );
            }
            _ => {}
        }
        metrics::gauge!("leadership_confirmed_age_seconds", "by" => "store").set(
            now.saturating_sub(self.confirmation.store_at())
                .as_secs_f64(),
        );
        metrics::gauge!("leadership_confirmed_age_seconds", "by" => "members").set(
            now.saturating_sub(self.confirmation.members_at())
                .as_secs_f64(),
        );
        if now.saturating_sub(at) > MAX_UNCONFIRMED {
            self.stop("neither store nor majority of members confirms it", None);
        }
    }

    /// While the store doesn't answer, probes whether it answers the other members.
    pub(super) fn check_store(&mut self) {
        let now = clock::steady();
        let Some(since) = self.store_lost_since() else {
            return;
        };
        let is_lost = now.saturating_sub(since) > STORE_LOST_AFTER;
        if !is_lost || now < self.members_probed_at + PROBE_INTERVAL {
            return;
        }
        self.members_probed_at = now;
        let others = succession::candidates(&self.shared.others(), millis(now));
        let tx = self.tx.clone();
        let shared = self.shared.clone();
        let end = self.shared.view().members_end;
        let thread = spawn("ask about the store", move || {
            let probe = Probe { with_store: true };
            // Concurrently, since a call to a silent store takes its whole timeout.
            let (answers, has_store) = std::thread::scope(|scope| {
                let own = scope.spawn(|| internal::reaches_store(&shared, end));
                let timeout = wire::STORE_PROBE_TIMEOUT;
                let answers = peers::ask_all_within(&others, wire::PROBE_PATH, &probe, timeout);
                (answers, own.join().unwrap_or(false))
            });
            let _ = tx.send(Event::StoreProbed(answers, has_store));
        });
        if let Err(error) = thread {
            warn!(%error, "failed to probe the other members");
        }
    }

    /// Checks whether the former leader's process has ended, which is known once its member has
    /// registered with another start time.
    pub(super) fn check_former_leader(&mut self) {
        let Some(former) = &self.former else {
            return;
        };
        let member = self.shared.member(&former.member);
        if member.is_some_and(|m| former.has_ended(&m)) {
            self.cell.former_leader_ended();
            self.former = None;
        }
    }

    /// Asks larger members at intervals whether they can lead.
    pub(super) fn check_larger_members(&mut self) {
        let now = clock::steady();
        if now < self.larger_checked_at + LARGER_CHECK_INTERVAL {
            return;
        }
        self.larger_checked_at = now;
        let power = self.shared.site.load().power;
        let larger = succession::larger_members(power, &self.shared.others());
        if larger.is_empty() {
            return;
        }
        let larger = succession::probe_sample(larger, millis(now));
        let tx = self.tx.clone();
        let thread = spawn("ask larger members", move || {
            let probe = Probe { with_store: true };
            let answers =
                peers::ask_all_within(&larger, wire::PROBE_PATH, &probe, LARGER_CHECK_TIMEOUT);
            let _ = tx.send(Event::LargerMembersProbed(answers));
        });
        if let Err(error) = thread {
            warn!(%error, "failed to probe larger members");
        }
    }

    /// Hands the leadership over to the largest member that can lead, if any.
    pub(super) fn yield_to_larger(&mut self, larger: &[(SocketAddr, ProbeReply)]) {
        if let Some(successor) = successor(larger) {
            self.stop("a larger member can lead", Some(successor));
        }
    }

    fn store_lost_since(&self) -> Option<Steady> {
        let lost = [self.appends_failing_since, self.reads_failing_since];
        lost.into_iter().flatten().min()
    }

    pub(super) fn handle_probe_answers(
        &mut self,
        answers: &[(SocketAddr, ProbeReply)],
        has_store: bool,
    ) {
        let Some(since) = self.store_lost_since() else {
            return;
        };
        let has_recovered =
            has_store && clock::steady().saturating_sub(since) < MAX_RECOVERED_OUTAGE;
        if answers.iter().any(|(_, a)| a.epoch > self.epoch) {
            self.stop("another member knows a later leader", None);
        }
        let successor = successor(answers);
        let lost_ms = clock::steady().saturating_sub(since).as_millis();
        warn!(lost_ms, answers = answers.len(), successor = ?successor, "store unavailable");
        if let Some(successor) = successor.filter(|_| !has_recovered) {
            self.stop("the store answers others", Some(successor));
        }
        let is_isolated = answers.is_empty() && !self.shared.peers().is_empty();
        if is_isolated && clock::steady().saturating_sub(since) > ISOLATED_AFTER {
            self.stop("neither store nor members answer", None);
        }
    }

    /// Ends the leadership for a shutdown, and hands it over to a member that can lead, if any.
    pub(super) fn end_for_shutdown(&mut self) {
        let probe = Probe { with_store: true };
        let others = succession::candidates(&self.shared.others(), millis(clock::steady()));
        let answers = peers::ask_all::<ProbeReply>(&others, wire::PROBE_PATH, &probe);
        self.stop("shutdown", successor(&answers));
    }
}
