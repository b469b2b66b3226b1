//! Experiment `roles`.

use std::cell::RefCell;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::bench::check::check_invariants;
use crate::bench::experiments::edits::{put_section, read_section};
use crate::bench::experiments::holders::find_holder;
use crate::bench::experiments::kill::report_requests;
use crate::bench::fleet_document::MODEL;
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::retry::{StopFlag, send_with_retries};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Fleet, Options, Process, Report,
};
use crate::config::WEIGHT_STORE;
use crate::http::HttpClient;
use crate::standin::{EngineRole, EngineStats};

const SLICES: usize = 2;
/// Engines that swap their roles, both in the first slice.
const SWAPPED_ENGINES: [&str; 2] = ["prefill-0", "decode-0"];
const REVISION: &str = "2";
const WEIGHTS_MIB: u64 = 512;
const RATE_MIB_PER_S: u64 = 256;
/// Limit from the charge for a load's bytes to the start of the load: the response to the draw and
/// the order's call take at most 500 ms each.
const START_LIMIT_MS: u64 = 1000;
/// Longer than all changes in sequence at the weight store's rate, including a takeover.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(100);

/// Swaps the roles of two engines, loads a new revision on all engines, and kills the owner of the
/// first slice halfway. The engines of that slice don't check fencing numbers.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let mut fleet = super::small_fleet(options)
        .engines(4, 4)
        .slices(SLICES as u32)
        .unfenced_slices(1)
        .engine(|engine| (engine.load_model_ms, engine.cold_ms) = (500, 500))
        .start()
        .await?;
    let streams = super::light_load(options, 8.0);
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let stop_flag = StopFlag::default();
    let load =
        send_with_retries(&caller, &resolver, &streams, &stop_flag, RETRY_TIMEOUT, options.seed);
    let change = async {
        let started_at = Instant::now();
        let changed = change_with_kill(&mut fleet, report).await;
        tokio::time::sleep_until(started_at + options.load).await;
        stop_flag.stop();
        changed
    };
    let (requests, changed) = tokio::join!(load, change);
    let ChangeResult { victim, max_loading, took } = changed?;
    report_requests(&requests, report);
    let records: Vec<CallRecord> = requests.into_iter().flatten().collect();
    report.value(PRODUCT, "time of the whole change", took.as_secs_f64(), "s");
    report_cuts(&records, &victim, report);
    let least = "engines of a slice that load at a time";
    report.bounded(least, max_loading as f64, "engines", Bound::AtMost(1.0));
    report_engines(&fleet, report).await?;
    check_invariants(&fleet, &records, report).await
}

/// Result of the change of roles and revision.
struct ChangeResult {
    /// Address of the gateway that was killed.
    victim: SmolStr,
    max_loading: usize,
    took: Duration,
}

async fn change_with_kill(fleet: &mut Fleet, report: &Report) -> Result<ChangeResult, BenchError> {
    let started_at = Instant::now();
    request_changes(fleet).await?;
    let max_loading = RefCell::new(0);
    let half = (fleet.prefill.len() + fleet.decode.len()) / 2;
    wait_until(fleet, &max_loading, |engines| {
        let loads: usize = engines.iter().map(|engine| engine.loads.len()).sum();
        loads >= half && engines.iter().step_by(SLICES).any(|engine| engine.loading.is_some())
    })
    .await?;
    let index = owner_of_first_slice(fleet).await;
    let victim = fleet.gateways[index].address().clone();
    fleet.gateways[index].kill();
    report.progress(&format!("{} killed, it owns the first slice", fleet.gateways[index].name()));
    let roles = wanted_roles(fleet);
    wait_until(fleet, &max_loading, |engines| {
        engines.iter().zip(&roles).all(|(engine, role)| has_wanted_state(engine, *role))
    })
    .await?;
    let took = started_at.elapsed();
    fleet.replace_gateway(index).await?;
    Ok(ChangeResult { victim, max_loading: max_loading.take(), took })
}

/// Edits the document as operators do: first the rate, then the revision to load, then the roles.
async fn request_changes(fleet: &Fleet) -> Result<(), BenchError> {
    let rate = format!(
        "{{ \"{WEIGHT_STORE}\": {{ \"rate_tokens_per_s\": {RATE_MIB_PER_S}, \
         \"burst_tokens\": {WEIGHTS_MIB} }},"
    );
    edit(fleet, "rates", |text| text.replacen('{', &rate, 1)).await?;
    let bytes = WEIGHTS_MIB << 20;
    let model = format!("\"revision\": \"{REVISION}\", \"weights_bytes\": {bytes}, \"max_prompt_");
    edit(fleet, "models", |text| text.replacen("\"max_prompt_", &model, 1)).await?;
    edit(fleet, "endpoints", |text| text.lines().map(swap_role).collect()).await
}

fn swap_role(line: &str) -> String {
    let (prefill, decode) = ("\"role\": \"prefill\"", "\"role\": \"decode\"");
    let is_swapped = SWAPPED_ENGINES.iter().any(|name| line.contains(&format!("\"{name}\":")));
    let line = match is_swapped {
        true if line.contains(prefill) => line.replace(prefill, decode),
        true => line.replace(decode, prefill),
        false => line.to_owned(),
    };
    line + "\n"
}

