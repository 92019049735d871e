//! A straight line that is fitted through the figures of all sizes.

/// The least divisor of a relative distance.
const MIN_DIVISOR: f64 = 1e-12;

/// A point that a line is fitted through.
#[derive(Clone, Copy)]
pub struct Point {
    /// The number of nodes.
    pub x: f64,
    /// The figure.
    pub y: f64,
}

/// A straight line through points, by least squares.
pub struct LinearFit {
    /// The height at no nodes.
    pub base: f64,
    /// The height that each node adds.
    pub slope: f64,
    /// The greatest distance of a point from the line, divided by its height.
    pub max_relative_distance: f64,
}

impl LinearFit {
    /// Fits a line; `None` for fewer than two different sizes.
    pub fn through(points: &[Point]) -> Option<LinearFit> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
        if variance.is_nan() || variance <= 0.0 {
            return None;
        }
        let covariance: f64 = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let distance =
            |point: &Point| (point.y - (base + slope * point.x)).abs() / point.y.abs().max(MIN_DIVISOR);
        let max_relative_distance = points.iter().map(distance).fold(0.0, f64::max);
        Some(LinearFit { base, slope, max_relative_distance })
    }
}
