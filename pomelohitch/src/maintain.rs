//! `pomelohitch maintain`: starts maintenance waves, pauses and resumes maintenance.

use std::sync::Arc;

use clap::Subcommand;
use pomelohitch_core::Body;
use pomelohitch_core::id::{Offset, PoolId};
use pomelohitch_core::record::{MaintainOrder, WaveLimits};
use pomelohitch_platform::Log;
use serde::Serialize;

use crate::exit::Exit;
use crate::output::Output;
use crate::propose::{self, explain, propose};

/// Maintenance commands.
#[derive(Debug, Clone, Subcommand)]
pub enum MaintainCommand {
    /// Start a wave: maintain each instance now in POOL once, as fast as availability budgets allow
    Wave {
        /// The pool
        pool: PoolId,
        /// Number of availability zones maintained at a time; 0 for no limit
        #[arg(long, default_value_t = 2)]
        zones: u32,
        /// Number of racks maintained at a time; 0 for no limit
        #[arg(long, default_value_t = 0)]
        racks: u32,
    },
    /// Start no further maintenance drains and no further moves out of POOL, or of any pool
    Pause {
        /// The pool; all pools if omitted
        pool: Option<PoolId>,
    },
    /// End a pause: that of POOL, or the one of all pools
    Resume {
        /// The pool; ends the pause of all pools if omitted
        pool: Option<PoolId>,
    },
}

/// The outcome of a maintenance order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The order is in force.
    InForce {
        /// Offset of its record.
        offset: Offset,
    },
    /// The fold rejects the order.
    NotInForce {
        /// Why, and what to do.
        reason: Box<str>,
    },
    /// The log is unreachable, and nothing was appended.
    Unreachable {
        /// The error of the log.
        reason: Box<str>,
    },
    /// The order may or may not come into force.
    NotKnown {
        /// Why the outcome is unknown.
        reason: Box<str>,
    },
}

fn order(command: &MaintainCommand) -> MaintainOrder {
    let limit = |given: u32| (given > 0).then_some(given);
    match command {
        MaintainCommand::Wave { pool, zones, racks } => MaintainOrder::Start {
            pool: pool.clone(),
            limits: WaveLimits {
                racks: limit(*racks),
                zones: limit(*zones),
            },
        },
        MaintainCommand::Pause { pool } => MaintainOrder::Pause { pool: pool.clone() },
        MaintainCommand::Resume { pool } => MaintainOrder::Resume { pool: pool.clone() },
    }
}

/// Proposes the order and reads the verdict on it.
#[must_use]
pub fn maintain(log: &Arc<Log>, command: &MaintainCommand, options: &propose::Options) -> Outcome {
    let mut follower = propose::fleet_follower(log);
    if let Err(error) = propose::catch_up(&mut follower, options) {
        let reason = error.to_string().into();
        return Outcome::Unreachable { reason };
    }
    let body = Body::Maintain(order(command));
    match propose(log, &mut follower, body, options) {
        propose::Outcome::InForce { offset } => Outcome::InForce { offset },
        propose::Outcome::Rejected { rejection, .. } => Outcome::NotInForce {
            reason: explain(&rejection).into(),
        },
        propose::Outcome::NotAppended { error } => Outcome::Unreachable {
            reason: error.to_string().into(),
        },
        propose::Outcome::NotKnown { error, .. } => Outcome::NotKnown {
            reason: error.map_or_else(|| "no verdict in time".into(), |e| e.to_string().into()),
        },
    }
}

/// Renders the outcome of an order.
#[must_use]
pub fn show(outcome: &Outcome) -> Output {
    let (exit, text) = match outcome {
        Outcome::InForce { offset } => (Exit::Done, format!("in force since offset {offset}\n")),
        Outcome::NotInForce { reason } => (Exit::Refused, format!("not in force: {reason}\n")),
        Outcome::Unreachable { reason } => (
            Exit::Unreachable,
            format!("not in force: {reason}; try again when the log is back\n"),
        ),
        Outcome::NotKnown { reason } => (
            Exit::NotKnown,
            format!("not known: {reason}; see `pomelohitch status` when the log is back\n"),
        ),
    };
    Output::new(exit, text, outcome)
}
