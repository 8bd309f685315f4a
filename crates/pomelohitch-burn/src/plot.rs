//! The error budget left over time, as SVG.

use plotters::prelude::*;
use pomelohitch_core::Service;
use snafu::Snafu;

use crate::ledger::Ledger;
use crate::report::burn_rate;
use crate::{MINUTE_SECONDS, Minute};

/// The plot can't be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("draw the plot of the error budget: {message}"))]
pub struct Error {
    message: Box<str>,
}

/// The result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (900, 420);
/// Number of points of a line.
const POINTS_PER_LINE: u64 = 300;
/// Size of the area for the labels of an axis, in pixels.
const LABEL_AREA_PX: u32 = 45;
/// Minutes in an hour.
const HOUR: Minute = 60;

/// Draws the share of the error budget that is left, over `span` minutes up to `now`: a line for
/// each of `services` that has an objective.
///
/// # Errors
/// If the plot can't be drawn.
pub fn budget_left<'a>(
    ledger: &Ledger,
    services: impl IntoIterator<Item = &'a Service>,
    now: Minute,
    span: Minute,
) -> Result<String> {
    let mut svg = String::new();
    let lines = lines(ledger, services, now, span);
    draw(&mut svg, &lines, now, span).map_err(|message| Error { message })?;
    Ok(svg)
}

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

fn lines<'a>(
    ledger: &Ledger,
    services: impl IntoIterator<Item = &'a Service>,
    now: Minute,
    span: Minute,
) -> Vec<Line> {
    let with_objective = services.into_iter().filter(|s| s.objective.is_some());
    let lines = with_objective.map(|service| Line {
        name: service.id.to_string(),
        points: points(ledger, service, now, span),
    });
    lines.collect()
}

/// Returns the points of a line: hours relative to `now`, and the share of the budget left. A time
/// whose window has no answers has no point, so that missing counts don't show as a full budget.
fn points(ledger: &Ledger, service: &Service, now: Minute, span: Minute) -> Vec<(f64, f64)> {
    let Some(objective) = &service.objective else {
        return Vec::new();
    };
    let window = objective.window.as_secs() / MINUTE_SECONDS;
    let allowed = f64::from(1_000_000 - objective.good_ppm) / 1_000_000.0;
    let step = (span / POINTS_PER_LINE).max(1);
    let ages = (0..=span / step).map(|i| i * step).rev();
    let points = ages.filter_map(|age| {
        let at = now.checked_sub(age)?;
        let from = (at + 1).saturating_sub(window);
        let used = burn_rate(ledger.tally(&service.id, None, from, at), allowed)?;
        Some((-hours(age), 1.0 - used))
    });
    points.collect()
}

#[expect(clippy::cast_precision_loss, reason = "spans are a few thousand hours")]
fn hours(minutes: Minute) -> f64 {
    minutes as f64 / HOUR as f64
}

fn draw(svg: &mut String, lines: &[Line], now: Minute, span: Minute) -> Result<(), Box<str>> {
    let to_message = |error: DrawingAreaErrorKind<_>| -> Box<str> { error.to_string().into() };
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(to_message)?;
    let lowest = lines.iter().flat_map(|line| &line.points);
    let lowest = lowest.map(|point| point.1).fold(0.0, f64::min);
    let caption = format!("Share of the budget left; minute {now} is 0 h");
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(-hours(span.max(1))..0.0, lowest..1.0)
        .map_err(to_message)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc("budget left")
        .draw()
        .map_err(to_message)?;
    for (i, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour))
            .map_err(to_message)?
            .label(&*line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(to_message)?;
    area.present().map_err(to_message)
}
