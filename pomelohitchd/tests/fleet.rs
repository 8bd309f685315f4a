//! Tests of the daemon on the users' platform.

#[path = "fleet/callers.rs"]
mod callers;
#[path = "fleet/site.rs"]
mod site;
