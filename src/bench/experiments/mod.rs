//! The experiments, one a file. Each starts its own fleet and ends by itself.

mod edits;
mod kill;
mod peak;
mod stop;
mod store_outage;
mod withdraw;

use self::store_outage::Victim;
use crate::bench::{BenchError, FleetBuilder, Options, Report, Stream};

/// Name and purpose of each experiment.
pub const EXPERIMENTS: [(&str, &str); 8] = [
    ("peak", "load near the engines' capacity: goodput and latency targets"),
    ("kill", "gateways are killed and replaced under load"),
    ("store-outage", "the platform is down, then slow, then loses answers"),
    ("store-outage-kill", "a gateway dies while the platform is down"),
    ("store-outage-pause", "a gateway is frozen for longer than its leases while it is down"),
    ("withdraw", "keys are withdrawn while their callers send over open connections"),
    ("stop", "planned stops of all gateways in turn under load"),
    ("edits", "operators edit the document at the same time through different gateways"),
];

/// Runs the named experiment and adds its metrics to a report.
pub async fn run(name: &str, options: &Options) -> Result<Report, BenchError> {
    let mut report = Report::new(name, options.seed, options.is_json);
    match name {
        "peak" => peak::run(options, &mut report).await?,
        "kill" => kill::run(options, &mut report).await?,
        "store-outage" => store_outage::run(options, Victim::None, &mut report).await?,
        "store-outage-kill" => store_outage::run(options, Victim::Killed, &mut report).await?,
        "store-outage-pause" => store_outage::run(options, Victim::Paused, &mut report).await?,
        "withdraw" => withdraw::run(options, &mut report).await?,
        "stop" => stop::run(options, &mut report).await?,
        "edits" => edits::run(options, &mut report).await?,
        _ => return Err(BenchError::UnknownExperiment { name: name.into() }),
    }
    Ok(report)
}

/// A fleet for experiments where size does not matter.
fn small_fleet(options: &Options) -> FleetBuilder {
    FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(5)
        .engines(2, 4)
        .slices(2)
        .plain_services(1)
}

/// Short requests of all organisations, far below the capacity of a small fleet.
fn light_load(options: &Options, requests_per_s: f64) -> Vec<Stream> {
    let organisations = options.deployment.organisations();
    let each_per_s = requests_per_s / organisations.len() as f64;
    let stream = |name: &&'static str| Stream {
        prompt_words: (20, 200),
        max_tokens: (10, 60),
        ..Stream::new(*name, each_per_s)
    };
    organisations.iter().map(stream).collect()
}
