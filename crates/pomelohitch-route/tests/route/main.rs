//! Tests of the request path's decisions, without sockets or clocks.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

mod dispatch;
mod head;
mod once;
mod pick;
mod queue;
