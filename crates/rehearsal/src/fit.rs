//! Straight lines through measured points.

use serde::Serialize;

/// A line of least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Growth of the second coordinate with the first.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

impl Line {
    /// The line through points; none for fewer than two distinct first coordinates.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread = |of: fn(&(f64, f64)) -> f64, mean: f64| {
            points.iter().map(|point| (of(point) - mean).powi(2)).sum::<f64>()
        };
        let spread_x = spread(|point| point.0, mean_x);
        let spread_y = spread(|point| point.1, mean_y);
        if spread_x == 0.0 || points.is_empty() {
            return None;
        }
        let common: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = common / spread_x;
        let r_squared = if spread_y == 0.0 { 1.0 } else { slope * common / spread_y };
        Some(Self { slope, intercept: mean_y - slope * mean_x, r_squared })
    }

    /// Value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
