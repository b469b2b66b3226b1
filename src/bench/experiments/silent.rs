//! Experiment `silent`.

use std::time::Duration;

use tokio::time::sleep;

use crate::bench::check::{check_invariants, count_cut_answers};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Fleet, Options, Report, Stream, send_load,
};
use crate::standin::{EngineFaults, PlatformFaults};

const REQUESTS_PER_S: f64 = 4.0;
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Limit of the time without a token: the takeover time that the design allows after the failure of
/// a component.
const RECOVERY_LIMIT_MS: f64 = 5_000.0;

/// Open connections of the engines and the platform stop transferring data under load, while new
/// connections work.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).gateways(3).start().await?;
    let organisations = options.deployment.organisations();
    let streams = [
        Stream::new(organisations[0], REQUESTS_PER_S),
        Stream::new(organisations[1], REQUESTS_PER_S),
    ];
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    // Warms the engines up, because engines that have just started get little work.
    let light = [Stream::new(organisations[0], REQUESTS_PER_S / 2.0)];
    let warm_up = send_load(&caller, &resolver, &light, WARM_UP_TIME, !options.seed).await;
    report.value(PRODUCT, "requests before", warm_up.len() as f64, "requests");
    let load = send_load(&caller, &resolver, &streams, options.load, options.seed);
    let (records, silenced) = tokio::join!(load, silence(&fleet, options.load));
    report.value(PRODUCT, "times silent", f64::from(silenced?), "faults");
    report_recovery(&records, report);
    check_invariants(&fleet, &records, report).await
}

/// Silences the connections of each engine in turn, then of all engines, then of the platform.
/// Returns the number of faults.
async fn silence(fleet: &Fleet, load: Duration) -> Result<u32, BenchError> {
    let engines: Vec<_> = fleet.engines().collect();
    let pause = load.mul_f64(0.8) / (engines.len() as u32 + 2);
    let silent = EngineFaults { silent: true, ..EngineFaults::default() };
    let mut silenced = 0;
    for engine in &engines {
        sleep(pause).await;
        fleet.set_faults(engine, &silent).await?;
        silenced += 1;
    }
    sleep(pause).await;
    for engine in &engines {
        fleet.set_faults(engine, &silent).await?;
        silenced += 1;
    }
    sleep(pause).await;
    let silent = PlatformFaults { silent: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &silent).await?;
    Ok(silenced + 1)
}

fn report_recovery(records: &[CallRecord], report: &mut Report) {
    for record in records.iter().filter(|record| !record.is_complete()).take(5) {
        report.progress(&format!("sent at {} ms: {:?}", record.sent_at_ms, record.ending));
    }
    let incomplete = records.iter().filter(|record| !record.is_complete()).count();
    let longest = records.iter().map(|r| r.longest_gap_ms.max(r.first_token_ms.unwrap_or(0)));
    let longest_ms = longest.max().unwrap_or(0) as f64;
    let none = Bound::AtMost(0.0);
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("not answered", incomplete as f64, "requests", none);
    report.bounded("cut answers", count_cut_answers(records) as f64, "requests", none);
    report.bounded("longest recovery", longest_ms, "ms", Bound::AtMost(RECOVERY_LIMIT_MS));
}
