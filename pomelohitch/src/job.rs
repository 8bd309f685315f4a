//! `pomelohitch job`: submits, lists, shows and cancels batch jobs.
//!
//! The requests go to the callers' port of an entry instance and carry a team's key.

use std::io::Write;
use std::time::Duration;

use clap::{Args, Subcommand};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::exit::Exit;
use crate::output::Format;

/// Maximum number of attempts of a submit or cancel that fails with a retryable error.
const MAX_ATTEMPTS: u32 = 3;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Options and command of `pomelohitch job`.
#[derive(Debug, Clone, Args)]
pub struct JobArgs {
    /// Callers' port of an entry instance, <http://IP:PORT>
    #[arg(long, env = "POMELOHITCH_ENTRY_URL", global = true, default_value = "")]
    pub entry: Box<str>,
    /// The team's key
    #[arg(
        long,
        env = "POMELOHITCH_KEY",
        hide_env_values = true,
        global = true,
        default_value = ""
    )]
    pub key: Box<str>,
    /// The command to run
    #[command(subcommand)]
    pub command: JobCommand,
}

/// Commands for jobs.
#[derive(Debug, Clone, Subcommand)]
pub enum JobCommand {
    /// Submit a job; returns once it is durable
    Submit(Submit),
    /// List the team's jobs, newest first
    List,
    /// Show one job
    Show {
        /// Id of the job
        id: Box<str>,
    },
    /// Cancel a job
    Cancel {
        /// Id of the job
        id: Box<str>,
    },
}

/// A job to submit.
#[derive(Debug, Clone, Args)]
pub struct Submit {
    /// Class of the job; jobs of one class are expected to behave alike
    #[arg(long)]
    pub class: Box<str>,
    /// Processors, in thousandths
    #[arg(long)]
    pub cpu_milli: u64,
    /// Memory, in mebibytes
    #[arg(long)]
    pub memory_mib: u64,
    /// Number of accelerators
    #[arg(long, default_value_t = 0)]
    pub accelerators: u64,
    /// Expected run time, in milliseconds
    #[arg(long)]
    pub run_ms: u64,
    /// Start the job within seconds
    #[arg(long)]
    pub urgent: bool,
    /// The job may safely run more than once
    #[arg(long)]
    pub idempotent: bool,
    /// Spread jobs of this group over availability zones and racks
    #[arg(long)]
    pub group: Option<Box<str>>,
    /// Submits with the same key create one job; random if omitted
    #[arg(long)]
    pub idempotency_key: Option<Box<str>>,
    /// Command that the worker runs
    pub command: Box<str>,
}

/// A job command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A required flag is missing.
    #[snafu(display("{flag} is missing"))]
    Missing {
        /// Name of the flag.
        flag: &'static str,
    },
    /// The entry instance is unreachable, or its response did not arrive in time.
    #[snafu(display("{step} at {entry}: {source}"))]
    Transport {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The HTTP client's error.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The entry instance answers with an error status.
    #[snafu(display("{step} at {entry}: {status} {title} (ran: {ran})"))]
    Refused {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The HTTP status.
        status: u16,
        /// Title of the problem in the response.
        title: Box<str>,
        /// Whether the request took effect: `no` or `unknown`.
        ran: Box<str>,
    },
    /// The JSON of a request or response can't be encoded or decoded.
    #[snafu(display("{step} at {entry}: cannot decode the response: {source}"))]
    Decode {
        /// The operation that failed.
        step: &'static str,
        /// Address of the entry instance.
        entry: Box<str>,
        /// The JSON library's error.
        source: serde_json::Error,
    },
    /// The result can't be written to the output.
    #[snafu(display("print the result: {source}"))]
    Print {
        /// The I/O error.
        source: std::io::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The exit code: [`Exit::Refused`] only if the request certainly had no effect.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Error::Missing { .. } => Exit::Usage,
            Error::Refused { ran, .. } if **ran == *"no" => Exit::Refused,
            _ => Exit::NotKnown,
        }
    }

    fn is_retryable(&self) -> bool {
        match self {
            Error::Transport { .. } => true,
            Error::Refused { status, .. } => matches!(status, 502..=504),
            _ => false,
        }
    }
}

#[derive(Debug, Serialize)]
struct JobRequest<'a> {
    class: &'a str,
    urgency: &'a str,
    cpu_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    run_ms: u64,
    idempotent: bool,
    command: &'a str,
    group: Option<&'a str>,
}

#[derive(Debug, Deserialize)]
struct Job {
    id: Box<str>,
    class: Box<str>,
    urgency: Box<str>,
    state: Box<str>,
    worker: Option<Box<str>>,
    attempts: u32,
    end: Option<JobEnd>,
}

#[derive(Debug, Deserialize)]
struct JobEnd {
    outcome: Box<str>,
    reason: Box<str>,
    ran: Box<str>,
}

