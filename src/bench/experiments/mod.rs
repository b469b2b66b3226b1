//! The experiments, one a file. Each starts its own fleet and ends by itself.

mod peak;

use crate::bench::{BenchError, Options, Report};

/// Name and purpose of each experiment.
pub const EXPERIMENTS: [(&str, &str); 1] =
    [("peak", "load near the engines' capacity: goodput and latency targets")];

/// Runs the named experiment and adds its metrics to a report.
pub async fn run(name: &str, options: &Options) -> Result<Report, BenchError> {
    let mut report = Report::new(name, options.seed, options.is_json);
    match name {
        "peak" => peak::run(options, &mut report).await?,
        _ => return Err(BenchError::UnknownExperiment { name: name.into() }),
    }
    Ok(report)
}
