//! The counts of all records, and the gaps in them.

use std::collections::BTreeMap;

use pomelohitch_core::id::{Incarnation, MemberId, ServiceId, TeamId};
use serde::Serialize;

use crate::Minute;
use crate::counts::Tally;
use crate::record::Record;

/// Age in minutes beyond which a run's newest record means that the run ended abruptly, unless the
/// record is marked as its last.
const RUN_TIMEOUT_MINUTES: Minute = 3;

/// A time for which counts may be missing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// The first minute.
    pub from: Minute,
    /// The last minute.
    pub to: Minute,
    /// The entry instance; `None` for all of them.
    pub member: Option<MemberId>,
    /// Why the counts are missing.
    pub cause: Cause,
}

/// Why counts are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A sequence number is missing between two records of a run.
    RecordMissing,
    /// The run ended without a graceful shutdown, so its last minute was not appended.
    EndedAbruptly,
    /// No entry instance appended a record.
    Silence,
}

/// A service and a team that it answered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ServiceTeam {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
}

/// The records of one run of an entry instance.
#[derive(Debug, Clone, Default)]
struct Run {
    minute_by_seq: BTreeMap<u64, Minute>,
    has_ended: bool,
}

/// The counts of every entry instance, by minute.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    runs: BTreeMap<(MemberId, Incarnation), Run>,
    tallies: BTreeMap<Minute, BTreeMap<ServiceTeam, Tally>>,
}

impl Ledger {
    /// Adds a record; a record that was added before has no effect.
    pub fn add(&mut self, record: &Record) {
        let id = (record.member.clone(), record.incarnation);
        let run = self.runs.entry(id).or_default();
        if run
            .minute_by_seq
            .insert(record.seq, record.minute)
            .is_some()
        {
            return;
        }
        run.has_ended |= record.last;
        let pairs = self.tallies.entry(record.minute).or_default();
        for row in &record.rows {
            let pair = ServiceTeam {
                service: row.service.clone(),
                team: row.team.clone(),
            };
            pairs.entry(pair).or_default().add(row.tally);
        }
    }

    /// Returns every service and team that have counts, sorted.
    #[must_use]
    pub fn service_teams(&self) -> Vec<ServiceTeam> {
        let mut pairs: Vec<_> = self.tallies.values().flat_map(|m| m.keys()).collect();
        pairs.sort();
        pairs.dedup();
        pairs.into_iter().cloned().collect()
    }

    /// Sums the answers of `service` to `team`, or to all teams, in the minutes `from` to `to`,
    /// inclusive.
    #[must_use]
    pub fn tally(&self, service: &str, team: Option<&str>, from: Minute, to: Minute) -> Tally {
        let mut sum = Tally::default();
        for (pair, tally) in self.tallies.range(from..=to).flat_map(|(_, pairs)| pairs) {
            let is_team = team.is_none_or(|team| *pair.team == *team);
            if *pair.service == *service && is_team {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Returns the gaps up to `now` that end in the minute `from` or later, sorted. The time before
    /// the first record is not a gap: nothing was counted yet, or its records were trimmed.
    #[must_use]
    pub fn gaps(&self, from: Minute, now: Minute) -> Vec<Gap> {
        let mut gaps = self.silent_gaps(now);
        for ((member, _), run) in &self.runs {
            gaps.extend(run.gaps(member, now));
        }
        gaps.retain(|gap| gap.to >= from);
        gaps.sort();
        gaps
    }

    /// Returns the first minute with a record.
    #[must_use]
    pub fn first_minute(&self) -> Option<Minute> {
        self.tallies.first_key_value().map(|(minute, _)| *minute)
    }

    fn silent_gaps(&self, now: Minute) -> Vec<Gap> {
        let last_expected = now.saturating_sub(RUN_TIMEOUT_MINUTES);
        let counted = self.tallies.keys().copied().chain([last_expected + 1]);
        let mut gaps = Vec::new();
        let mut previous = None;
        for minute in counted {
            if let Some(previous) = previous
                && minute > previous + 1
            {
                gaps.push(Gap {
                    from: previous + 1,
                    to: minute - 1,
                    member: None,
                    cause: Cause::Silence,
                });
            }
            previous = Some(minute);
        }
        gaps
    }
}

impl Run {
    fn gaps(&self, member: &MemberId, now: Minute) -> Vec<Gap> {
        let gap = |from, to, cause| Gap {
            from,
            to,
            member: Some(member.clone()),
            cause,
        };
        let mut gaps = Vec::new();
        let pairs = self
            .minute_by_seq
            .iter()
            .zip(self.minute_by_seq.iter().skip(1));
        for ((seq, minute), (next_seq, next_minute)) in pairs {
            if *next_seq > seq + 1 {
                let to = (next_minute - 1).max(minute + 1);
                gaps.push(gap(minute + 1, to, Cause::RecordMissing));
            }
        }
        if let Some((_, newest)) = self.minute_by_seq.last_key_value()
            && !self.has_ended
            && newest + RUN_TIMEOUT_MINUTES < now
        {
            gaps.push(gap(newest + 1, newest + 1, Cause::EndedAbruptly));
        }
        gaps
    }
}
