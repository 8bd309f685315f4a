//! Tests of the request path: decisions without sockets or clocks, and one attempt at a runner.

#![allow(clippy::unwrap_used, reason = "a panic is how a test fails")]

mod dispatch;
mod head;
mod once;
mod pick;
mod queue;
mod send;
