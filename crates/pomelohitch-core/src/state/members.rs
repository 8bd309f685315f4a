//! Membership of entry instances, and the planner's term.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Rejection, Result};
use crate::id::{Incarnation, MemberId, Offset, Term, ZoneId};
use crate::record::{Join, Leave, TakeTerm};

/// An entry instance that joined and hasn't left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for connections from peers.
    pub peer_addr: SocketAddr,
}

/// All members, and which of them is the planner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members by id.
    pub by_id: BTreeMap<MemberId, Member>,
    /// Term in force; 0 before the first.
    pub term: Term,
    /// Planner of the term; `None` once its incarnation has left or was replaced.
    pub planner: Option<MemberId>,
    /// Offset at which the set of members last changed.
    pub epoch: Offset,
    /// Whether any incarnation has ever ended. Work that it started may still be running.
    #[serde(default)]
    pub has_ended: bool,
}

impl Members {
    pub(super) fn join(&mut self, offset: Offset, join: &Join) {
        let member = Member {
            incarnation: offset,
            zone: join.zone.clone(),
            peer_addr: join.peer_addr,
        };
        let before = self.by_id.insert(join.member.clone(), member);
        self.has_ended |= before.is_some();
        self.epoch = offset;
        self.forget_planner(&join.member);
    }

    pub(super) fn leave(&mut self, offset: Offset, leave: &Leave) -> Result<()> {
        self.check_member(&leave.member, leave.incarnation)?;
        self.by_id.remove(&leave.member);
        self.has_ended = true;
        self.epoch = offset;
        self.forget_planner(&leave.member);
        Ok(())
    }

    pub(super) fn take_term(&mut self, take: &TakeTerm) -> Result<()> {
        self.check_member(&take.member, take.incarnation)?;
        if take.term != self.term + 1 {
            return Err(Rejection::StaleTerm { current: self.term });
        }
        self.term = take.term;
        self.planner = Some(take.member.clone());
        Ok(())
    }

    pub(super) fn check_term(&self, term: Term) -> Result<()> {
        if term == self.term && self.planner.is_some() {
            return Ok(());
        }
        Err(Rejection::StaleTerm { current: self.term })
    }

    fn check_member(&self, member: &str, incarnation: Incarnation) -> Result<()> {
        match self.by_id.get(member) {
            Some(known) if known.incarnation == incarnation => Ok(()),
            _ => Err(Rejection::NotMember),
        }
    }

    /// Clears the planner if it is `member`, whose process has ended. Otherwise the term would stay
    /// in force until the planner's lease expires, although the log already shows that it left.
    fn forget_planner(&mut self, member: &MemberId) {
        if self.planner.as_ref() == Some(member) {
            self.planner = None;
        }
    }
}
