//! Experiment `kill`.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::holders::shards_held_by;
use crate::bench::check::{check_invariants, count_endings, describe_endings};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::retry::{StopFlag, send_with_retries};
use crate::bench::{AddressResolver, BenchError, CallRecord, Caller, Fleet, Options, Report};

/// Limit of the takeover from a dead owner in the acceptance thresholds.
const TAKEOVER_LIMIT_MS: f64 = 5_000.0;
/// A takeover that takes longer counts as failed.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(50);
/// Callers retry for longer than a takeover and the expiry of old grants take.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
const SHOWN_FAILURES: usize = 3;
/// Only the first gateways are killed; the others stay available as seeds of the callers.
const KILLABLE_GATEWAYS: usize = 3;

/// Kills gateways at random times under load and replaces each once its shards are taken over.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let mut fleet = super::small_fleet(options).start().await?;
    let streams = super::light_load(options, 12.0);
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let stop_flag = StopFlag::default();
    let load =
        send_with_retries(&caller, &resolver, &streams, &stop_flag, RETRY_TIMEOUT, options.seed);
    let kills = async {
        let killed = kill_repeatedly(&mut fleet, options, report).await;
        stop_flag.stop();
        killed
    };
    let (requests, takeovers) = tokio::join!(load, kills);
    report_takeovers(&takeovers?, report);
    report_requests(&requests, report);
    let records: Vec<CallRecord> = requests.into_iter().flatten().collect();
    check_invariants(&fleet, &records, report).await
}

/// Kills gateways for the length of the load, at least one. Returns the time of each takeover in
/// milliseconds.
async fn kill_repeatedly(
    fleet: &mut Fleet,
    options: &Options,
    report: &Report,
) -> Result<Vec<f64>, BenchError> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + options.load;
    let mut takeovers = Vec::new();
    while takeovers.is_empty() || Instant::now() < end {
        let wait_ms = random.random_range(800..2_500);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let victim = random.random_range(0..KILLABLE_GATEWAYS);
        let survivors = fleet.addresses_without(victim);
        let name = fleet.gateways[victim].name().clone();
        let held = shards_held_by(fleet, &survivors, &name).await;
        fleet.gateways[victim].kill();
        let killed_at = Instant::now();
        let takeover_ms = wait_for_takeover(fleet, &survivors, &name, &held, killed_at).await;
        report.progress(&format!("{name} killed, its {} shards taken over", held.len()));
        takeovers.extend(takeover_ms);
        fleet.replace_gateway(victim).await?;
    }
    Ok(takeovers)
}

/// Returns the milliseconds until each shard had a new holder, or infinity if it got none in time.
async fn wait_for_takeover(
    fleet: &Fleet,
    survivors: &[SmolStr],
    name: &str,
    held: &BTreeMap<String, u64>,
    killed_at: Instant,
) -> Vec<f64> {
    let mut left = held.clone();
    let mut takeover_ms = Vec::new();
    while !left.is_empty() && killed_at.elapsed() < TAKEOVER_TIMEOUT {
        for address in survivors {
            let Ok(status) = fleet.status(address).await else { continue };
            for holder in status["holders"].as_array().into_iter().flatten() {
                let shard = holder["shard"].as_str().unwrap_or_default();
                let fencing = holder["fencing"].as_u64().unwrap_or_default();
                let is_new = left.get(shard).is_some_and(|old| fencing > *old);
                if is_new && holder["holder"] != name {
                    left.remove(shard);
                    takeover_ms.push(killed_at.elapsed().as_millis() as f64);
                }
            }
        }
        tokio::time::sleep(POLL).await;
    }
    takeover_ms.extend(left.iter().map(|_| f64::INFINITY));
    takeover_ms
}

fn report_takeovers(takeovers: &[f64], report: &mut Report) {
    let longest = takeovers.iter().copied().fold(0.0, f64::max);
    report.bounded("shards taken over", takeovers.len() as f64, "shards", Bound::AtLeast(1.0));
    report.bounded("longest takeover", longest, "ms", Bound::AtMost(TAKEOVER_LIMIT_MS));
}

/// Reports on requests that may have been sent several times each.
pub(super) fn report_requests(requests: &[Vec<CallRecord>], report: &mut Report) {
    let none = Bound::AtMost(0.0);
    let answers = |tries: &&Vec<CallRecord>| tries.iter().filter(|r| r.is_complete()).count();
    let twice = requests.iter().filter(|tries| answers(tries) > 1).count();
    let answered = requests.iter().filter(|tries| answers(tries) == 1).count();
    // The request was answered completely, but the response was lost with its connection, so that
    // the repeat is refused as a duplicate.
    let is_lost = |tries: &&Vec<CallRecord>| {
        tries.last().is_some_and(|last| last.is_refused_with("duplicate_request"))
    };
    let lost = requests.iter().filter(is_lost).count();
    let broken = requests.iter().filter(|tries| tries.iter().any(CallRecord::is_broken)).count();
    for tries in requests.iter().filter(|tries| answers(tries) == 0).take(SHOWN_FAILURES) {
        report.progress(&describe_tries(tries));
    }
    let refused = requests.iter().filter_map(|tries| tries.first()).filter(|r| r.is_refused());
    for first in refused.take(SHOWN_FAILURES) {
        report.progress(&format!("first try refused: {first}"));
    }
    let longest = requests.iter().map(|tries| longest_ms(tries)).max().unwrap_or(0);
    let unanswered = requests.len() - answered - twice - lost;
    report.value(PRODUCT, "requests", requests.len() as f64, "requests");
    report.value(PRODUCT, "requests with a broken connection", broken as f64, "requests");
    report.value(PRODUCT, "first tries refused", first_refused(requests) as f64, "requests");
    report.value(PRODUCT, "longest time to the answer", longest as f64, "ms");
    report.bounded("requests answered twice", twice as f64, "requests", none);
    report.bounded("repeats refused for good", lost as f64, "requests", none);
    report.bounded("requests never answered", unanswered as f64, "requests", none);
    let records: Vec<&CallRecord> = requests.iter().flatten().collect();
    report.progress(&describe_endings(&count_endings(records)));
}

fn describe_tries(tries: &[CallRecord]) -> String {
    let tries: Vec<String> = tries.iter().map(CallRecord::to_string).collect();
    tries.join("; ")
}

fn first_refused(requests: &[Vec<CallRecord>]) -> usize {
    requests.iter().filter(|tries| tries.first().is_some_and(CallRecord::is_refused)).count()
}

fn longest_ms(tries: &[CallRecord]) -> u64 {
    match (tries.first(), tries.last()) {
        (Some(first), Some(last)) => last.ended_at_ms - first.sent_at_ms,
        _ => 0,
    }
}
