//! Tests of the planner and its parts.

#[path = "place/decisions.rs"]
mod decisions;
#[path = "place/harness.rs"]
mod harness;
#[path = "place/health.rs"]
mod health;
#[path = "place/index.rs"]
mod index;
#[path = "place/properties.rs"]
mod properties;
#[path = "place/sizes.rs"]
mod sizes;
