//! Takes endpoints out of service through the admin interface under load and returns them.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::sleep;

use crate::bench::check::{check_invariants, count_cut_answers, quantile};
use crate::bench::experiments::measurements::{goodput_share, in_time_share, served_share, since};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Fleet, FleetBuilder, Gateways, Options,
    Report, Stream, send_load_to,
};
use crate::standin::EngineStats;
use crate::units::AttemptId;

/// Endpoints that were taken out of service get no new work after this time.
const IN_FORCE: Duration = Duration::from_secs(3);
/// The load continues for this time, so that it includes the warm-up of the returned endpoints.
const AFTER_RETURN: Duration = Duration::from_secs(8);

/// Which endpoints are taken out of service and when.
pub struct Removal {
    pub streams: Vec<Stream>,
    /// Paths of the admin requests that take the endpoints out of service.
    pub removes: Vec<String>,
    /// Paths of the admin requests that return them.
    pub returns: Vec<String>,
    /// Names of the engines that are taken out.
    pub leaving: Vec<String>,
    /// Time from the start of the load to the removal.
    pub remove_after: Duration,
    /// Time from the start of the load to the return.
    pub return_after: Duration,
}

/// Starts a fleet with at least two prefill endpoints in each slice. A slice with a single one
/// could not use its decode endpoints once that one is removed.
pub async fn start_fleet(options: &Options) -> Result<Fleet, BenchError> {
    let slices = (options.deployment.engines().0 / 2).max(1) as u32;
    FleetBuilder::new(options.programs.clone(), options.deployment).slices(slices).start().await
}

/// Sends the load, removes and returns the endpoints, and reports the service and the new work on
/// the removed endpoints.
pub async fn run_removal(
    fleet: &Fleet,
    removal: &Removal,
    options: &Options,
    report: &mut Report,
) -> Result<Vec<CallRecord>, BenchError> {
    let target =
        Gateways { caller: Caller::default(), resolver: AddressResolver::new(fleet.addresses()) };
    let length = removal.return_after + AFTER_RETURN;
    let (records, new_work) = tokio::join!(
        send_load_to(&target, &removal.streams, length, options.seed),
        remove_and_return(fleet, removal),
    );
    let during = since(&records, removal.remove_after);
    report.value(PRODUCT, "endpoints out", removal.leaving.len() as f64, "endpoints");
    report.value(PRODUCT, "requests", during.len() as f64, "requests");
    let new_work = new_work? as f64;
    report.bounded("new work after 3 s", new_work, "attempts", Bound::AtMost(0.0));
    let served = served_share(&during);
    report.bounded("tokens served of offered", served, "share", Bound::AtLeast(0.98));
    report.value(PRODUCT, "goodput of offered tokens", goodput_share(&during), "share");
    report.value(PRODUCT, "answered within both targets", in_time_share(&during), "share");
    let first = during.iter().filter_map(|record| record.first_token_ms);
    let first = quantile(first.map(|ms| ms as f64).collect(), 0.95);
    report.value(PRODUCT, "first token p95", first, "ms");
    report.bounded(
        "cut answers",
        count_cut_answers(&records) as f64,
        "requests",
        Bound::AtMost(0.0),
    );
    check_invariants(fleet, &records, report).await?;
    Ok(records)
}

/// Returns the number of attempts that started on the removed endpoints after `IN_FORCE` had
/// passed.
async fn remove_and_return(fleet: &Fleet, removal: &Removal) -> Result<usize, BenchError> {
    sleep(removal.remove_after).await;
    edit(fleet, &removal.removes).await?;
    sleep(IN_FORCE).await;
    let before = attempts(fleet, &removal.leaving).await?;
    let rest = removal.return_after.saturating_sub(removal.remove_after + IN_FORCE);
    sleep(rest).await;
    let after = attempts(fleet, &removal.leaving).await?;
    edit(fleet, &removal.returns).await?;
    Ok(after.difference(&before).count())
}

async fn edit(fleet: &Fleet, paths: &[String]) -> Result<(), BenchError> {
    let gateway = fleet.addresses()[0].clone();
    for path in paths {
        fleet.admin(&gateway, Method::POST, path, Bytes::new()).await?;
    }
    Ok(())
}

/// Returns the attempts that the named engines have run.
async fn attempts(
    fleet: &Fleet,
    names: &[String],
) -> Result<BTreeSet<(String, AttemptId)>, BenchError> {
    let mut seen = BTreeSet::new();
    for name in names {
        let Some(engine) = fleet.engine(name) else { continue };
        let stats: EngineStats = fleet.stats(engine).await?;
        let began = stats.attempts.into_iter();
        let began = began.filter(|(_, counts)| counts.prefills + counts.decodes > 0);
        seen.extend(began.map(|(attempt, _)| (name.clone(), attempt)));
    }
    Ok(seen)
}
