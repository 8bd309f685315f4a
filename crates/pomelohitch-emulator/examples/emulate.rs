//! Plays loads in virtual time, and compares policies on the same seeds.
//!
//! `cargo run --release -p pomelohitch-emulator --example emulate -- compare LOAD --before
//! deferral`

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, IntoDrawingArea, IntoLinspace, PathElement, SVGBackend,
    WHITE,
};
use pomelohitch_emulator::compare::{self, Difference};
use pomelohitch_emulator::load::{self, Load};
use pomelohitch_emulator::play::Outcome;
use pomelohitch_emulator::policies;
use pomelohitch_sched::Settings;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Snafu};

/// Plays loads in virtual time, and compares policies on the same seeds.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// Number of seeds.
    #[arg(long, global = true, default_value_t = 20)]
    seeds: u64,
    /// The first seed.
    #[arg(long, global = true, default_value_t = 1)]
    from: u64,
    /// Output format of results.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays loads with one policy.
    Run {
        /// Load files.
        #[arg(required = true)]
        loads: Vec<PathBuf>,
        /// Mechanisms to switch off and parameters to set (NAME=NUMBER), separated by commas.
        #[arg(long, default_value = "shipped")]
        without: String,
    },
    /// Compares two policies.
    Compare {
        /// Load files.
        #[arg(required = true)]
        loads: Vec<PathBuf>,
        /// Mechanisms switched off and parameters set in the first policy.
        #[arg(long)]
        before: String,
        /// Mechanisms switched off and parameters set in the second policy.
        #[arg(long, default_value = "shipped")]
        after: String,
    },
    /// Compares the default policy with one without each mechanism in turn.
    Ablate {
        /// Load files.
        #[arg(required = true)]
        loads: Vec<PathBuf>,
        /// Writes a chart of the worth of each mechanism with its confidence interval.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Csv,
    Json,
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Load { source: load::Error },
    #[snafu(display("unknown name or malformed number in {changes:?}; known mechanisms: {known}"))]
    Policy { changes: String, known: String },
    #[snafu(display("draw {}: {reason}", path.display()))]
    Draw { path: PathBuf, reason: String },
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// One row of the results.
#[derive(Debug, Serialize)]
struct Row<'a> {
    load: &'a str,
    /// The policy or policies, or the mechanism that is switched off in the first one.
    what: &'a str,
    #[serde(flatten)]
    difference: Difference,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violating_plays) => {
            eprintln!("{violating_plays} plays violated an invariant");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Returns the number of plays with violated invariants.
fn run(args: &Args) -> Result<usize> {
    let seeds: Vec<u64> = (args.from..args.from + args.seeds).collect();
    let mut violating_plays = 0;
    let mut play = |load: &Load, changes: &str| -> Result<Vec<Outcome>> {
        let outcomes = compare::play_all(load, &settings(changes)?, &seeds);
        for outcome in outcomes.iter().filter(|o| !o.violations.is_empty()) {
            violating_plays += 1;
            eprintln!(
                "violated invariants: {:?}",
                outcome.violations.iter().take(3).collect::<Vec<_>>()
            );
        }
        Ok(outcomes)
    };
    match &args.command {
        Command::Run { loads, without } => {
            for path in loads {
                let outcomes = play(&read(path)?, without)?;
                let differences = compare::differences(&outcomes, &outcomes);
                print_rows(args.format, &name(path), without, &differences);
            }
        }
        Command::Compare {
            loads,
            before,
            after,
        } => {
            for path in loads {
                let load = read(path)?;
                let (first, second) = (play(&load, before)?, play(&load, after)?);
                let differences = compare::differences(&first, &second);
                print_rows(
                    args.format,
                    &name(path),
                    &format!("{before} to {after}"),
                    &differences,
                );
            }
        }
        Command::Ablate { loads, svg } => {
            let mut entries = Vec::new();
            let bar = progress_bar(loads.len() * (policies::SWITCHES.len() + 1));
            for path in loads {
                let load = read(path)?;
                let shipped = play(&load, "shipped")?;
                bar.inc(1);
                for (switch, _) in policies::SWITCHES {
                    let without = play(&load, switch)?;
                    bar.inc(1);
                    let differences = compare::differences(&without, &shipped);
                    print_rows(args.format, &name(path), switch, &differences);
                    entries.push((format!("{} {switch}", name(path)), differences[0]));
                }
            }
            bar.finish_and_clear();
            if let Some(path) = svg {
                draw(path, &entries)?;
            }
        }
    }
    Ok(violating_plays)
}

fn settings(changes: &str) -> Result<Settings> {
    let policy = policies::parse(changes).with_context(|| PolicySnafu {
        changes,
        known: policies::SWITCHES.map(|(name, _)| name).join(", "),
    })?;
    Ok(Settings {
        policy,
        ..Settings::default()
    })
}

fn read(path: &Path) -> Result<Load> {
    load::read(path).context(LoadSnafu)
}

fn name(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

fn progress_bar(steps: usize) -> ProgressBar {
    let bar = ProgressBar::new(u64::try_from(steps).unwrap_or(u64::MAX));
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {eta}");
    style.map_or_else(|_| bar.clone(), |style| bar.clone().with_style(style))
}

fn print_rows(format: Format, load: &str, what: &str, differences: &[Difference]) {
    for difference in differences {
        let row = Row {
            load,
            what,
            difference: *difference,
        };
        let Difference {
            figure,
            before,
            after,
            difference: delta,
            interval,
        } = row.difference;
        match format {
            Format::Text => {
                let mark = if row.difference.is_significant() {
                    "*"
                } else {
                    " "
                };
                println!(
                    "{load:14} {what:24} {figure:16} {before:9.3} {after:9.3}  {delta:+.4} +- {interval:.4} {mark}"
                );
            }
            Format::Csv => println!("{load},{what},{figure},{before},{after},{delta},{interval}"),
            Format::Json => match serde_json::to_string(&row) {
                Ok(line) => println!("{line}"),
                Err(error) => eprintln!("serialize row: {error}"),
            },
        }
    }
}

/// Writes an SVG chart of differences with their confidence intervals, one per row.
fn draw(path: &Path, entries: &[(String, Difference)]) -> Result<()> {
    const WIDTH_PX: u32 = 900;
    const ROW_HEIGHT_PX: u32 = 18;
    const MARGIN_PX: u32 = 60;
    let rows = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    let failed = |reason: String| Error::Draw {
        path: path.to_path_buf(),
        reason,
    };
    let extent = |(_, d): &(String, Difference)| d.difference.abs() + d.interval;
    let widest = entries
        .iter()
        .map(extent)
        .filter(|r| r.is_finite())
        .fold(0.01, f64::max);
    let area =
        SVGBackend::new(path, (WIDTH_PX, rows * ROW_HEIGHT_PX + 2 * MARGIN_PX)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
    let row_range = (0.0..f64::from(rows)).step(1.0);
    let mut chart = ChartBuilder::on(&area)
        .caption("worth of each mechanism", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(220)
        .build_cartesian_2d(-widest..widest, row_range)
        .map_err(|e| failed(e.to_string()))?;
    let label = |row: &f64| {
        let at = entries
            .iter()
            .enumerate()
            .find(|(index, _)| (row_position(*index) - row).abs() < 0.5);
        at.map_or_else(String::new, |(_, (name, _))| name.clone())
    };
    chart
        .configure_mesh()
        .y_labels(entries.len())
        .y_label_formatter(&label)
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    for (index, (_, d)) in entries.iter().enumerate() {
        let row = row_position(index);
        let interval = if d.interval.is_finite() {
            d.interval
        } else {
            0.0
        };
        let line = PathElement::new(
            [
                (d.difference - interval, row),
                (d.difference + interval, row),
            ],
            BLACK,
        );
        chart
            .draw_series([line])
            .map_err(|e| failed(e.to_string()))?;
        let point = Circle::new((d.difference, row), 3, BLACK.filled());
        chart
            .draw_series([point])
            .map_err(|e| failed(e.to_string()))?;
    }
    area.present().map_err(|e| failed(e.to_string()))
}

fn row_position(index: usize) -> f64 {
    f64::from(u32::try_from(index).unwrap_or(u32::MAX))
}
