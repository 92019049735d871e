//! Fits a straight line to the values of all sizes by least squares.

/// The least divisor of a relative error, as a value may be 0.
const MIN_DIVISOR: f64 = 1e-12;

/// A value at a number of nodes.
#[derive(Clone, Copy)]
pub struct Point {
    /// The number of nodes.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// A straight line fitted to points by least squares.
pub struct LinearFit {
    /// The value of the line at 0 nodes.
    pub intercept: f64,
    /// What each node adds to the value.
    pub slope: f64,
    /// The greatest vertical distance of a point from the line, divided by the value of the point.
    pub max_relative_error: f64,
}

impl LinearFit {
    /// Fits a line to points; `None` if they have fewer than two different numbers of nodes.
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
        let intercept = mean_y - slope * mean_x;
        let relative_error =
            |point: &Point| (point.y - (intercept + slope * point.x)).abs() / point.y.abs().max(MIN_DIVISOR);
        let max_relative_error = points.iter().map(relative_error).fold(0.0, f64::max);
        Some(LinearFit { intercept, slope, max_relative_error })
    }
}
