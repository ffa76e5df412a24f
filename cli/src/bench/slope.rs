//! Linear regression through measurements at several sizes.

use serde::Serialize;

/// `value = base + per * size`, by least squares.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slope {
    /// Value at size 0.
    pub base: f64,
    /// Increase for each unit of size.
    pub per: f64,
}

/// Fits a line through `(size, value)` pairs.
pub fn fit_line(points: impl IntoIterator<Item = (f64, f64)>) -> Slope {
    let points: Vec<(f64, f64)> = points.into_iter().collect();
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let products = points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value));
    let squares = points.iter().map(|(size, _)| (size - mean_size).powi(2));
    let square_sum: f64 = squares.sum();
    let per = if square_sum == 0.0 { 0.0 } else { products.sum::<f64>() / square_sum };
    Slope { base: mean_value - per * mean_size, per }
}