async fn edit(
    fleet: &Fleet,
    section: &str,
    change: impl Fn(&str) -> String,
) -> Result<(), BenchError> {
    let end = Instant::now() + RETRY_TIMEOUT;
    loop {
        let client = HttpClient::new(fleet.gateways[0].address().clone());
        let (base, text) = read_section(&client, section).await?;
        let edit = put_section(client, section, base, change(&text), String::new()).await?;
        if edit.status == 200 || Instant::now() > end {
            return Ok(());
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Polls the engines until a condition holds and updates the maximum number of engines of a slice
/// that load at the same time.
async fn wait_until(
    fleet: &Fleet,
    max_loading: &RefCell<usize>,
    is_met: impl Fn(&[EngineStats]) -> bool,
) -> Result<(), BenchError> {
    let end = Instant::now() + CHANGE_TIMEOUT;
    while Instant::now() < end {
        let stats = engine_stats(fleet).await?;
        for slice in 0..SLICES {
            let of_slice = stats.iter().skip(slice).step_by(SLICES);
            let loading = of_slice.filter(|engine| engine.loading.is_some()).count();
            let most = (*max_loading.borrow()).max(loading);
            max_loading.replace(most);
        }
        if is_met(&stats) {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Returns the statistics of all engines, prefill engines first. The slices alternate.
async fn engine_stats(fleet: &Fleet) -> Result<Vec<EngineStats>, BenchError> {
    let mut stats = Vec::new();
    for engine in fleet.engines() {
        stats.push(fleet.stats(engine).await?);
    }
    Ok(stats)
}

async fn owner_of_first_slice(fleet: &Fleet) -> usize {
    find_holder(fleet, |shard| shard.starts_with("pool/") && shard.ends_with("/0")).await
}

fn wanted_roles(fleet: &Fleet) -> Vec<EngineRole> {
    let wanted = |engine: &Process| {
        let is_prefill = engine.name().starts_with("prefill");
        let is_swapped = SWAPPED_ENGINES.contains(&engine.name().as_str());
        if is_prefill != is_swapped { EngineRole::Prefill } else { EngineRole::Decode }
    };
    fleet.engines().map(wanted).collect()
}

fn has_wanted_state(engine: &EngineStats, role: EngineRole) -> bool {
    let revision = engine.revisions.get(MODEL).map(SmolStr::as_str);
    engine.role == role && revision == Some(REVISION) && engine.loading.is_none()
}

/// Reports cut requests. Only the connections to the killed gateway may break.
fn report_cuts(records: &[CallRecord], victim: &SmolStr, report: &mut Report) {
    let cut: Vec<&CallRecord> = records.iter().filter(|record| record.is_broken()).collect();
    for record in cut.iter().filter(|record| record.address != *victim).take(5) {
        report.progress(&format!("cut at {}: {:?}", record.address, record.ending));
    }
    let elsewhere = cut.iter().filter(|record| record.address != *victim).count();
    let none = Bound::AtMost(0.0);
    report.bounded("requests cut at other gateways", elsewhere as f64, "requests", none);
}

async fn report_engines(fleet: &Fleet, report: &mut Report) -> Result<(), BenchError> {
    let stats = engine_stats(fleet).await?;
    let none = Bound::AtMost(0.0);
    let roles = wanted_roles(fleet);
    let missing =
        stats.iter().zip(&roles).filter(|(engine, role)| !has_wanted_state(engine, **role));
    report.bounded("engines without the wanted state", missing.count() as f64, "engines", none);
    let of_slice = |slice: usize| stats.iter().skip(slice).step_by(SLICES);
    for (slice, what) in [(1, "checked"), (0, "unchecked")] {
        let old: usize = of_slice(slice).map(count_stale_orders).sum();
        let name = format!("orders of old owners, {what}");
        report.bounded(&name, old as f64, "orders", none);
    }
    let owners: std::collections::BTreeSet<u64> = of_slice(0)
        .flat_map(|engine| engine.orders.iter().map(|order| order.fencing.get()))
        .collect();
    let two = Bound::AtLeast(2.0);
    report.bounded("owners that ordered in the first slice", owners.len() as f64, "owners", two);
    let refused: u64 = stats.iter().map(|engine| engine.work_refused).sum();
    report.bounded("work for another role or model", refused as f64, "requests", none);
    let loads: Vec<u64> =
        stats.iter().flat_map(|engine| engine.loads.iter().map(|l| l.started_unix_ms)).collect();
    report.bounded("loads", loads.len() as f64, "loads", Bound::AtLeast(stats.len() as f64));
    let excess = largest_load_excess(loads);
    report.bounded("loads beyond the weight store's rate", excess, "MiB", none);
    Ok(())
}

/// Counts the orders that took effect after one with a newer fencing number.
fn count_stale_orders(engine: &EngineStats) -> usize {
    engine.orders.windows(2).filter(|pair| pair[1].fencing < pair[0].fencing).count()
}

/// Returns the largest excess in MiB over burst + rate × interval, over all intervals between the
/// starts of two loads.
fn largest_load_excess(mut starts: Vec<u64>) -> f64 {
    starts.sort_unstable();
    let mut largest = f64::NEG_INFINITY;
    for (first, from_ms) in starts.iter().enumerate() {
        for (last, until_ms) in starts.iter().enumerate().skip(first) {
            let read = (last - first + 1) as f64 * WEIGHTS_MIB as f64;
            let interval_s = (until_ms - from_ms + START_LIMIT_MS) as f64 / 1000.0;
            let allowed = WEIGHTS_MIB as f64 + RATE_MIB_PER_S as f64 * interval_s;
            largest = largest.max(read - allowed);
        }
    }
    largest
}
