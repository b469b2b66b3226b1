use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::flood::{FLOOD_FACTOR, Limit, PART_OF_RATE, passed_by, worst_served};
use crate::bench::charged::{ChargeBy, Charged, whole_units};
use crate::bench::check::{check_invariants, quantile};
use crate::bench::experiments::measured::{WARM_UP, since};
use crate::bench::report::PRODUCT;
use crate::bench::{
    AddressBook, BenchError, CallRecord, Caller, FleetBuilder, Gateways, Options, Report, Stream,
    send_load_to,
};
use crate::config::Rate;
use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// Below the rate of `flood`, since long prompts take more of the prefill endpoints.
const REQUESTS_PER_DECODE_PER_S: f64 = 2.5;
/// Prompt words of the flooding organisation; the others send those of `Stream::new`.
const LONG_PROMPT_WORDS: (usize, usize) = (1_500, 3_500);
/// Tokens of prompt and answer of a mean request of `Stream::new`.
const MEAN_SIZES: (u64, u64) = (325, 95);
/// Allows for one long prompt.
const BURST_S: f64 = 8.0;
/// Buckets start empty.
const FILLING: Duration = Duration::from_secs(10);

/// One organisation sends five times its rate in requests, each with a long prompt, under each
/// charge in turn. A rate admits the same number of mean requests under each charge.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let organisations = options.deployment.organisations();
    let decode = options.deployment.engines().1 as f64;
    let each_per_s = REQUESTS_PER_DECODE_PER_S * decode / organisations.len() as f64;
    let streams = organisations.map(|name| {
        if name != organisations[0] {
            return Stream::new(name, each_per_s);
        }
        let flood_per_s = each_per_s / PART_OF_RATE * FLOOD_FACTOR;
        Stream { prompt_words: LONG_PROMPT_WORDS, ..Stream::new(name, flood_per_s) }
    });
    for (by, variant) in [
        (ChargeBy::Requests, "by requests"),
        (ChargeBy::Tokens, PRODUCT),
        (ChargeBy::EngineTime, "engine time"),
    ] {
        // Empty caches, and request ids that no load before has used.
        let builder = FleetBuilder::new(options.programs.clone(), options.deployment);
        let fleet = builder.start().await?;
        let book = AddressBook::new(fleet.addresses());
        let gateways = Gateways { caller: Caller::default(), book };
        let (prompt, output) = MEAN_SIZES;
        let units_per_s = each_per_s / PART_OF_RATE * by.units(prompt, prompt, output) as f64;
        let target = Charged::new(gateways, by, rates(&organisations, units_per_s));
        sleep(FILLING).await;
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
    by: ChargeBy,
    units_per_s: f64,
    flooding: &str,
    records: &[CallRecord],
    report: &mut Report,
) {
    let limit = Limit { rate: units_per_s, burst: units_per_s * BURST_S, gateways: 1 };
    let within = passed_by(&limit, records, |record| whole_units(by, record));
    let others = || records.iter().zip(&within).filter(|(r, _)| r.organisation != flooding);
    let all = others().filter(|(_, within)| **within).count().max(1) as f64;
    let refused = others().filter(|(r, within)| **within && r.is_refused()).count() as f64;
    report.value(variant, "requests of the others within rate", all, "requests");
    report.value(variant, "refused though within rate", refused / all, "share");
    report.value(variant, "goodput of the worst-served", worst_served(records, flooding), "share");
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