#[derive(Debug, Deserialize)]
struct JobList {
    jobs: Vec<Job>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Problem {
    title: Box<str>,
    ran: Option<Box<str>>,
}

/// Runs the command in `args` and prints the result to `out` in `format`.
///
/// # Errors
/// If the command failed; [`Error::exit`] tells a refusal from an unknown outcome.
pub fn run(args: &JobArgs, format: Format, out: &mut impl Write) -> Result<()> {
    let client = EntryClient::new(args)?;
    let body = match &args.command {
        JobCommand::Submit(submit) => client.submit(submit)?,
        JobCommand::List => client.call("list jobs", "GET", "/v1/jobs", None, "")?,
        JobCommand::Show { id } => client.call("show job", "GET", &path_of(id), None, "")?,
        JobCommand::Cancel { id } => {
            client.call_with_retries("cancel job", "DELETE", &path_of(id), None, "")?
        }
    };
    if format == Format::Json {
        return writeln!(out, "{body}").context(PrintSnafu);
    }
    let jobs = if matches!(args.command, JobCommand::List) {
        client.decode::<JobList>(&body)?.jobs
    } else {
        vec![client.decode::<Job>(&body)?]
    };
    print_table(&jobs, out).context(PrintSnafu)
}

fn path_of(id: &str) -> String {
    format!("/v1/jobs/{id}")
}

fn print_table(jobs: &[Job], out: &mut impl Write) -> std::io::Result<()> {
    writeln!(
        out,
        "{:<34}{:<20}{:<10}{:<12}{:<16}{:<9}END",
        "ID", "CLASS", "URGENCY", "STATE", "WORKER", "ATTEMPTS"
    )?;
    for job in jobs {
        let worker = job.worker.as_deref().unwrap_or("-");
        let end = job.end.as_ref().map_or_else(
            || "-".to_owned(),
            |end| format!("{}: {}, ran: {}", end.outcome, end.reason, end.ran),
        );
        writeln!(
            out,
            "{:<34}{:<20}{:<10}{:<12}{:<16}{:<9}{end}",
            job.id, job.class, job.urgency, job.state, worker, job.attempts
        )?;
    }
    Ok(())
}

/// Client of one entry instance, with a team's key.
struct EntryClient {
    agent: ureq::Agent,
    url: Box<str>,
    key: Box<str>,
}

impl EntryClient {
    fn new(args: &JobArgs) -> Result<EntryClient> {
        for (flag, value) in [("--entry", &args.entry), ("--key", &args.key)] {
            if value.is_empty() {
                return MissingSnafu { flag }.fail();
            }
        }
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false);
        Ok(EntryClient {
            agent: config.build().into(),
            url: args.entry.trim_end_matches('/').into(),
            key: args.key.clone(),
        })
    }

    fn submit(&self, submit: &Submit) -> Result<String> {
        let job = JobRequest {
            class: &submit.class,
            urgency: if submit.urgent { "urgent" } else { "patient" },
            cpu_milli: submit.cpu_milli,
            memory_mib: submit.memory_mib,
            accelerators: submit.accelerators,
            run_ms: submit.run_ms,
            idempotent: submit.idempotent,
            command: &submit.command,
            group: submit.group.as_deref(),
        };
        let step = "submit job";
        let body = serde_json::to_string(&job).context(DecodeSnafu {
            step,
            entry: self.url.clone(),
        })?;
        let random = uuid::Uuid::new_v4().to_string();
        let key = submit.idempotency_key.as_deref().unwrap_or(&random);
        self.call_with_retries(step, "POST", "/v1/jobs", Some(key), &body)
    }

    /// Calls, and retries after transport errors and the statuses 502 to 504. Retries are safe: a
    /// submit keeps its idempotency key, and cancelling a cancelled job has no effect.
    fn call_with_retries(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<String> {
        let mut attempts = 1;
        loop {
            match self.call(step, method, path, key, body) {
                Err(error) if error.is_retryable() && attempts < MAX_ATTEMPTS => attempts += 1,
                result => return result,
            }
        }
    }

    fn call(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<String> {
        let entry = &self.url;
        let mut req = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{entry}{path}"))
            .header("Authorization", format!("Bearer {}", self.key))
            .header("Content-Type", "application/json");
        if let Some(key) = key {
            req = req.header("Idempotency-Key", key);
        }
        let req = req.body(body.to_owned()).map_err(ureq::Error::from);
        let response = req.and_then(|req| self.agent.run(req));
        let mut response = response.context(TransportSnafu {
            step,
            entry: entry.clone(),
        })?;
        let text = response.body_mut().read_to_string();
        let text = text.context(TransportSnafu {
            step,
            entry: entry.clone(),
        })?;
        if response.status().is_success() {
            return Ok(text);
        }
        let problem: Problem = serde_json::from_str(&text).unwrap_or_default();
        RefusedSnafu {
            step,
            entry: entry.clone(),
            status: response.status().as_u16(),
            title: problem.title,
            ran: problem.ran.unwrap_or_else(|| "unknown".into()),
        }
        .fail()
    }

    fn decode<T: serde::de::DeserializeOwned>(&self, body: &str) -> Result<T> {
        serde_json::from_str(body).context(DecodeSnafu {
            step: "read answer",
            entry: self.url.clone(),
        })
    }
}
