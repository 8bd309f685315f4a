//! Dispatches a parsed command line to its command and writes the output.

use std::io::{Read as _, Write as _};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pomelohitch_burn::{Report, minute_of};
use pomelohitch_core::config::Config;
use pomelohitch_core::id::KeyHash;
use pomelohitch_core::status::{NodeStatus, Status};
use pomelohitch_core::{State, key};
use pomelohitch_platform::Log;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::cli::{Cli, Command, Common, KeysCommand};
use crate::entry::{self, AdminClient};
use crate::exit::Exit;
use crate::output::Output;
use crate::progress::Progress;
use crate::report::ReportCommand;
use crate::status::StatusView;
use crate::{check, diff, generate, job, keys, maintain, propose, publish, report, status};

/// A command failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("no log address is given; set --log-url or POMELOHITCH_LOG_URL"))]
    NoLog,
    #[snafu(display("{source}; nothing was changed"))]
    Log { source: pomelohitch_platform::Error },
    #[snafu(display("{source}"))]
    Check { source: check::Error },
    #[snafu(display("{source}"))]
    Diff { source: diff::Error },
    #[snafu(display("{source}"))]
    Publish { source: publish::Error },
    #[snafu(display("read the key from standard input: {source}"))]
    ReadKey { source: std::io::Error },
    #[snafu(display("--hash isn't 64 hexadecimal digits; give the key itself on standard input"))]
    InvalidHash,
    #[snafu(display("the key is empty; give it on standard input, or its hash by --hash"))]
    EmptyKey,
    #[snafu(display("{source}"))]
    Entry { source: entry::Error },
    #[snafu(display("{source}"))]
    Report { source: report::Error },
    #[snafu(display("{source}"))]
    Job { source: job::Error },
    #[snafu(display("{source}"))]
    Generate { source: generate::Error },
}

type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    fn exit(&self) -> Exit {
        match self {
            Error::Job { source } => source.exit(),
            Error::NoLog | Error::EmptyKey | Error::InvalidHash => Exit::Usage,
            Error::Entry { source } => match source {
                entry::Error::NoUrl | entry::Error::NoKey => Exit::Usage,
                entry::Error::Transport { .. } => Exit::Unreachable,
                _ => Exit::Refused,
            },
            Error::Log { .. }
            | Error::Report {
                source: report::Error::Log { .. },
            }
            | Error::Publish {
                source: publish::Error::Log { .. },
            } => Exit::Unreachable,
            _ => Exit::Refused,
        }
    }

    fn output(&self) -> Output {
        let message = self.to_string();
        let json = json!({ "error": message, "exit": self.exit() });
        Output::new(self.exit(), format!("pomelohitch: {message}\n"), &json)
    }
}

/// Runs the command, writes its output and returns the exit code. Errors go to standard error.
#[must_use]
pub fn main(cli: &Cli) -> ExitCode {
    let (output, is_error) = match run(cli) {
        Ok(output) => (output, false),
        Err(error) => (error.output(), true),
    };
    let text = output.render(cli.common.format);
    // Write errors are ignored: the reader of a pipe, such as `head`, may have exited.
    let _ = if is_error {
        std::io::stderr().write_all(text.as_bytes())
    } else {
        std::io::stdout().write_all(text.as_bytes())
    };
    output.exit.into()
}

fn run(cli: &Cli) -> Result<Output> {
    let common = &cli.common;
    match &cli.command {
        Command::Check { tree } => check_tree(common, tree),
        Command::Diff { tree, rebase } => {
            let config = read_config(common)?;
            let outcome = diff::diff(tree, &config, *rebase).context(DiffSnafu)?;
            Ok(diff::show(&outcome))
        }
        Command::Publish { tree, base } => {
            let options = publish::Options {
                base: *base,
                propose: propose_options(common),
            };
            let _progress = Progress::start("publishing: waiting for the log's verdict");
            let outcome = publish::publish(tree, &open_log(common)?, &options);
            Ok(publish::show(&outcome.context(PublishSnafu)?))
        }
        Command::Keys { command } => keys_command(common, command),
        Command::Status => show_status(common),
        Command::Maintain { command } => {
            let _progress = Progress::start("waiting for the log's verdict");
            let outcome = maintain::maintain(&open_log(common)?, command, &propose_options(common));
            Ok(maintain::show(&outcome))
        }
        Command::Report { command } => show_report(common, command),
        Command::Job(args) => {
            let mut buf = Vec::new();
            job::run(args, common.format, &mut buf).context(JobSnafu)?;
            let text = String::from_utf8_lossy(&buf).into_owned();
            let json = serde_json::from_str(&text).unwrap_or_default();
            let exit = Exit::Done;
            Ok(Output { text, json, exit })
        }
        Command::Completions { shell } => Ok(text_output(generate::completions(*shell))),
        Command::Man { dir } => {
            generate::man_pages(dir).context(GenerateSnafu)?;
            Ok(text_output(format!("man pages are in {}\n", dir.display())))
        }
    }
}

