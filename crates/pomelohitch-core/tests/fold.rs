//! Tests of the fold: configuration, keys, members, pools, waves and snapshots.

#[path = "fold/fleet.rs"]
mod fleet;
#[path = "fold/members.rs"]
mod members;
#[path = "fold/properties.rs"]
mod properties;
#[path = "fold/publish.rs"]
mod publish;
#[path = "fold/snapshot.rs"]
mod snapshot;
#[path = "fold/support.rs"]
mod support;
#[path = "fold/waves.rs"]
mod waves;
