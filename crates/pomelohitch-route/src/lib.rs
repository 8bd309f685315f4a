//! The request path: admit, queue, pick a runner, send, answer.
//!
//! * [`head`]: parses the head of a caller's request, within size limits.
//! * [`problem`]: error answers made by the entry instance itself.
//! * [`terms`]: deadline, priority and idempotency as the caller states them.
//! * [`headers`]: header fields, and which of them are forwarded.
//! * [`fair`]: weighted fair sharing of capacity.
//! * [`queue`]: bounded, fair queue of waiting requests.
//! * [`pick`]: choice of a runner for a request.
//! * [`budget`]: retry budget.
//! * [`once`]: idempotency keys granted by their home.
//! * [`dispatch`]: combines these, with permits, for one entry instance.
//! * [`send`]: sends one attempt of a request to one runner.
//! * [`suspension`]: for how long this process was suspended.

pub mod budget;
pub mod dispatch;
pub mod fair;
pub mod head;
pub mod headers;
pub mod once;
pub mod pick;
pub mod problem;
pub mod queue;
pub mod send;
pub mod suspension;
pub mod terms;

pub use dispatch::Dispatcher;
pub use head::Head;
pub use problem::{Problem, Ran};
pub use terms::{Priority, Terms};
