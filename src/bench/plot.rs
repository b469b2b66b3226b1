//! Plots of an experiment's records.

use std::path::Path;

use plotters::prelude::*;

use crate::bench::timeline::by_second;
use crate::bench::{BenchError, CallRecord};

const SIZE: (u32, u32) = (900, 600);

/// Writes an SVG file with goodput and first-token p95 over time.
pub fn plot(path: &Path, title: &str, records: &[CallRecord]) -> Result<(), BenchError> {
    let seconds = by_second(records);
    let goodput: Vec<f64> = seconds.iter().map(|second| second.goodput_tokens as f64).collect();
    let first: Vec<f64> = seconds.iter().map(|second| second.first_token_p95_ms).collect();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    draw(&upper, &format!("{title}: tokens/s within both targets"), &goodput)?;
    draw(&lower, &format!("{title}: first token p95, ms"), &first)?;
    area.present().map_err(plot_error)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    values: &[f64],
) -> Result<(), BenchError> {
    let max_value = values.iter().copied().fold(1.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(25)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..values.len() as f64, 0.0..max_value)
        .map_err(plot_error)?;
    chart.configure_mesh().x_desc("s").draw().map_err(plot_error)?;
    let points = values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value));
    chart.draw_series(LineSeries::new(points, &BLUE)).map_err(plot_error)?;
    Ok(())
}

fn plot_error(error: impl std::fmt::Display) -> BenchError {
    BenchError::Plot { reason: error.to_string() }
}
