//! Tests of fleet files: parsing, trees, lock files and plans.

mod config {
    mod lock;
    mod parse;
    mod plan;
    mod tree;
}
