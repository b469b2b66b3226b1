use crate::bench::check::{check_invariants, cut_answers, is_in_time, quantile};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    AddressBook, BenchError, CallRecord, Caller, FleetBuilder, Options, Report, Stream, send_load,
};

/// Requests per second that fill about nine tenths of a decode endpoint's slots: 20 slots, 40 ms
/// between tokens when full, 100 tokens an answer.
const REQUESTS_PER_DECODE_PER_S: f64 = 4.5;

/// Load that keeps the decode endpoints at nine tenths of their slots.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = FleetBuilder::new(options.programs.clone(), options.deployment).start().await?;
    let organisations = options.deployment.organisations();
    let total_per_s = REQUESTS_PER_DECODE_PER_S * fleet.decode.len() as f64;
    // A few organisations are large.
    let shares = [0.4, 0.3, 0.15, 0.1, 0.05];
    let streams: Vec<Stream> = organisations
        .iter()
        .zip(shares)
        .map(|(organisation, share)| Stream::new(*organisation, total_per_s * share))
        .collect();
    report.progress(&format!("{total_per_s:.0} requests/s to {} gateways", fleet.gateways.len()));
    let caller = Caller::default();
    let book = AddressBook::new(fleet.addresses());
    let records = send_load(&caller, &book, &streams, options.load, options.seed).await;
    report_service(&records, report);
    check_invariants(&fleet, &records, report).await
}

fn report_service(records: &[CallRecord], report: &mut Report) {
    let complete: Vec<&CallRecord> = records.iter().filter(|r| r.is_complete()).collect();
    let in_time = records.iter().filter(|record| is_in_time(record)).count();
    let goodput = in_time as f64 / records.len().max(1) as f64;
    let first: Vec<f64> =
        complete.iter().filter_map(|r| r.first_token_ms).map(|ms| ms as f64).collect();
    let between: Vec<f64> = complete.iter().map(|record| record.mean_gap_ms()).collect();
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("first token p95", quantile(first, 0.95), "ms", Bound::AtMost(340.0));
    report.bounded("between tokens p95", quantile(between, 0.95), "ms", Bound::AtMost(64.0));
    report.bounded("answered within both targets", goodput, "share", Bound::AtLeast(0.95));
    report.bounded("cut answers", cut_answers(records) as f64, "requests", Bound::AtMost(0.0));
}
