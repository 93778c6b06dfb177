//! Least-squares line through measured points.

use {serde::Serialize, std::time::Instant};

/// One measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// Least-squares line through measured points.
#[derive(Debug, Clone, Serialize)]
pub struct SlopeRow {
    pub mechanism: &'static str,
    pub unit: &'static str,
    pub per: &'static str,
    pub base: f64,
    pub slope: f64,
    /// Largest deviation of a point from the line, relative to the largest value.
    pub fit_error: f64,
    pub points: Vec<Point>,
}

pub fn fit_line(
    mechanism: &'static str,
    unit: &'static str,
    per: &'static str,
    points: Vec<Point>,
) -> SlopeRow {
    let n = points.len() as f64;
    let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.size), mean(|p| p.value));
    let xy: f64 = points.iter().map(|p| (p.size - x) * (p.value - y)).sum();
    let xx: f64 = points.iter().map(|p| (p.size - x).powi(2)).sum();
    let slope = xy / xx;
    let base = y - slope * x;
    let largest = points.iter().map(|p| p.value.abs()).fold(0.0, f64::max);
    let distance = |p: &Point| (p.value - base - slope * p.size).abs();
    let fit_error =
        points.iter().map(distance).fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
    SlopeRow {
        mechanism,
        unit,
        per,
        base,
        slope,
        fit_error,
        points,
    }
}

/// Median duration of several runs, in microseconds.
pub fn median_micros(
    runs: usize,
    mut work: impl FnMut(),
) -> f64 {
    let mut spans: Vec<f64> = (0..runs)
        .map(|_| {
            let started = Instant::now();
            work();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    spans.sort_by(f64::total_cmp);
    spans[runs / 2]
}
