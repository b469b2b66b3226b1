//! Experiment `crossed`.

use crate::bench::check::{check_invariants, count_cut_answers};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{AddressResolver, BenchError, Caller, Options, Report, Stream, send_load};
use crate::standin::EngineFaults;

const REQUESTS_PER_S: f64 = 4.0;

/// Engines send events of other attempts, duplicate events, respond late and cut their streams.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).gateways(3).start().await?;
    for (i, engine) in fleet.decode.iter().enumerate() {
        let i = i as u64;
        let faults = EngineFaults {
            cross_every: 2 + i,
            duplicate_every: 3 + i,
            cut_after_tokens: Some(10 + 5 * i),
            delay_ms: 5 * i,
            ..EngineFaults::default()
        };
        fleet.set_faults(engine, &faults).await?;
    }
    let organisations = options.deployment.organisations();
    let streams = [
        Stream::new(organisations[0], REQUESTS_PER_S),
        Stream::new(organisations[1], REQUESTS_PER_S),
    ];
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let records = send_load(&caller, &resolver, &streams, options.load, options.seed).await;
    for record in records.iter().filter(|record| !record.is_complete()).take(5) {
        let tokens = record.output_tokens;
        report.progress(&format!("after {tokens} tokens: {:?}", record.ending));
    }
    let incomplete = records.iter().filter(|record| !record.is_complete()).count();
    let none = Bound::AtMost(0.0);
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("not answered", incomplete as f64, "requests", none);
    report.bounded("cut answers", count_cut_answers(&records) as f64, "requests", none);
    check_invariants(&fleet, &records, report).await
}
