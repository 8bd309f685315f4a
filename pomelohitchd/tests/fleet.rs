//! Tests of the daemon that runs as an entry instance on the users' platform.

#[path = "fleet/callers.rs"]
mod callers;
#[path = "fleet/claims.rs"]
mod claims;
#[path = "fleet/clock.rs"]
mod clock;
#[path = "fleet/confirmations.rs"]
mod confirmations;
#[path = "fleet/dispatcher.rs"]
mod dispatcher;
#[path = "fleet/heartbeats.rs"]
mod heartbeats;
#[path = "fleet/in_flight.rs"]
mod in_flight;
#[path = "fleet/journal.rs"]
mod journal;
#[path = "fleet/leaders.rs"]
mod leaders;
#[path = "fleet/logs.rs"]
mod logs;
#[path = "fleet/lost_answers.rs"]
mod lost_answers;
#[path = "fleet/operations.rs"]
mod operations;
#[path = "fleet/outages.rs"]
mod outages;
#[path = "fleet/peers.rs"]
mod peers;
#[path = "fleet/relays.rs"]
mod relays;
#[path = "fleet/site.rs"]
mod site;
