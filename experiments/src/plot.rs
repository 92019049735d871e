//! The answers of each second as a plot.

use std::path::Path;

use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;

use crate::report::{Counts, Report};

pub const SIZE: (u32, u32) = (960, 420);

#[derive(Debug, thiserror::Error)]
#[error("plot: {0}")]
pub struct PlotError(String);

impl PlotError {
    pub fn new(what: &dyn std::fmt::Display) -> Self {
        PlotError(what.to_string().replace('\n', " "))
    }
}

/// Draws what clients were owed and got in each second, all classes together.
pub fn draw(report: &Report, path: &Path) -> Result<(), PlotError> {
    let seconds = report.classes.iter().map(|class| class.seconds.len()).max().unwrap_or(0);
    let sum = |pick: fn(&Counts) -> u64| -> Vec<(f64, f64)> {
        let at = |second: usize| {
            let counts = report.classes.iter().filter_map(|class| class.seconds.get(second));
            (second as f64, counts.map(pick).sum::<u64>() as f64)
        };
        (0..seconds).map(at).collect()
    };
    let lines = [
        ("asked", BLACK, sum(|counts| counts.asked)),
        ("in aim", GREEN, sum(|counts| counts.in_aim)),
        ("late", BLUE, sum(|counts| counts.late)),
        ("refused", MAGENTA, sum(|counts| counts.refused)),
        ("failed", RED, sum(|counts| counts.failed)),
    ];
    let most = lines.iter().flat_map(|(_, _, line)| line).map(|point| point.1).fold(1.0, f64::max);
    let wrong = |e: &dyn std::fmt::Display| PlotError::new(e);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| wrong(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("requests a second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds.max(2) as f64 - 1.0, 0.0..most * 1.05)
        .map_err(|e| wrong(&e))?;
    chart.configure_mesh().x_desc("s").draw().map_err(|e| wrong(&e))?;
    draw_lines(&mut chart, lines.into())?;
    area.present().map_err(|e| wrong(&e))
}

/// A line of a plot: its name, its color and its points.
pub type Line = (&'static str, RGBColor, Vec<(f64, f64)>);

/// Draws lines into a chart, and what they are called beside them.
pub fn draw_lines<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    lines: Vec<Line>,
) -> Result<(), PlotError>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    let wrong = |e: &dyn std::fmt::Display| PlotError::new(e);
    for (name, color, line) in lines {
        chart
            .draw_series(LineSeries::new(line, &color))
            .map_err(|e| wrong(&e))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE).border_style(BLACK);
    labels.draw().map_err(|e| wrong(&e))
}

/// Draws lines over sizes, both on logarithmic scales; what is 0 stands at the lower edge.
pub fn draw_growth(path: &Path, caption: &str, sizes: &str, lines: Vec<Line>) -> Result<(), PlotError> {
    let wrong = |e: &dyn std::fmt::Display| PlotError::new(e);
    let raised = |(name, color, points): Line| -> Line {
        (name, color, points.into_iter().map(|(x, y)| (x, y.max(1e-3))).collect())
    };
    let lines: Vec<Line> = lines.into_iter().map(raised).collect();
    let all: Vec<(f64, f64)> = lines.iter().flat_map(|(.., points)| points.clone()).collect();
    let most = |pick: fn(&(f64, f64)) -> f64| all.iter().map(pick).fold(1e-3, f64::max);
    let least = |pick: fn(&(f64, f64)) -> f64| all.iter().map(pick).fold(f64::MAX, f64::min);
    let (xs, ys) = (least(|p| p.0)..most(|p| p.0) * 1.2, least(|p| p.1) * 0.8..most(|p| p.1) * 1.2);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| wrong(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(xs.log_scale(), ys.log_scale())
        .map_err(|e| wrong(&e))?;
    chart.configure_mesh().x_desc(sizes).draw().map_err(|e| wrong(&e))?;
    draw_lines(&mut chart, lines)?;
    area.present().map_err(|e| wrong(&e))
}
