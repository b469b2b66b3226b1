//! The experiments, one a file. Each starts its own fleet and ends by itself.

mod cold;
mod flood;
mod halve;
mod measured;
mod peak;
mod removal;
mod zone;

use crate::bench::plot::plot;
use crate::bench::{BenchError, Options, Report};

/// Name and purpose of each experiment.
pub const EXPERIMENTS: [(&str, &str); 5] = [
    ("peak", "load near the engines' capacity: goodput and latency targets"),
    ("flood", "one organisation sends five times its rate"),
    ("zone", "an availability zone leaves under load and returns"),
    ("halve", "half of the endpoints leave under load and return"),
    ("cold", "decode endpoints turn cold without notice"),
];

/// Runs the named experiment and adds its metrics to a report.
pub async fn run(name: &str, options: &Options) -> Result<Report, BenchError> {
    let mut report = Report::new(name, options.seed, options.is_json);
    let records = match name {
        "peak" => peak::run(options, &mut report).await?,
        "flood" => flood::run(options, &mut report).await?,
        "zone" => zone::run(options, &mut report).await?,
        "halve" => halve::run(options, &mut report).await?,
        "cold" => cold::run(options, &mut report).await?,
        _ => return Err(BenchError::UnknownExperiment { name: name.into() }),
    };
    if let Some(path) = &options.plot {
        plot(path, name, &records)?;
    }
    Ok(report)
}
