//! The experiments, one per file. Each starts its own fleet and stops it at the end.

mod cancel;
mod charges;
mod cold;
mod crossed;
mod edits;
mod flood;
mod halve;
mod holders;
mod kill;
mod measurements;
mod partition;
mod peak;
mod poison;
mod regions;
mod removal;
mod reorder;
mod repeat;
mod roles;
mod scale;
mod service_call;
mod silent;
mod slopes;
mod stop;
mod store_outage;
mod withdraw;
mod zone;

use self::partition::PartitionKind;
use self::repeat::KilledGateways;
use self::store_outage::Victim;
use crate::bench::plot::plot;
use crate::bench::{BenchError, CallRecord, FleetBuilder, Options, Report, Stream};
use crate::usage_error::UsageError;

/// Name and purpose of each experiment.
pub const EXPERIMENTS: &[(&str, &str)] = &[
    ("peak", "load near the engines' capacity: goodput and latency targets"),
    ("flood", "one organisation sends five times its rate"),
    (
        "charges",
        "one organisation floods with long prompts, charged by requests, tokens and engine time",
    ),
    ("zone", "an availability zone is taken out under load and returns"),
    ("halve", "half of the endpoints are drained under load and return"),
    ("cold", "decode endpoints become slow without notice"),
    ("kill", "gateways are killed and replaced under load"),
    ("store-outage", "the platform is down, then slow, then loses answers"),
    ("store-outage-kill", "a gateway dies while the platform is down"),
    ("store-outage-pause", "a gateway is suspended for longer than its leases in the outage"),
    ("partition", "two of five gateways are cut off from the others and from the platform"),
    ("partition-peers", "two of five gateways are cut off from the others"),
    ("partition-platform", "one gateway is cut off from the platform"),
    ("regions", "one of three regions is cut off from the others"),
    ("regions-platform", "one of three regions is cut off from the others and from the platform"),
    ("withdraw", "keys are revoked while their callers send over open connections"),
    ("repeat", "requests are sent again while the holder of their ids dies"),
    ("repeat-both", "requests are sent again while the holder and an answering instance die"),
    ("stop", "planned stops of all gateways in turn under load"),
    ("scale", "half of the gateways stop at once and are restored, then the other half"),
    ("edits", "operators edit the document at the same time through different gateways"),
    ("poison", "a prompt that crashes engines is sent repeatedly"),
    ("poisons", "two prompts that crash engines are sent in close succession"),
    ("silent", "open connections of engines and platform stop transferring data"),
    ("crossed", "engines send events of other attempts, duplicate events and cut streams"),
    ("cancel", "callers cancel requests and gateways are killed"),
    ("reorder", "at-most-once calls while gateways, services and platform fail"),
    ("roles", "roles are changed and a model is loaded on all engines while an owner is killed"),
    ("slopes-idle", "cost of an idle instance against the number of instances"),
    ("slopes-document", "memory and CPU against organisations and endpoints, cost of a change"),
    ("slopes-requests", "CPU per request and token, added latency"),
    ("slopes-calls", "table rows per at-most-once call, cost of a draw"),
];

/// Runs the named experiment and adds its metrics to a report.
pub async fn run(name: &str, options: &Options) -> Result<Report, BenchError> {
    let mut report = Report::new(name, options.seed, options.is_json);
    let records = run_named(name, options, &mut report).await?;
    if let Some(path) = &options.plot {
        plot(path, name, &records)?;
    }
    Ok(report)
}

/// Runs the named experiment. Returns the records for the plot, or none if it has no plot.
async fn run_named(
    name: &str,
    options: &Options,
    report: &mut Report,
) -> Result<Vec<CallRecord>, BenchError> {
    match name {
        "peak" => return peak::run(options, report).await,
        "flood" => return flood::run(options, report).await,
        "zone" => return zone::run(options, report).await,
        "halve" => return halve::run(options, report).await,
        "cold" => return cold::run(options, report).await,
        "charges" => charges::run(options, report).await?,
        "kill" => kill::run(options, report).await?,
        "store-outage" => store_outage::run(options, Victim::None, report).await?,
        "store-outage-kill" => store_outage::run(options, Victim::Killed, report).await?,
        "store-outage-pause" => store_outage::run(options, Victim::Paused, report).await?,
        "partition" => partition::run(options, PartitionKind::Minority, report).await?,
        "partition-peers" => partition::run(options, PartitionKind::Peers, report).await?,
        "partition-platform" => partition::run(options, PartitionKind::Platform, report).await?,
        "regions" => regions::run(options, false, report).await?,
        "regions-platform" => regions::run(options, true, report).await?,
        "withdraw" => withdraw::run(options, report).await?,
        "repeat" => repeat::run(options, KilledGateways::Holder, report).await?,
        "repeat-both" => repeat::run(options, KilledGateways::HolderAndAnswerer, report).await?,
        "stop" => stop::run(options, report).await?,
        "scale" => scale::run(options, report).await?,
        "edits" => edits::run(options, report).await?,
        "poison" => poison::run(options, report, false).await?,
        "poisons" => poison::run(options, report, true).await?,
        "silent" => silent::run(options, report).await?,
        "crossed" => crossed::run(options, report).await?,
        "cancel" => cancel::run(options, report).await?,
        "reorder" => reorder::run(options, report).await?,
        "roles" => roles::run(options, report).await?,
        "slopes-idle" => slopes::idle::run(options, report).await?,
        "slopes-document" => slopes::document::run(options, report).await?,
        "slopes-requests" => slopes::requests::run(options, report).await?,
        "slopes-calls" => slopes::calls::run(options, report).await?,
        _ => return Err(UsageError::UnknownExperiment { name: name.into() }.into()),
    }
    Ok(Vec::new())
}

/// Returns the builder of a fleet for experiments that don't depend on its size.
fn small_fleet(options: &Options) -> FleetBuilder {
    FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(5)
        .engines(2, 4)
        .slices(2)
        .plain_services(1)
}

/// Returns a load of short requests of all organisations, far below the capacity of a small fleet.
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
