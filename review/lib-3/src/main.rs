//! `case NAME RECORD`: plays one case, and writes what was sent, answered and run to RECORD.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`
//! it does the same without the disruption.

mod crowded;
mod deadline;
mod fleet;
mod given_up;
mod http;
mod json;
mod large;
mod leaving;
mod majority;
mod record;
mod runner;
mod same_id;
mod store;
mod suspect;
mod waiting;
mod wide;

use std::process::ExitCode;

use record::Record;

/// Whether the rule held; the text says what was found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::new(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    deadline::start(&record);
    let verdict = match name.as_str() {
        "crowded" => crowded::run(&record, trouble),
        "given-up" => given_up::run(&record, trouble),
        "large" => large::run(&record, trouble),
        "leaving" => leaving::run(&record, trouble),
        "majority" => majority::run(&record, trouble),
        "same-id" => same_id::run(&record, trouble),
        "suspect" => suspect::run(&record, trouble),
        "waiting" => waiting::run(&record, trouble),
        "wide" => wide::run(&record, trouble),
        _ => Err(format!("no case {name}")),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(text) => (2, format!("NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
