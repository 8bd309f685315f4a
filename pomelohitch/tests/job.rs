//! `pomelohitch job` against a stand-in for an entry instance.

use std::sync::{Arc, Mutex};

use clap::Parser;
use pomelohitch::Exit;
use pomelohitch::job::{self, JobArgs};
use pomelohitch::output::Format;
use pomelohitch_standin::server::{Answer, Options, Request, Server};
use serde_json::json;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: JobArgs,
}

/// Starts an entry instance that answers with `answer`, and records the idempotency key of each
/// request (`-` without one). `answer` gets the number of requests so far, from 1.
fn entry(
    answer: impl Fn(&Request, usize) -> Answer + Send + Sync + 'static,
) -> (Server, Arc<Mutex<Vec<String>>>) {
    let keys = Arc::new(Mutex::new(Vec::new()));
    let recorded = keys.clone();
    let handler = move |req: &Request| {
        let mut recorded = recorded
            .lock()
            .expect("no test panics while it holds the keys");
        recorded.push(req.header("idempotency-key").unwrap_or("-").to_owned());
        answer(req, recorded.len())
    };
    let server = Server::start(&Options::default(), Box::new(handler));
    (server, keys)
}

fn run(server: &Server, args: &[&str]) -> (job::Result<()>, String) {
    let url = server.url();
    let fixed = ["job", "--entry", &url, "--key", "k"];
    let args = Cli::parse_from(fixed.iter().chain(args)).args;
    let mut out = Vec::new();
    let result = job::run(&args, Format::Table, &mut out);
    (result, String::from_utf8(out).expect("the output is UTF-8"))
}

fn view(state: &str) -> serde_json::Value {
    let end = json!({"outcome": "cancelled", "reason": "cancelled-by-team", "ran": "no"});
    json!({
        "id": "0123456789abcdef0123456789abcdef",
        "class": "settle",
        "urgency": "patient",
        "state": state,
        "worker": null,
        "attempts": 0,
        "end": if state == "ended" { end } else { json!(null) },
        "submitted": 7,
    })
}

const SUBMIT: [&str; 8] = [
    "submit",
    "--class=settle",
    "--cpu-milli=1000",
    "--memory-mib=512",
    "--run-ms=1000",
    "--idempotent",
    "--urgent",
    "pay",
];

/// The response to a submit is lost. The command retries with the same idempotency key, so that
/// only one job is created and the caller gets its id.
#[test]
fn a_submit_whose_response_is_lost_is_repeated_with_the_same_key() {
    let (server, keys) = entry(|_, count| {
        if count == 1 {
            Answer::Close
        } else {
            Answer::json(200, &view("waiting"))
        }
    });
    let (result, out) = run(&server, &SUBMIT);
    result.expect("the second attempt is answered");
    assert!(out.contains("0123456789abcdef"));
    let keys = keys
        .lock()
        .expect("no test panics while it holds the keys")
        .clone();
    assert_eq!(keys.len(), 2);
    assert_eq!(keys[0], keys[1]);
}

/// A script that takes an unknown outcome for a refusal submits the job twice; one that takes a
/// refusal for an unknown outcome may not submit it at all.
#[test]
fn exit_codes_distinguish_refused_from_unknown() {
    let refuse = |ran: &'static str, status| {
        move |_: &Request, _| Answer::json(status, &json!({"title": "no", "ran": ran}))
    };
    let code = |(result, _): (job::Result<()>, String)| result.expect_err("refused").exit();
    let (refusing, _) = entry(refuse("no", 422));
    assert_eq!(code(run(&refusing, &SUBMIT)), Exit::Refused);
    let (uncertain, _) = entry(refuse("unknown", 504));
    assert_eq!(code(run(&uncertain, &SUBMIT)), Exit::NotKnown);
}

#[test]
fn jobs_are_listed_as_a_table() {
    let (server, _) = entry(|_, _| {
        Answer::json(
            200,
            &json!({"jobs": [view("waiting"), view("ended")], "more": false}),
        )
    });
    let (result, out) = run(&server, &["list"]);
    result.expect("the entry instance answers with status 200");
    insta::assert_snapshot!(out);
}
