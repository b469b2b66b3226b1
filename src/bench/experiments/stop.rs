//! Experiment `stop`.

use std::time::Duration;

use tokio::time::Instant;

use crate::bench::check::{check_invariants, count_endings, describe_endings};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::retry::{StopFlag, send_with_retries};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Ending, Fleet, Options, Report,
};

/// A planned stop must end within this time.
const STOP_LIMIT_MS: f64 = 15_000.0;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// The load continues after the last stop to show the effects of its handover.
const LOAD_AFTER_STOP: Duration = Duration::from_secs(2);

/// Exit code and duration of a planned stop.
pub(super) struct Stop {
    pub exit_code: Option<i32>,
    pub took_ms: f64,
}

/// Stops and replaces the gateways in turn under load, all of them if there is enough time.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let mut fleet = super::small_fleet(options).start().await?;
    let streams = super::light_load(options, 12.0);
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let stop_flag = StopFlag::default();
    let load =
        send_with_retries(&caller, &resolver, &streams, &stop_flag, Duration::ZERO, options.seed);
    let stops = async {
        let stopped = stop_in_turn(&mut fleet, options.load, report).await;
        tokio::time::sleep(LOAD_AFTER_STOP).await;
        stop_flag.stop();
        stopped
    };
    let (requests, stops) = tokio::join!(load, stops);
    report_stops(&stops?, report);
    let records: Vec<CallRecord> = requests.into_iter().flatten().collect();
    let not_complete = records.iter().filter(|record| !record.is_complete()).count();
    let none = Bound::AtMost(0.0);
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("requests cut or refused", not_complete as f64, "requests", none);
    report.progress(&describe_endings(&count_endings(&records)));
    for record in records.iter().filter(|record| !record.is_complete()).take(5) {
        let Ending::Refused { code, .. } = &record.ending else { continue };
        report.progress(&format!("{code} at {} ms: {}", record.sent_at_ms, record.organisation));
    }
    check_invariants(&fleet, &records, report).await
}

async fn stop_in_turn(
    fleet: &mut Fleet,
    length: Duration,
    report: &Report,
) -> Result<Vec<Stop>, BenchError> {
    let end = Instant::now() + length;
    let mut stops = Vec::new();
    for index in 0..fleet.gateways.len() {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if Instant::now() >= end && !stops.is_empty() {
            break;
        }
        let asked_at = Instant::now();
        fleet.gateways[index].terminate();
        let ended = tokio::time::timeout(STOP_TIMEOUT, fleet.gateways[index].wait()).await;
        let took_ms = asked_at.elapsed().as_millis() as f64;
        let exit_code = ended.ok().flatten();
        report.progress(&format!("gateway-{index} ended with {exit_code:?} after {took_ms} ms"));
        stops.push(Stop { exit_code, took_ms });
        fleet.replace_gateway(index).await?;
    }
    Ok(stops)
}

pub(super) fn report_stops(stops: &[Stop], report: &mut Report) {
    let longest = stops.iter().map(|stop| stop.took_ms).fold(0.0, f64::max);
    let failed = stops.iter().filter(|stop| stop.exit_code != Some(0)).count();
    report.bounded("planned stops", stops.len() as f64, "stops", Bound::AtLeast(1.0));
    report.bounded("stops with another exit code", failed as f64, "stops", Bound::AtMost(0.0));
    report.bounded("longest stop", longest, "ms", Bound::AtMost(STOP_LIMIT_MS));
}
