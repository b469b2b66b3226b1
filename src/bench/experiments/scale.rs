//! Experiment `scale`.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::Instant;

use super::stop::{Stop, report_stops};
use crate::bench::check::{check_invariants, count_endings, describe_endings, quantile};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::retry::{StopFlag, send_with_retries};
use crate::bench::{AddressResolver, BenchError, CallRecord, Caller, Fleet, Options, Report};

const GATEWAYS: usize = 8;
/// Rate and burst of each organisation. The load uses about half of the rate, so that a bucket that
/// is empty after a handover shows up as refused requests.
const RATE: (u64, u64) = (2_500, 10_000);
const FIRST_TOKEN_TARGET_MS: f64 = 340.0;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Shards move to new instances in this time: these are preferred as owners after 5 s.
const SETTLE: Duration = Duration::from_secs(7);
/// Excluded from the latencies, since engines start cold and first tokens are late regardless of
/// the gateways.
const WARM_UP: Duration = Duration::from_secs(4);
const SHOWN_FAILURES: usize = 8;

/// Stops half of the gateways at once under load and replaces them, then the other half.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let organisations = options.deployment.organisations().len();
    let builder = super::small_fleet(options).gateways(GATEWAYS);
    let mut fleet = builder.rates(vec![RATE; organisations]).start().await?;
    let streams = super::light_load(options, 12.0);
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let stop_flag = StopFlag::default();
    let load =
        send_with_retries(&caller, &resolver, &streams, &stop_flag, Duration::ZERO, options.seed);
    let halves = async {
        let stopped = replace_halves(&mut fleet, &caller, options.load, report).await;
        stop_flag.stop();
        stopped
    };
    let (requests, stops) = tokio::join!(load, halves);
    report_stops(&stops?, report);
    let records: Vec<CallRecord> = requests.into_iter().flatten().collect();
    report_callers(&records, report);
    report_first_tokens(&records, report);
    check_invariants(&fleet, &records, report).await
}

/// Stops one half of the gateways and starts new ones, then does the same with the other half.
async fn replace_halves(
    fleet: &mut Fleet,
    caller: &Caller,
    length: Duration,
    report: &Report,
) -> Result<Vec<Stop>, BenchError> {
    let pause = length / 4;
    let mut stops = Vec::new();
    tokio::time::sleep(WARM_UP).await;
    for parity in [1, 0] {
        tokio::time::sleep(pause).await;
        let half: Vec<usize> = (0..GATEWAYS).filter(|index| index % 2 == parity).collect();
        report.progress(&format!(
            "{} ms: {} gateways asked to stop",
            caller.elapsed_ms(),
            half.len()
        ));
        stops.extend(stop_together(fleet, &half).await);
        report.progress(&format!("{} ms: stopped", caller.elapsed_ms()));
        tokio::time::sleep(pause).await;
        for index in half {
            fleet.replace_gateway(index).await?;
        }
        report.progress(&format!("{} ms: restored", caller.elapsed_ms()));
        tokio::time::sleep(SETTLE).await;
    }
    Ok(stops)
}

async fn stop_together(fleet: &mut Fleet, half: &[usize]) -> Vec<Stop> {
    let asked_at = Instant::now();
    for index in half {
        fleet.gateways[*index].terminate();
    }
    let leaving = fleet.gateways.iter_mut().enumerate().filter(|(index, _)| half.contains(index));
    let waits = leaving.map(|(_, gateway)| async move {
        let ended = tokio::time::timeout(STOP_TIMEOUT, gateway.wait()).await;
        let took_ms = asked_at.elapsed().as_millis() as f64;
        Stop { exit_code: ended.ok().flatten(), took_ms }
    });
    join_all(waits).await
}

fn report_callers(records: &[CallRecord], report: &mut Report) {
    let none = Bound::AtMost(0.0);
    let failed: Vec<&CallRecord> = records.iter().filter(|record| !record.is_complete()).collect();
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("requests cut, refused or unanswered", failed.len() as f64, "requests", none);
    report.progress(&describe_endings(&count_endings(records)));
    for record in failed.iter().take(SHOWN_FAILURES) {
        report.progress(&record.to_string());
    }
}

/// Reports the time to the first token of the requests sent after the warm-up.
fn report_first_tokens(records: &[CallRecord], report: &mut Report) {
    let is_warm = |record: &&CallRecord| u128::from(record.sent_at_ms) >= WARM_UP.as_millis();
    let records: Vec<&CallRecord> = records.iter().filter(is_warm).collect();
    let first: Vec<f64> =
        records.iter().filter_map(|r| r.first_token_ms).map(|ms| ms as f64).collect();
    let longest = first.iter().copied().fold(0.0, f64::max);
    let target = Bound::AtMost(FIRST_TOKEN_TARGET_MS);
    report.bounded("first token p95", quantile(first, 0.95), "ms", target);
    report.value(PRODUCT, "longest first token", longest, "ms");
    let mut late = records;
    late.retain(|record| is_late(record));
    late.sort_by_key(|record| record.sent_at_ms);
    report.value(PRODUCT, "first tokens late", late.len() as f64, "requests");
    for record in late.iter().take(SHOWN_FAILURES) {
        report.progress(&format!("first token after {:?} ms: {record}", record.first_token_ms));
    }
}

fn is_late(record: &CallRecord) -> bool {
    record.first_token_ms.is_some_and(|ms| ms as f64 > FIRST_TOKEN_TARGET_MS)
}
