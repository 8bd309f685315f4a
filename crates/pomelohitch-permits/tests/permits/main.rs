//! Tests of permits: single rules, and a model check of all interleavings of a few members.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

mod model;
mod model_check;
mod rules;
mod spread;
