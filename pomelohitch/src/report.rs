//! `pomelohitch report`: service-level burn, and activity of the fleet over a time span.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;
use pomelohitch_burn::report::{Line, Report};
use pomelohitch_burn::span::{Collector, FleetActivity};
use pomelohitch_burn::{BURN_STREAM, Ledger, Minute, Record, plot};
use pomelohitch_core::config::Config;
use pomelohitch_core::id::Timestamp;
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{Record as FleetRecord, State};
use pomelohitch_platform::log::{Read, Stored};
use pomelohitch_platform::{Error as LogError, Log, snapshots};
use snafu::{ResultExt, Snafu};

use crate::exit::Exit;
use crate::output::{Output, table};

/// Reports.
#[derive(Debug, Clone, Subcommand)]
pub enum ReportCommand {
    /// Error budget left and burn rate of every service that has an objective, by team
    Burn {
        /// Exit with 5 if a service burns its error budget too fast
        #[arg(long)]
        fail_on_burn: bool,
        /// Write a plot of the error budget left over time to this file
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
        /// Time span of the plot, in hours
        #[arg(long, default_value_t = 72)]
        hours: u64,
    },
    /// Maintenance waves, moves, idle instances and job time against shares over the last hours
    Fleet {
        /// Time span, in hours
        #[arg(long, default_value_t = 24)]
        hours: u64,
    },
}

/// The report failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log can't be read.
    #[snafu(display("{source}; nothing was changed"))]
    Log {
        /// The error of the log.
        source: LogError,
    },
    /// The plot can't be drawn.
    #[snafu(display("{source}"))]
    Plot {
        /// The error of the plot.
        source: plot::Error,
    },
    /// The plot can't be written.
    #[snafu(display("write {}: {source}; check the path", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Minutes in an hour.
const HOUR: Minute = 60;

/// Reads the counts of all entry instances, as far as the log still keeps them.
///
/// # Errors
/// If the log can't be read.
pub fn read_ledger(log: &Log) -> Result<Ledger> {
    let mut ledger = Ledger::default();
    read_all(log, BURN_STREAM, |data| {
        // A record that does not decode, such as one of a newer version, is skipped; its missing
        // sequence number shows as a gap.
        if let Ok(record) = Record::decode(data) {
            ledger.add(&record);
        }
    })?;
    Ok(ledger)
}

/// Measures the activity of the fleet from the time `since` on.
///
/// If records were trimmed, the span begins at the newest complete snapshot.
///
/// # Errors
/// If the log can't be read.
pub fn measure_fleet(log: &Log, since: Timestamp) -> Result<FleetActivity> {
    let mut state = State::default();
    let mut collector = Collector::default();
    loop {
        let read = Read {
            stream: FLEET_STREAM,
            from: state.next,
            ..Read::default()
        };
        let batch = match (log.read)(&read) {
            Err(error @ LogError::Trimmed { .. }) => {
                state = snapshot_after(log, &state, error)?;
                continue;
            }
            read => read.context(LogSnafu)?,
        };
        for stored in &batch.records {
            apply_record(&mut collector, &mut state, stored, since);
        }
        if batch.records.is_empty() || state.next >= batch.next {
            return Ok(collector.finish());
        }
    }
}

fn snapshot_after(log: &Log, state: &State, trimmed: LogError) -> Result<State> {
    match snapshots::load(log).context(LogSnafu)? {
        Some(newer) if newer.next > state.next => Ok(newer),
        _ => Err(trimmed).context(LogSnafu),
    }
}

fn apply_record(collector: &mut Collector, state: &mut State, stored: &Stored, since: Timestamp) {
    let Ok(record) = FleetRecord::decode(&stored.data) else {
        state.skip(stored.offset);
        return;
    };
    let before = state.clone();
    let _ = state.apply(stored.offset, &record);
    if record.at >= since {
        collector.add(&before, &record, state);
    }
}

/// Calls `on_record` with the data of each record of `stream`, from the oldest that the log still
/// keeps.
fn read_all(log: &Log, stream: &str, mut on_record: impl FnMut(&str)) -> Result<()> {
    let mut from = 0;
    loop {
        let read = Read {
            stream,
            from,
            ..Read::default()
        };
        let batch = match (log.read)(&read) {
            Err(LogError::Trimmed { first, .. }) if first > from => {
                from = first;
                continue;
            }
            other => other.context(LogSnafu)?,
        };
        for stored in &batch.records {
            on_record(&stored.data);
            from = stored.offset + 1;
        }
        if batch.records.is_empty() || from >= batch.next {
            return Ok(());
        }
    }
}

/// Writes a plot of the error budget left over the last `hours` to `path`.
///
/// # Errors
/// If the plot can't be drawn or written.
pub fn write_plot(
    path: &Path,
    ledger: &Ledger,
    config: &Config,
    now: Minute,
    hours: u64,
) -> Result<()> {
    let services = config.services.values();
    let svg = plot::budget_left(ledger, services, now, hours * HOUR).context(PlotSnafu)?;
    std::fs::write(path, svg).context(WriteSnafu { path })
}

