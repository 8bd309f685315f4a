//! Service-level burn: how fast each service uses up the error budget of its objective.
//!
//! Entry instances count answers by service, team and minute, and append the counts to a stream
//! of the log, so that the counts outlive the entry instance. A report reads the stream.
//!
//! * [`counts`]: counting on an entry instance.
//! * [`record`]: one minute's counts as a record of the stream.
//! * [`ledger`]: the counts of all records, and the gaps in them.
//! * [`report`]: error budget left, burn rates over several windows, and alarms.
//! * [`span`]: waves, moves, idle instances and job time against shares over a time span.
//! * [`plot`]: the error budget left over time, as SVG.

pub mod counts;
pub mod ledger;
pub mod plot;
pub mod record;
pub mod report;
pub mod span;

pub use counts::Counts;
pub use ledger::Ledger;
pub use record::{BURN_STREAM, Record};
pub use report::Report;

/// A minute, counted from the Unix epoch, or a number of minutes.
pub type Minute = u64;

/// Seconds in a minute.
pub const MINUTE_SECONDS: u64 = 60;

/// Returns the minute that contains `at`, a time since the Unix epoch.
#[must_use]
pub fn minute_of(at: std::time::Duration) -> Minute {
    at.as_secs() / MINUTE_SECONDS
}
