//! Batch jobs from the log through the planner to the workers, against stand-ins.

mod cancels;
mod drains;
mod faults;
mod leases;
mod path;
mod planners;
mod support;
