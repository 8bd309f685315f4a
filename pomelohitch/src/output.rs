//! The result of a command, rendered as text or JSON.

use std::fmt::Write as _;

use clap::ValueEnum;
use serde::Serialize;
use serde_json::Value;

use crate::exit::Exit;

/// Output format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text and tables.
    #[default]
    Table,
    /// One JSON document.
    Json,
}

/// The result of a command in both formats, and its exit code.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    /// The result as text; it ends with a newline.
    pub text: String,
    /// The result as JSON.
    pub json: Value,
    /// The exit code.
    pub exit: Exit,
}

impl Output {
    /// Creates an output whose `json` is the serialization of `value`.
    ///
    /// # Panics
    /// If `value` does not serialize to JSON; results have string keys and no type whose
    /// serialization fails.
    #[must_use]
    pub fn new(exit: Exit, text: String, value: &impl Serialize) -> Output {
        let json = serde_json::to_value(value)
            .expect("results have string keys and no type whose serialization fails");
        Output { text, json, exit }
    }

    /// Renders the result in `format`, with a newline at the end.
    ///
    /// # Panics
    /// Never: a JSON value always serializes.
    #[must_use]
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Table => self.text.clone(),
            Format::Json => {
                let text = serde_json::to_string_pretty(&self.json)
                    .expect("a JSON value always serializes");
                text + "\n"
            }
        }
    }
}

/// Renders `rows` below `headings`, each column as wide as its widest cell.
#[must_use]
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = headings.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let headings: Vec<_> = headings.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&headings).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let width = *width;
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
