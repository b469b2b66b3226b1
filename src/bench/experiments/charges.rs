//! Experiment `charges`.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::flood::{FLOOD_FACTOR, Limit, SHARE_OF_RATE, simulate_limit, worst_in_time_share};
use crate::bench::charged_gateways::{ChargeUnit, ChargedGateways, uncached_units};
use crate::bench::check::{check_invariants, quantile};
use crate::bench::experiments::measurements::{WARM_UP, since};
use crate::bench::report::PRODUCT;
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, FleetBuilder, Gateways, Options, Report,
    Stream, send_load_to,
};
use crate::config::Rate;
use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// Lower than in `flood`, because long prompts need more prefill time.
const REQUESTS_PER_DECODE_PER_S: f64 = 2.5;
/// Range of prompt words of the flooding organisation; the others use that of `Stream::new`.
const LONG_PROMPT_WORDS: (usize, usize) = (1_500, 3_500);
/// Mean tokens of the prompt and the answer of a request of `Stream::new`.
const MEAN_REQUEST_TOKENS: (u64, u64) = (325, 95);
/// Large enough for one long prompt.
const BURST_S: f64 = 8.0;
/// The buckets start empty and fill during this time.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(10);

/// One organisation sends five times as many requests as its rate admits, each with a long prompt.
/// Repeats the load with each charge unit; the rate admits the same number of mean requests in
/// every unit.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let organisations = options.deployment.organisations();
    let decode = options.deployment.engines().1 as f64;
    let each_per_s = REQUESTS_PER_DECODE_PER_S * decode / organisations.len() as f64;
    let streams = organisations.map(|name| {
        if name != organisations[0] {
            return Stream::new(name, each_per_s);
        }
        let flood_per_s = each_per_s / SHARE_OF_RATE * FLOOD_FACTOR;
        Stream { prompt_words: LONG_PROMPT_WORDS, ..Stream::new(name, flood_per_s) }
    });
    for (by, variant) in [
        (ChargeUnit::Requests, "by requests"),
        (ChargeUnit::Tokens, PRODUCT),
        (ChargeUnit::EngineTime, "engine time"),
    ] {
        // A new fleet has empty caches and has not seen the request ids.
        let builder = FleetBuilder::new(options.programs.clone(), options.deployment);
        let fleet = builder.start().await?;
        let resolver = AddressResolver::new(fleet.addresses());
        let gateways = Gateways { caller: Caller::default(), resolver };
        let (prompt, output) = MEAN_REQUEST_TOKENS;
        let units_per_s = each_per_s / SHARE_OF_RATE * by.units(prompt, prompt, output) as f64;
        let target = ChargedGateways::new(gateways, by, rates(&organisations, units_per_s));
        sleep(BUCKET_FILL_TIME).await;
        let records = send_load_to(&target, &streams, WARM_UP + options.load, options.seed).await;
        let steady = since(&records, WARM_UP);
        report_variant(variant, by, units_per_s, organisations[0], &steady, report);
        check_invariants(&fleet, &records, report).await?;
    }
    Ok(())
}

fn rates(organisations: &[&str], units_per_s: f64) -> BTreeMap<OrganisationId, Rate> {
    let rate = Rate {
        rate_tokens_per_s: TokensPerSecond(units_per_s as u64),
        burst_tokens: Tokens((units_per_s * BURST_S) as u64),
    };
    organisations.iter().map(|name| (OrganisationId::new(*name), rate)).collect()
}

fn report_variant(
    variant: &str,
    by: ChargeUnit,
    units_per_s: f64,
    flooding: &str,
    records: &[CallRecord],
    report: &mut Report,
) {
    let limit = Limit { rate: units_per_s, burst: units_per_s * BURST_S, gateways: 1 };
    let within = simulate_limit(&limit, records, |record| uncached_units(by, record));
    let others = || records.iter().zip(&within).filter(|(r, _)| r.organisation != flooding);
    let all = others().filter(|(_, within)| **within).count().max(1) as f64;
    let refused = others().filter(|(r, within)| **within && r.is_refused()).count() as f64;
    report.value(variant, "requests of the others within rate", all, "requests");
    report.value(variant, "refused though within rate", refused / all, "share");
    report.value(
        variant,
        "goodput of the worst-served",
        worst_in_time_share(records, flooding),
        "share",
    );
    let mut codes: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for (record, _) in others().filter(|(record, _)| !record.is_complete()) {
        *codes.entry(format_smolstr!("{:?}", record.ending)).or_default() += 1;
    }
    report.progress(&format!("{variant}, others not answered: {codes:?}"));
    let first = others().filter_map(|(r, _)| r.first_token_ms).map(|ms| ms as f64).collect();
    report.value(variant, "first token p95 of the others", quantile(first, 0.95), "ms");
    let flood = records.iter().filter(|r| r.organisation == flooding && r.is_complete());
    report.value(variant, "long prompts answered", flood.count() as f64, "requests");
}
