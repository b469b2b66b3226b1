//! Experiment `cold`.

use std::time::Duration;

use tokio::time::sleep;

use crate::bench::check::{
    BETWEEN_TOKENS_TARGET_MS, check_invariants, count_cut_answers, quantile,
};
use crate::bench::experiments::measurements::{WARM_UP, in_time_share, since, streams_of};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Fleet, FleetBuilder, Gateways, Options,
    Report, send_load_to,
};
use crate::standin::{EngineFaults, EngineStats};

/// The other endpoints stay below 90% of their slots while a sixth of the endpoints are cold.
const REQUESTS_PER_DECODE_PER_S: f64 = 3.5;
/// One in this many decode endpoints turns cold.
const COLD_DIVISOR: usize = 6;
const COLD_MS: u64 = 8_000;
/// The load on a cold endpoint must have fallen within this time.
const DETECTION: Duration = Duration::from_secs(2);
/// Length of the windows before and after the change in which new attempts are counted.
const WINDOW: Duration = Duration::from_secs(3);

/// Makes some decode endpoints several times slower without any announcement.
pub async fn run(options: &Options, report: &mut Report) -> Result<Vec<CallRecord>, BenchError> {
    let fleet = FleetBuilder::new(options.programs.clone(), options.deployment).start().await?;
    let total_per_s = REQUESTS_PER_DECODE_PER_S * fleet.decode.len() as f64;
    let streams = streams_of(options, total_per_s);
    let target =
        Gateways { caller: Caller::default(), resolver: AddressResolver::new(fleet.addresses()) };
    let length = WARM_UP + options.load.max(DETECTION + WINDOW * 2);
    let (records, admitted) =
        tokio::join!(send_load_to(&target, &streams, length, options.seed), turn_cold(&fleet),);
    let (before, after) = admitted?;
    let share = after as f64 / before.max(1) as f64;
    report.value(PRODUCT, "cold endpoints", cold_count(&fleet) as f64, "endpoints");
    report.value(PRODUCT, "new work there before, in 3 s", before as f64, "attempts");
    report.bounded("new work there after 2 s, of before", share, "share", Bound::AtMost(0.5));
    let during = since(&records, WARM_UP + DETECTION);
    let fast: Vec<&CallRecord> = during
        .iter()
        .filter(|r| r.is_complete() && r.mean_gap_ms() <= BETWEEN_TOKENS_TARGET_MS)
        .collect();
    let first = fast.iter().filter_map(|record| record.first_token_ms);
    let first = quantile(first.map(|ms| ms as f64).collect(), 0.95);
    report.bounded("first token p95 of the others", first, "ms", Bound::AtMost(340.0));
    let between = during.iter().filter(|r| r.is_complete()).map(|r| r.mean_gap_ms());
    let between = quantile(between.collect(), 0.95);
    report.bounded("between tokens p95 of all after 2 s", between, "ms", Bound::AtMost(64.0));
    report.value(PRODUCT, "answered within both targets", in_time_share(&during), "share");
    report.bounded(
        "cut answers",
        count_cut_answers(&records) as f64,
        "requests",
        Bound::AtMost(0.0),
    );
    check_invariants(&fleet, &records, report).await?;
    Ok(records)
}

fn cold_count(fleet: &Fleet) -> usize {
    (fleet.decode.len() / COLD_DIVISOR).max(1)
}

/// Turns endpoints cold. Returns the number of attempts that started on them in a window before the
/// change and in a window after the detection time.
async fn turn_cold(fleet: &Fleet) -> Result<(u64, u64), BenchError> {
    sleep(WARM_UP - WINDOW).await;
    let start = started_attempts(fleet).await?;
    sleep(WINDOW).await;
    let before = started_attempts(fleet).await? - start;
    let faults = EngineFaults { cold_ms: COLD_MS, ..EngineFaults::default() };
    for engine in &fleet.decode[..cold_count(fleet)] {
        fleet.set_faults(engine, &faults).await?;
    }
    sleep(DETECTION).await;
    let start = started_attempts(fleet).await?;
    sleep(WINDOW).await;
    Ok((before, started_attempts(fleet).await? - start))
}

/// Counts the attempts that have started on the endpoints that turn cold.
async fn started_attempts(fleet: &Fleet) -> Result<u64, BenchError> {
    let mut started_attempts = 0;
    for engine in &fleet.decode[..cold_count(fleet)] {
        let stats: EngineStats = fleet.stats(engine).await?;
        started_attempts += stats.attempts.values().map(|counts| counts.decodes).sum::<u64>();
    }
    Ok(started_attempts)
}
