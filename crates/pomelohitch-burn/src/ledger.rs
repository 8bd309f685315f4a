//! The counts of all records, and the gaps in them.

use std::collections::BTreeMap;

use pomelohitch_core::id::{Incarnation, MemberId, ServiceId, TeamId};
use serde::Serialize;

use crate::Minute;
use crate::counts::Tally;
use crate::record::Record;

/// Age in minutes beyond which a run's newest record means that the run ended abruptly, unless the
/// record is marked as its last.
const LATEST_AFTER: Minute = 3;

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
pub struct Pair {
    /// The service.
    pub service: ServiceId,
    /// The team.
    pub team: TeamId,
}

#[derive(Debug, Clone, Default)]
struct Run {
    minutes: BTreeMap<u64, Minute>,
    has_ended: bool,
}

/// The counts of every entry instance, by minute.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    runs: BTreeMap<(MemberId, Incarnation), Run>,
    minutes: BTreeMap<Minute, BTreeMap<Pair, Tally>>,
}

impl Ledger {
    /// Adds a record; a record that was added before has no effect.
    pub fn add(&mut self, record: &Record) {
        let id = (record.member.clone(), record.incarnation);
        let run = self.runs.entry(id).or_default();
        if run.minutes.insert(record.seq, record.minute).is_some() {
            return;
        }
        run.has_ended |= record.last;
        let pairs = self.minutes.entry(record.minute).or_default();
        for row in &record.rows {
            let pair = Pair {
                service: row.service.clone(),
                team: row.team.clone(),
            };
            pairs.entry(pair).or_default().add(row.tally);
        }
    }

    /// Returns every service and team that have counts, sorted.
    #[must_use]
    pub fn pairs(&self) -> Vec<Pair> {
        let mut pairs: Vec<_> = self.minutes.values().flat_map(|m| m.keys()).collect();
        pairs.sort();
        pairs.dedup();
        pairs.into_iter().cloned().collect()
    }

    /// Sums the answers of `service` to `team`, or to all teams, in the minutes `from` to `to`,
    /// inclusive.
    #[must_use]
    pub fn tally(&self, service: &str, team: Option<&str>, from: Minute, to: Minute) -> Tally {
        let mut sum = Tally::default();
        for (pair, tally) in self.minutes.range(from..=to).flat_map(|(_, pairs)| pairs) {
            let is_team = team.is_none_or(|team| *pair.team == *team);
            if *pair.service == *service && is_team {
                sum.add(*tally);
            }
        }
        sum
    }

    /// Returns the gaps that end between the minutes `from` and `now`, sorted. The time before the
    /// first record is not a gap: nothing was counted yet, or its records were trimmed.
    #[must_use]
    pub fn gaps(&self, from: Minute, now: Minute) -> Vec<Gap> {
        let mut gaps = self.silence(now);
        for ((member, _), run) in &self.runs {
            gaps.extend(run.gaps(member, now));
        }
        gaps.retain(|gap| gap.to >= from);
        gaps.sort();
        gaps
    }

    /// Returns the first minute with a record.
    #[must_use]
    pub fn first(&self) -> Option<Minute> {
        self.minutes.first_key_value().map(|(minute, _)| *minute)
    }

    fn silence(&self, now: Minute) -> Vec<Gap> {
        let ends = now.saturating_sub(LATEST_AFTER);
        let counted = self.minutes.keys().copied().chain([ends + 1]);
        let mut gaps = Vec::new();
        let mut before = None;
        for minute in counted {
            if let Some(before) = before
                && minute > before + 1
            {
                gaps.push(Gap {
                    from: before + 1,
                    to: minute - 1,
                    member: None,
                    cause: Cause::Silence,
                });
            }
            before = Some(minute);
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
        let pairs = self.minutes.iter().zip(self.minutes.iter().skip(1));
        for ((seq, minute), (next_seq, next_minute)) in pairs {
            if *next_seq > seq + 1 {
                let to = (next_minute - 1).max(minute + 1);
                gaps.push(gap(minute + 1, to, Cause::RecordMissing));
            }
        }
        if let Some((_, newest)) = self.minutes.last_key_value()
            && !self.has_ended
            && newest + LATEST_AFTER < now
        {
            gaps.push(gap(newest + 1, newest + 1, Cause::EndedAbruptly));
        }
        gaps
    }
}
