//! Experiment `flood`.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::bench::check::{check_invariants, is_in_time, quantile};
use crate::bench::experiments::measurements::{WARM_UP, since};
use crate::bench::report::{BASELINE, Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Ending, FleetBuilder, Gateways, Options,
    Report, Stream, send_load_to,
};
use crate::standin::{expected_length, prompt_tokens};

/// Requests per second and decode endpoint of all organisations within their rates. The sum of the
/// rates is below the engines' capacity, even if the flooding organisation uses its whole rate.
const REQUESTS_PER_DECODE_PER_S: f64 = 3.0;
/// Mean tokens of a request of `Stream::new`: 325 of the prompt and about 95 of the answer.
const TOKENS_PER_REQUEST: f64 = 420.0;
/// Share of its rate that an organisation within the rate uses.
pub(super) const SHARE_OF_RATE: f64 = 0.8;
const BURST_S: f64 = 4.0;
pub(super) const FLOOD_FACTOR: f64 = 5.0;

/// One organisation sends five times its rate; the others stay within their rates.
pub async fn run(options: &Options, report: &mut Report) -> Result<Vec<CallRecord>, BenchError> {
    let organisations = options.deployment.organisations();
    let decode = options.deployment.engines().1 as f64;
    let each_per_s = REQUESTS_PER_DECODE_PER_S * decode / organisations.len() as f64;
    let rate = each_per_s / SHARE_OF_RATE * TOKENS_PER_REQUEST;
    let rates = vec![(rate as u64, (rate * BURST_S) as u64); organisations.len()];
    let fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
        .rates(rates)
        .start()
        .await?;
    let flooding = organisations[0];
    let streams: Vec<Stream> = organisations
        .iter()
        .map(|name| {
            let flood_per_s = each_per_s / SHARE_OF_RATE * FLOOD_FACTOR;
            Stream::new(*name, if *name == flooding { flood_per_s } else { each_per_s })
        })
        .collect();
    let target =
        Gateways { caller: Caller::default(), resolver: AddressResolver::new(fleet.addresses()) };
    let records = send_load_to(&target, &streams, WARM_UP + options.load, options.seed).await;
    // The simulated buckets start full. Only the warm-up of the endpoints is excluded.
    let whole = Limit { rate, burst: rate * BURST_S, gateways: 1 };
    let split = Limit { gateways: fleet.gateways.len(), ..whole };
    let steady = since(&records, WARM_UP);
    let within = simulate_limit(&whole, &steady, tokens_of);
    let split_admitted = simulate_limit(&split, &steady, tokens_of);
    let (mut all, mut refused, mut split_refused) = (0, 0, 0);
    for (at, record) in steady.iter().enumerate() {
        if record.organisation == flooding || !within[at] {
            continue;
        }
        all += 1;
        refused += usize::from(record.is_refused());
        split_refused += usize::from(!split_admitted[at]);
    }
    let share = |count: usize| count as f64 / f64::max(all as f64, 1.0);
    report.value(PRODUCT, "requests of the others within rate", all as f64, "requests");
    let name = "refused though within rate";
    report.bounded(name, share(refused), "share", Bound::AtMost(0.005));
    report.value(BASELINE, name, share(split_refused), "share");
    let worst = worst_in_time_share(&steady, flooding);
    report.value(PRODUCT, "goodput of the worst-served", worst, "share");
    let others = || steady.iter().filter(|record| record.organisation != flooding);
    let first = others().filter_map(|record| record.first_token_ms);
    let first = quantile(first.map(|ms| ms as f64).collect(), 0.95);
    report.value(PRODUCT, "first token p95 of the others", first, "ms");
    for record in others() {
        if let Ending::Refused { status, code, .. } = &record.ending {
            report.progress(&format!("refused {}: {status} {code}", record.organisation));
        }
    }
    let flood = steady.iter().filter(|record| record.organisation == flooding);
    let tokens: u64 = flood.map(|r| r.prompt_tokens + r.output_tokens).sum();
    let taken = tokens as f64 / options.load.as_secs_f64() / rate;
    report.value(PRODUCT, "flooding organisation's tokens of rate", taken, "share");
    check_invariants(&fleet, &records, report).await?;
    Ok(records)
}

/// Returns the lowest share of requests within both targets among the organisations that don't
/// flood.
pub(super) fn worst_in_time_share(records: &[CallRecord], flooding: &str) -> f64 {
    let mut served: HashMap<&SmolStr, (f64, f64)> = HashMap::new();
    for record in records.iter().filter(|record| record.organisation != flooding) {
        let (in_time, all) = served.entry(&record.organisation).or_default();
        *in_time += f64::from(u8::from(is_in_time(record)));
        *all += 1.0;
    }
    served.values().map(|(in_time, all)| in_time / all).fold(1.0, f64::min)
}

/// A rate limit that is divided evenly among gateways.
#[derive(Clone, Copy)]
pub(super) struct Limit {
    pub rate: f64,
    pub burst: f64,
    pub gateways: usize,
}

/// Returns the tokens that a request uses if it is answered completely.
fn tokens_of(record: &CallRecord) -> f64 {
    let length = expected_length(&record.prompt, record.max_tokens);
    (prompt_tokens(&record.prompt) + length) as f64
}

/// Simulates the token buckets of this limit and returns for each request whether they admit it. A
/// request is charged what it uses. With one gateway, the admitted requests are those within the
/// rate.
pub(super) fn simulate_limit(
    limit: &Limit,
    records: &[CallRecord],
    used: impl Fn(&CallRecord) -> f64,
) -> Vec<bool> {
    let parts = limit.gateways as f64;
    let mut buckets: HashMap<(SmolStr, SmolStr), (f64, u64)> = HashMap::new();
    let mut order: Vec<usize> = (0..records.len()).collect();
    order.sort_by_key(|at| records[*at].sent_at_ms);
    let mut admitted = vec![false; records.len()];
    for at in order {
        let record = &records[at];
        let address = if limit.gateways == 1 { SmolStr::default() } else { record.address.clone() };
        let burst = limit.burst / parts;
        let bucket = buckets.entry((record.organisation.clone(), address));
        let (level, since_ms) = bucket.or_insert((burst, record.sent_at_ms));
        let elapsed_s = (record.sent_at_ms - *since_ms) as f64 / 1000.0;
        *level = (*level + elapsed_s * limit.rate / parts).min(burst);
        *since_ms = record.sent_at_ms;
        let tokens = used(record);
        if *level >= tokens {
            *level -= tokens;
            admitted[at] = true;
        }
    }
    admitted
}