/// Renders the burn report; the exit code is 5 if `fail_on_burn` and a service raises an alarm.
#[must_use]
pub fn show_burn(report: &Report, fail_on_burn: bool) -> Output {
    let exit = if fail_on_burn && report.is_burning() {
        Exit::Burning
    } else {
        Exit::Done
    };
    let mut text = if report.lines.is_empty() {
        "no service has an objective; add [service.ID.objective] to its fleet file\n".to_owned()
    } else {
        burn_table(&report.lines)
    };
    for gap in &report.gaps {
        let member = gap.member.as_deref().unwrap_or("every entry instance");
        let (from, to, cause) = (format_minute(gap.from), format_minute(gap.to), gap.cause);
        let _ = writeln!(text, "not counted: {member}, {from} to {to} ({cause:?})");
    }
    Output::new(exit, text, report)
}

fn burn_table(lines: &[Line]) -> String {
    let headings = [
        "SERVICE",
        "TEAM",
        "OBJECTIVE",
        "ANSWERS",
        "BAD",
        "LEFT",
        "5 MIN",
        "30 MIN",
        "1 H",
        "6 H",
        "3 D",
        "ALARM",
    ];
    let rows: Vec<_> = lines.iter().map(burn_row).collect();
    table(&headings, &rows)
}

fn burn_row(line: &Line) -> Vec<String> {
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    let mut row = vec![
        line.service.to_string(),
        line.team.as_deref().unwrap_or("(all)").to_owned(),
        format!("{}%", f64::from(line.good_ppm) / 10_000.0),
        line.answers.total().to_string(),
        line.answers.bad.to_string(),
        line.budget_left.map_or_else(|| "-".to_owned(), percent),
    ];
    row.extend(line.burns.iter().map(|burn| {
        burn.burn
            .map_or_else(|| "-".to_owned(), |burn| format!("{burn:.2}"))
    }));
    row.push(if line.alarm { "BURNING" } else { "" }.to_owned());
    row
}

/// Formats a minute as date and time in UTC.
fn format_minute(minute: Minute) -> String {
    let (days, minute) = (minute / (24 * HOUR), minute % (24 * HOUR));
    let (year, day) = year_of(days);
    let (month, day) = month_of(year, day);
    let (hour, minute) = (minute / HOUR, minute % HOUR);
    format!("{year}-{month:02}-{day:02} {hour:02}:{minute:02} UTC")
}

/// Returns the year of a day since the Unix epoch, and the day of that year from 0.
fn year_of(mut days: u64) -> (u64, u64) {
    let mut year = 1970;
    loop {
        let length = if is_leap(year) { 366 } else { 365 };
        if days < length {
            return (year, days);
        }
        days -= length;
        year += 1;
    }
}

/// Returns the month of day `day` (from 0) of a year and the day of that month, both from 1.
fn month_of(year: u64, mut day: u64) -> (usize, u64) {
    let february = if is_leap(year) { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in lengths {
        if day < length {
            break;
        }
        day -= length;
        month += 1;
    }
    (month, day + 1)
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

/// Renders the activity of the fleet.
#[must_use]
pub fn show_fleet(activity: &FleetActivity) -> Output {
    let span = activity.to_ms.saturating_sub(activity.from_ms);
    let mut text = format!("{}\nmoves  {}\n", span_text(span), activity.moves);
    let rows: Vec<_> = activity.rollouts.iter().map(rollout_row).collect();
    text += &table(&["ROLLED OUT", "TOOK", "LOST"], &rows);
    let buffers = activity.buffer.iter();
    let rows: Vec<_> = buffers
        .map(|(pool, buffer)| vec![pool.to_string(), format!("{:.2}", buffer.instance_hours)])
        .collect();
    text += &table(&["POOL", "BUFFER (INSTANCE HOURS)"], &rows);
    let shares = activity.shares.iter();
    let rows: Vec<_> = shares
        .map(|(team, share)| {
            vec![
                team.to_string(),
                format!("{:.2}", share.job_hours),
                format!("{:.2}", share.owed_hours),
            ]
        })
        .collect();
    text += &table(&["TEAM", "HAD (JOB HOURS)", "OWED BY SHARE"], &rows);
    Output::new(Exit::Done, text, activity)
}

fn span_text(millis: u128) -> String {
    let span = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
    format!("over {:.2} hours of records", span.as_secs_f64() / 3600.0)
}

fn rollout_row(rollout: &pomelohitch_burn::span::Rollout) -> Vec<String> {
    vec![
        rollout.pool.to_string(),
        format!("{} s", rollout.took_ms / 1000),
        rollout.lost.to_string(),
    ]
}
