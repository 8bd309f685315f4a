//! A small configuration for tests and the local fleet, and functions that append it to the log.

use std::time::Duration;

use pomelohitch_core::config::FleetFile;
use pomelohitch_core::id::RecordId;
use pomelohitch_core::record::{FLEET_STREAM, FileChange, Publish};
use pomelohitch_core::{Body, Pool, Record, Service, Team, key};
use pomelohitch_platform::Log;
use pomelohitch_platform::log::Appended;

/// The service of [`small`].
pub const SERVICE: &str = "passes";
/// The pool of its runners.
pub const POOL: &str = "passes";
/// The path under which [`small`] is published.
pub const PATH: &str = "fleet/pomelohitch.toml";
/// The teams of [`small`] with their API keys.
pub const TEAMS: [(&str, &str); 2] = [("kiosks", "key-of-kiosks"), ("hotels", "key-of-hotels")];

/// Two teams, one service with a pool of runners, a pool of spares and a pool of workers.
#[must_use]
pub fn small() -> FleetFile {
    let pool = |id: &str, spare| Pool {
        id: id.into(),
        spare,
        floor: 0,
    };
    let team = |(id, shown): (&str, &str)| Team {
        id: id.into(),
        share: 1,
        limit: 1000,
        keys: vec![key::hash(shown)],
    };
    FleetFile {
        teams: TEAMS.into_iter().map(team).collect(),
        pools: vec![
            pool(POOL, false),
            pool("staff-tools", true),
            pool("batch", false),
        ],
        services: vec![Service {
            id: SERVICE.into(),
            pool: POOL.into(),
            min_available: 1,
            slots: 8,
            connections: 64,
            timeout: Duration::from_secs(5),
            longest_run: Duration::from_secs(5),
            queue: 200,
            objective: None,
        }],
    }
}

/// Publishes `file` as an operator does; `base` is the version that the change is based on.
///
/// # Errors
/// If the append fails or its effect is unknown.
pub fn publish(
    log: &Log,
    file: FleetFile,
    base: Option<u64>,
) -> pomelohitch_platform::Result<Appended> {
    let change = FileChange {
        base,
        file: Some(file),
    };
    let changes = [(PATH.into(), change)].into();
    append(log, Body::Publish(Publish { changes }))
}

/// Appends `body` as a record of an operator.
///
/// # Errors
/// If the append fails or its effect is unknown.
pub fn append(log: &Log, body: Body) -> pomelohitch_platform::Result<Appended> {
    let record = Record {
        id: RecordId::new_v4(),
        after: 0,
        at: Duration::ZERO,
        by: "operator".into(),
        body,
    };
    (log.append)(FLEET_STREAM, &[record.encode()])
}
