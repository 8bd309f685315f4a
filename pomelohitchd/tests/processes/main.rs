//! Failure tests with real processes: entry instances as they run in production, against stand-ins
//! of the platform in the test's own process. Tests wait for conditions, with a generous time
//! limit, and not for fixed times.

mod admin;
mod burn;
mod combined_faults;
mod jobs;
mod limit_split;
mod log;
mod pauses;
mod planner;
mod publish;
mod runners;
mod shutdown;
mod support;
mod waves;
