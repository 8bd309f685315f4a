//! Fleet files: parsing, validation and comparison with the configuration in force.
//!
//! A fleet file is a short TOML file named [`FILE_NAME`] beside a service's code. All fleet files
//! below a directory (a tree) are published in one step. This crate makes no network requests.
//!
//! * [`spec`]: the definition of every section and field, with unit, range and default.
//! * [`parse`]: parses one file into checked values, or reports all of its faults.
//! * [`tree`]: loads all files below a directory and checks the rules that span files.
//! * [`lock`]: the lock file, which records the versions that the files in a checkout are based on.
//! * [`plan`]: computes the changes that publishing a tree would make.
//! * [`fault`]: a fault with its place and its fix.

pub mod fault;
pub mod lock;
pub mod parse;
pub mod plan;
pub mod spec;
pub mod tree;

pub use fault::Fault;
pub use lock::Lock;
pub use plan::{Change, ChangeKind, Plan};
pub use tree::Tree;

/// File name of every fleet file.
pub const FILE_NAME: &str = "pomelohitch.toml";
/// File name of the lock file at the root of a tree.
pub const LOCK_NAME: &str = "pomelohitch.lock";
