//! Runs one case of the review: `review-2 CASE PROGRAM TEMP RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`
//! in its environment it leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod json;
mod runner;
mod store;
mod world;

use std::process::ExitCode;

use fleet::Paths;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, temp, record] = &args[..] else {
        eprintln!("usage: review-2 CASE PROGRAM TEMP RECORD");
        return ExitCode::from(2);
    };
    let paths = Paths {
        program: program.into(),
        temp: temp.into(),
        record: record.into(),
    };
    if fleet::prepare(&paths.temp).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match case.as_str() {
        "late-start-after-restart" => cases::late_start_after_restart,
        "removed-route" => cases::removed_route,
        "given-up-then-cancelled" => cases::given_up_then_cancelled,
        "late-behind-hopeless" => cases::late_behind_hopeless,
        "advice-after-burst" => cases::advice_after_burst,
        _ => return ExitCode::from(2),
    };
    let verdict = run(&paths, trouble);
    println!("{case}, trouble {trouble}: {verdict:?} (Some(true): the rule was broken)");
    match verdict {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
