//! Experiment `slopes-calls`.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::AUTHORIZATION;

use crate::bench::experiments::slopes::sample::Sample;
use crate::bench::{
    BenchError, Caller, Fleet, FleetBuilder, Options, ProcessUsage, Report, key_of,
};
use crate::budget::{Budgets, DrawAnswer, DrawRequest};
use crate::clock::{BootClock, Clock};
use crate::config::Rate;
use crate::gateway::{BUDGET_SHARDS, budget_shard};
use crate::standin::PlatformStats;
use crate::units::{
    FencingToken, Incarnation, InstanceId, OrganisationId, Tokens, TokensPerSecond,
};

const WARM_UP: Duration = Duration::from_secs(12);
/// A new holder grants nothing until the grants of an earlier one have expired; then its bucket
/// fills.
const NEW_HOLDER_WAIT: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const CALLS: u64 = 200;
const ONCE_ROWS: &str = "once";
/// Number of instances that draw from one bucket.
const DRAWING_INSTANCES: u64 = 370;
const DRAWS: u64 = 200_000;

/// Measures the table rows per at-most-once call and the CPU time of a draw at the shard owner.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    time_draws(report).await;
    let fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(3)
        .engines(1, 1)
        .slices(1)
        .start()
        .await?;
    tokio::time::sleep(WARM_UP).await;
    measure_calls(&fleet, report).await
}

async fn measure_calls(fleet: &Fleet, report: &mut Report) -> Result<(), BenchError> {
    let caller = Caller::default();
    let rows_before: PlatformStats = fleet.stats(&fleet.platform).await?;
    let before = Sample::of(fleet).await?;
    let mut accepted = 0;
    for i in 0..CALLS {
        let address = fleet.gateways[i as usize % fleet.gateways.len()].address();
        let client = caller.client(address);
        let body = Bytes::from(format!("{{\"item\": \"linen\", \"effect\": \"slope-{i}\"}}"));
        let mut request = client.request(Method::POST, "/orders", body)?;
        let key = format!("Bearer {}", key_of(fleet.document.deployment.organisations()[0]));
        if let (Ok(key), Ok(id)) = (key.parse(), format!("slope-{i}").parse()) {
            request.headers_mut().insert(AUTHORIZATION, key);
            request.headers_mut().insert("idempotency-key", id);
        }
        let response = client.send(request, CALL_TIMEOUT).await?;
        accepted += u64::from(response.status().is_success());
        client.read_any_body(response).await?;
    }
    let after = Sample::of(fleet).await?;
    let rows_after: PlatformStats = fleet.stats(&fleet.platform).await?;
    let rows = |stats: &PlatformStats| {
        let of_calls = stats.by_prefix.iter().filter(|(prefix, _)| prefix.starts_with(ONCE_ROWS));
        of_calls
            .fold((0, 0), |(reads, writes), (_, rows)| (reads + rows.reads, writes + rows.writes))
    };
    let ((reads, writes), (reads_before, writes_before)) = (rows(&rows_after), rows(&rows_before));
    let calls = CALLS as f64;
    report.value("at-most-once", "accepted", accepted as f64, "calls");
    report.value(
        "at-most-once",
        "rows read per call",
        (reads - reads_before) as f64 / calls,
        "rows",
    );
    report.value(
        "at-most-once",
        "rows written per call",
        (writes - writes_before) as f64 / calls,
        "rows",
    );
    let cpu_us = (after.cpu_ns() - before.cpu_ns()) as f64 / 1e3;
    report.value("at-most-once", "CPU per call, idle included", cpu_us / calls, "us");
    Ok(())
}

/// Measures in this process the draws of all instances of a large fleet from one bucket.
async fn time_draws(report: &mut Report) {
    let clock = BootClock;
    let organisation = OrganisationId::new("windhoek-drapers");
    let budgets = Budgets::new(clock, BUDGET_SHARDS);
    let rate = Rate {
        rate_tokens_per_s: TokensPerSecond(1_000_000_000),
        burst_tokens: Tokens(1_000_000_000),
    };
    budgets.set_rates(&BTreeMap::from([(organisation.clone(), rate)]));
    let shard = budget_shard(&organisation);
    budgets.add_shard(&shard, FencingToken(1), clock.now());
    tokio::time::sleep(NEW_HOLDER_WAIT).await;
    let lease_deadline = clock.now().plus_ms(3_600_000);
    let before = ProcessUsage::of(std::process::id());
    let mut granted = 0;
    for i in 0..DRAWS {
        let request = DrawRequest {
            organisation: organisation.clone(),
            instance: InstanceId::new(format!("gateway-{}", i % DRAWING_INSTANCES)),
            incarnation: Incarnation(1),
            need_tokens: Tokens(1),
            want_tokens: Tokens(10),
            spent_tokens: Tokens(1),
            returned_tokens: Tokens(0),
            refunds: Vec::new(),
            sequence: i / DRAWING_INSTANCES + 1,
        };
        if let DrawAnswer::Granted(grant) = budgets.draw(&request, lease_deadline) {
            granted += u64::from(grant.tokens > Tokens(0));
        }
    }
    let cpu_ns = ProcessUsage::of(std::process::id()).cpu_ns - before.cpu_ns;
    report.value("draws", "granted", granted as f64, "draws");
    report.value("draws", "CPU of a draw at the owner", cpu_ns as f64 / DRAWS as f64 / 1e3, "us");
    report.value("draws", "instances on one bucket", DRAWING_INSTANCES as f64, "instances");
}