/// Asks an entry instance if one is given, else reads the log, which lacks the lag of the entry
/// instance and the time since it heard from its peers.
fn show_status(common: &Common) -> Result<Output> {
    if common.admin_url.is_empty() {
        let fleet = Status::of(&read_state(common)?);
        return Ok(status::show(&StatusView { entry: None, fleet }));
    }
    let response = admin_client(common).get("read status", "/v1/admin/status");
    let NodeStatus { entry, fleet } = response.context(EntrySnafu)?;
    let entry = Some(entry);
    Ok(status::show(&StatusView { entry, fleet }))
}

fn show_report(common: &Common, command: &ReportCommand) -> Result<Output> {
    let log = open_log(common)?;
    let _progress = Progress::start("reading the log");
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    match command {
        ReportCommand::Burn {
            fail_on_burn,
            svg,
            hours,
        } => {
            let config = read_config(common)?;
            let ledger = report::read_ledger(&log).context(ReportSnafu)?;
            let minute = minute_of(now);
            let burn = Report::new(&ledger, config.services.values(), minute);
            if let Some(path) = svg {
                report::write_plot(path, &ledger, &config, minute, *hours).context(ReportSnafu)?;
            }
            Ok(report::show_burn(&burn, *fail_on_burn))
        }
        ReportCommand::Fleet { hours } => {
            let since = now.saturating_sub(Duration::from_secs(hours.saturating_mul(3600)));
            let activity = report::measure_fleet(&log, since).context(ReportSnafu)?;
            Ok(report::show_fleet(&activity))
        }
    }
}

fn text_output(text: String) -> Output {
    let json = json!({ "text": text });
    Output::new(Exit::Done, text, &json)
}

fn check_tree(common: &Common, tree: &Path) -> Result<Output> {
    let config = match common.log_url {
        Some(_) => Some(read_config(common)?),
        None => None,
    };
    let outcome = check::check(tree, config.as_deref()).context(CheckSnafu)?;
    Ok(check::show(&outcome))
}

fn keys_command(common: &Common, command: &KeysCommand) -> Result<Output> {
    match command {
        KeysCommand::New => Ok(keys::show_new(&keys::new())),
        KeysCommand::Withdraw { hash } => {
            let hash = match hash {
                Some(hash) if keys::is_hash(hash) => hash.to_ascii_lowercase().into(),
                Some(_) => return InvalidHashSnafu.fail(),
                None => read_key_hash()?,
            };
            let _progress = Progress::start("withdrawing: waiting for the log's verdict");
            let log = open_log(common)?;
            // The entry instance goes first: the key may have leaked, and the log may be slow or
            // unreachable.
            let has_admin_url = !common.admin_url.is_empty();
            let immediate =
                has_admin_url.then(|| keys::refuse_immediately(&admin_client(common), &hash));
            let withdrawn = keys::withdraw(&log, hash, &propose_options(common));
            Ok(keys::show_withdrawn(&withdrawn, immediate.as_ref()))
        }
    }
}

fn read_key_hash() -> Result<KeyHash> {
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .context(ReadKeySnafu)?;
    match text.trim() {
        "" => EmptyKeySnafu.fail(),
        trimmed => Ok(key::hash(trimmed)),
    }
}

fn open_log(common: &Common) -> Result<Arc<Log>> {
    let url = common.log_url.as_deref().context(NoLogSnafu)?;
    Ok(Arc::new(Log::http(url, common.timeout())))
}

fn read_config(common: &Common) -> Result<Arc<Config>> {
    Ok(read_state(common)?.config)
}

fn read_state(common: &Common) -> Result<State> {
    let _progress = Progress::start("reading the state of the fleet");
    let mut follower = propose::fleet_follower(&open_log(common)?);
    propose::catch_up(&mut follower, &propose_options(common)).context(LogSnafu)?;
    Ok(follower.state().clone())
}

fn admin_client(common: &Common) -> AdminClient {
    AdminClient {
        urls: common.admin_url.clone(),
        key: common.admin_key.clone(),
        timeout: common.timeout(),
    }
}

fn propose_options(common: &Common) -> propose::Options {
    propose::Options {
        limit: common.limit(),
        by: common.by.clone(),
        ..propose::Options::default()
    }
}
