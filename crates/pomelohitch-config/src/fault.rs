//! A fault of a fleet file: its place, what is wrong and how to fix it.

use std::fmt;

use pomelohitch_core::id::FilePath;
use serde::Serialize;

/// A fault of a fleet file. Faults sort by file, then by line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fault {
    /// Path relative to the root of the tree; `(in force)` if the fault is only in other files.
    pub path: FilePath,
    /// Line number, counted from 1; 0 if the path is `(in force)`.
    pub line: usize,
    /// What is wrong.
    pub what: Box<str>,
    /// How to fix it.
    pub fix: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            path,
            line,
            what,
            fix,
        } = self;
        write!(f, "{path}:{line}: {what}; {fix}")
    }
}

/// Returns the line number, counted from 1, of the byte at `index` of `text`.
#[must_use]
pub fn line_at(text: &str, index: usize) -> usize {
    let before = text.char_indices().take_while(|(at, _)| *at < index);
    1 + before.filter(|(_, c)| *c == '\n').count()
}
