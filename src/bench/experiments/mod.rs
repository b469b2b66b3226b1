//! The experiments, one a file. Each starts its own fleet and ends by itself.

mod cancel;
mod crossed;
mod peak;
mod poison;
mod reorder;
mod service_call;
mod silent;

use crate::bench::{BenchError, Options, Report};

/// Name and purpose of each experiment.
pub const EXPERIMENTS: [(&str, &str); 7] = [
    ("peak", "load near the engines' capacity: goodput and latency targets"),
    ("poison", "a prompt that crashes engines, sent again and again"),
    ("poisons", "two prompts that crash engines, one soon after the other"),
    ("silent", "open connections of engines and platform go silent"),
    ("crossed", "engines send events of other attempts, repeat events and cut streams"),
    ("cancel", "callers go away and gateways are killed"),
    ("reorder", "calls that run at most once while every part fails"),
];

/// Runs the named experiment and adds its metrics to a report.
pub async fn run(name: &str, options: &Options) -> Result<Report, BenchError> {
    let mut report = Report::new(name, options.seed, options.is_json);
    match name {
        "peak" => peak::run(options, &mut report).await?,
        "poison" => poison::run(options, &mut report, false).await?,
        "poisons" => poison::run(options, &mut report, true).await?,
        "silent" => silent::run(options, &mut report).await?,
        "crossed" => crossed::run(options, &mut report).await?,
        "cancel" => cancel::run(options, &mut report).await?,
        "reorder" => reorder::run(options, &mut report).await?,
        _ => return Err(BenchError::UnknownExperiment { name: name.into() }),
    }
    Ok(report)
}
