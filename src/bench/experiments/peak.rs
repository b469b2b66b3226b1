//! Experiment `peak`.

use std::time::Duration;

use crate::bench::check::{check_invariants, count_cut_answers, quantile};
use crate::bench::experiments::measurements::{
    WARM_UP, goodput_share, in_time_share, since, streams_of,
};
use crate::bench::report::{BASELINE, Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, FleetBuilder, Gateways, Options, Report,
    RoundRobin, count_prefills, sample_occupancy, send_load_to,
};

/// Requests per second that fill about 90% of a decode endpoint's 20 slots.
pub const REQUESTS_PER_DECODE_PER_S: f64 = 4.95;
/// The answers of one variant's load end in this time, before the next load begins.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Fills about 90% of the decode slots and measures once the endpoints have warmed up, then repeats
/// the load with the round-robin baseline.
pub async fn run(options: &Options, report: &mut Report) -> Result<Vec<CallRecord>, BenchError> {
    let mut fleet = FleetBuilder::new(options.programs.clone(), options.deployment).start().await?;
    let total_per_s = REQUESTS_PER_DECODE_PER_S * fleet.decode.len() as f64;
    let streams = streams_of(options, total_per_s);
    report.progress(&format!("{total_per_s:.0} requests/s to {} gateways", fleet.gateways.len()));
    let target =
        Gateways { caller: Caller::default(), resolver: AddressResolver::new(fleet.addresses()) };
    let length = WARM_UP + options.load;
    let (records, slots) = tokio::join!(
        send_load_to(&target, &streams, length, options.seed),
        sample_occupancy(&fleet, WARM_UP, options.load),
    );
    let (ran, wasted) = count_prefills(&fleet).await;
    let steady = since(&records, WARM_UP);
    let [first, between] = latencies(&steady);
    report.value(PRODUCT, "requests", steady.len() as f64, "requests");
    report.value(PRODUCT, "refused", refused(&steady) as f64, "requests");
    report.bounded("decode slots in use", slots, "share", Bound::AtLeast(0.9));
    report.bounded("first token p95", first, "ms", Bound::AtMost(340.0));
    report.bounded("between tokens p95", between, "ms", Bound::AtMost(64.0));
    let in_time = in_time_share(&steady);
    report.bounded("answered within both targets", in_time, "share", Bound::AtLeast(0.95));
    let goodput = goodput_share(&steady);
    report.bounded("goodput of offered tokens", goodput, "share", Bound::AtLeast(0.95));
    let share = wasted as f64 / ran.max(1) as f64;
    report.bounded("wasted prefills", share, "share", Bound::AtMost(0.01));
    report.bounded(
        "cut answers",
        count_cut_answers(&records) as f64,
        "requests",
        Bound::AtMost(0.0),
    );
    check_invariants(&fleet, &records, report).await?;
    // Kills the gateways: the pool owners would cancel the attempts of the baseline, which they
    // don't know.
    fleet.gateways.clear();
    tokio::time::sleep(DRAIN_TIME).await;
    let round_robin = RoundRobin::new(&fleet);
    let (baseline, slots) = tokio::join!(
        send_load_to(&round_robin, &streams, length, options.seed),
        sample_occupancy(&fleet, WARM_UP, options.load),
    );
    let (ran_after, wasted_after) = count_prefills(&fleet).await;
    let steady = since(&baseline, WARM_UP);
    let [first, between] = latencies(&steady);
    report.value(BASELINE, "requests", steady.len() as f64, "requests");
    report.value(BASELINE, "refused", refused(&steady) as f64, "requests");
    report.value(BASELINE, "decode slots in use", slots, "share");
    report.value(BASELINE, "first token p95", first, "ms");
    report.value(BASELINE, "between tokens p95", between, "ms");
    report.value(BASELINE, "answered within both targets", in_time_share(&steady), "share");
    report.value(BASELINE, "goodput of offered tokens", goodput_share(&steady), "share");
    let share = (wasted_after - wasted.min(wasted_after)) as f64 / (ran_after - ran).max(1) as f64;
    report.value(BASELINE, "wasted prefills", share, "share");
    Ok(records)
}

fn refused(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| record.is_refused()).count()
}

/// Returns the p95 of the time to the first token and of the mean time between tokens, over the
/// complete answers.
fn latencies(records: &[CallRecord]) -> [f64; 2] {
    let complete: Vec<&CallRecord> = records.iter().filter(|r| r.is_complete()).collect();
    let first = complete.iter().filter_map(|record| record.first_token_ms);
    let between = complete.iter().map(|record| record.mean_gap_ms()).collect();
    [quantile(first.map(|ms| ms as f64).collect(), 0.95), quantile(between, 0.95)]
}
