//! Draws the SVG plots of reports.

use std::fmt::Display;
use std::ops::Range;
use std::path::Path;

use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;

use crate::report::{Counts, Report};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 420);
/// The least value on logarithmic scales; smaller values are drawn at it.
const MIN_LOGARITHMIC_VALUE: f64 = 1e-3;

/// Why a plot can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("plot: {0}")]
pub struct PlotError(String);

impl PlotError {
    /// Creates an error; line breaks in the reason are replaced by spaces.
    fn new(reason: impl Display) -> Self {
        PlotError(reason.to_string().replace('\n', " "))
    }
}

/// A line of a plot.
pub struct Line {
    /// The label in the legend.
    pub name: &'static str,
    /// The color of the line and its legend entry.
    pub color: RGBColor,
    /// The points of the line as (x, y), the form that `plotters` expects.
    pub points: Vec<(f64, f64)>,
}

/// Draws the number of requests with each outcome per second, over all classes.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_outcomes(report: &Report, path: &Path) -> Result<(), PlotError> {
    let seconds = report.classes.iter().map(|class| class.seconds.len()).max().unwrap_or(0);
    let lines = outcome_lines(report, seconds);
    let points = lines.iter().flat_map(|line| &line.points);
    let highest = points.map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(PlotError::new)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("requests per second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds.max(2) as f64 - 1.0, 0.0..highest * 1.05)
        .map_err(PlotError::new)?;
    chart.configure_mesh().x_desc("s").draw().map_err(PlotError::new)?;
    draw_lines(&mut chart, lines)?;
    area.present().map_err(PlotError::new)
}

fn outcome_lines(report: &Report, seconds: usize) -> Vec<Line> {
    let line = |name, color, count: fn(&Counts) -> u64| {
        let sum = |second: usize| -> u64 {
            report.classes.iter().filter_map(|class| class.seconds.get(second)).map(count).sum()
        };
        let points = (0..seconds).map(|second| (second as f64, sum(second) as f64)).collect();
        Line { name, color, points }
    };
    vec![
        line("requests", BLACK, |counts| counts.requests),
        line("within target", GREEN, |counts| counts.within_target),
        line("late", BLUE, |counts| counts.late),
        line("rejected", MAGENTA, |counts| counts.rejected),
        line("failed", RED, |counts| counts.failed),
    ]
}

/// Draws lines and their legend into a chart.
fn draw_lines<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    lines: Vec<Line>,
) -> Result<(), PlotError>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    for Line { name, color, points } in lines {
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(PlotError::new)?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE).border_style(BLACK);
    labels.draw().map_err(PlotError::new)
}

/// Draws lines over sizes, with both axes logarithmic; values of 0 are drawn at the lower edge.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_growth(
    path: &Path,
    caption: &str,
    size_label: &str,
    mut lines: Vec<Line>,
) -> Result<(), PlotError> {
    for point in lines.iter_mut().flat_map(|line| &mut line.points) {
        point.1 = point.1.max(MIN_LOGARITHMIC_VALUE);
    }
    let horizontal = coordinate_range(&lines, |point| point.0);
    let vertical = coordinate_range(&lines, |point| point.1);
    let (horizontal, vertical) =
        (horizontal.start..horizontal.end * 1.2, vertical.start * 0.8..vertical.end * 1.2);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(PlotError::new)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(horizontal.log_scale(), vertical.log_scale())
        .map_err(PlotError::new)?;
    chart.configure_mesh().x_desc(size_label).draw().map_err(PlotError::new)?;
    draw_lines(&mut chart, lines)?;
    area.present().map_err(PlotError::new)
}

/// Returns the range of one coordinate over all points.
fn coordinate_range(lines: &[Line], coordinate: fn(&(f64, f64)) -> f64) -> Range<f64> {
    let coordinates = || lines.iter().flat_map(|line| &line.points).map(coordinate);
    coordinates().fold(f64::MAX, f64::min)..coordinates().fold(MIN_LOGARITHMIC_VALUE, f64::max)
}
