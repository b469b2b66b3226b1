//! The experiments, one a file. Each starts its own fleet and ends by itself.

mod cold;
mod flood;
mod halve;
mod measured;
mod peak;
mod slopes;
mod removal;
mod zone;

use crate::bench::plot::plot;
use crate::bench::{BenchError, Options, Report};

/// Name and purpose of each experiment.
pub const EXPERIMENTS: [(&str, &str); 5] = [
    ("peak", "load near the engines' capacity: goodput and latency targets"),
    ("slopes-idle", "cost of an idle instance against the number of instances"),
    ("slopes-document", "memory and CPU against organisations and endpoints, cost of a change"),
    ("slopes-requests", "CPU per request and token, added latency"),
    ("slopes-calls", "table rows per at-most-once call, cost of a draw"),
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
        "slopes-idle" => slopes::idle::run(options, &mut report).await?,
        "slopes-document" => slopes::document::run(options, &mut report).await?,
        "slopes-requests" => slopes::requests::run(options, &mut report).await?,
        "slopes-calls" => slopes::calls::run(options, &mut report).await?,
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
