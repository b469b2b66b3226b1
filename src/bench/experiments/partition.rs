//! Experiment `partition` and its variants.

use std::time::Duration;

use hyper::Method;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::holders::find_budget_holder;
use crate::bench::check::{check_invariants, count_endings, describe_endings, largest_excess};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    BenchError, CallRecord, Caller, Fleet, Node, Options, Prompt, Report, Target, send_load_to,
};

/// Limit of the takeover from an owner in the acceptance thresholds.
const TAKEOVER_LIMIT_MS: u64 = 5_000;
const REVOCATION_LIMIT_MS: u64 = 3_000;
const IN_FORCE_LIMIT_MS: f64 = 3_000.0;
/// Less than 0.5% of the requests within rate may be refused.
const MIN_SERVED_SHARE: f64 = 0.995;
const LOAD_BEFORE: Duration = Duration::from_secs(2);
/// Includes some seconds after the takeover.
const MIN_CUT_TIME: Duration = Duration::from_secs(9);
const LOAD_AFTER: Duration = Duration::from_secs(8);
const REVOCATION_DELAY: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(100);
/// Rate and burst of the first organisation, which exceeds its rate on both sides of the partition.
const LIMITED_RATE: (u64, u64) = (300, 1_000);
const UNLIMITED_RATE: (u64, u64) = (1_000_000, 4_000_000);
const SHOWN_FAILURES: usize = 5;

/// Which processes are cut off from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Two of five gateways from the others and from the platform.
    Minority,
    /// Two of five gateways from the others; all reach the platform.
    Peers,
    /// One gateway from the platform.
    Platform,
}

impl PartitionKind {
    fn minority(self) -> usize {
        match self {
            PartitionKind::Minority | PartitionKind::Peers => 2,
            PartitionKind::Platform => 1,
        }
    }
}

/// The gateways that were cut off and the times of the events, in milliseconds of the caller's
/// clock.
struct Events {
    minority: Vec<usize>,
    started_at_ms: u64,
    ended_at_ms: u64,
    revoked_at_ms: u64,
    in_force_ms: f64,
}

/// Phase of the experiment in which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A takeover may still be in progress.
    FirstSeconds,
    TakenOver,
    Restored,
}

/// Groups of requests: name, phase, and whether their gateways are cut off (`None` for both).
const REQUEST_GROUPS: [(&str, Phase, Option<bool>); 5] = [
    ("answered in the first 5 s, majority", Phase::FirstSeconds, Some(false)),
    ("answered in the first 5 s, cut off", Phase::FirstSeconds, Some(true)),
    ("answered 5 s into the cut, majority", Phase::TakenOver, Some(false)),
    ("answered 5 s into the cut, cut off", Phase::TakenOver, Some(true)),
    ("answered 5 s after the cut", Phase::Restored, None),
];

impl Phase {
    fn of(record: &CallRecord, events: &Events) -> Option<Phase> {
        let taken_over_ms = events.started_at_ms + TAKEOVER_LIMIT_MS;
        match record.sent_at_ms {
            at if (events.started_at_ms..taken_over_ms).contains(&at) => Some(Phase::FirstSeconds),
            at if (taken_over_ms..events.ended_at_ms).contains(&at) => Some(Phase::TakenOver),
            at if at > events.ended_at_ms + TAKEOVER_LIMIT_MS => Some(Phase::Restored),
            _ => None,
        }
    }
}

/// Spreads requests evenly over all gateways, regardless of the weights that the gateways return.
#[derive(Clone)]
pub(super) struct AllGateways {
    pub caller: Caller,
    pub addresses: Vec<SmolStr>,
}

impl Target for AllGateways {
    async fn complete(&self, prompt: &Prompt, random: u32) -> CallRecord {
        let address = &self.addresses[random as usize % self.addresses.len()];
        self.caller.complete(address, prompt).await
    }
}

/// Cuts gateways off under load, revokes a key during the partition, and restores the paths.
pub async fn run(
    options: &Options,
    kind: PartitionKind,
    report: &mut Report,
) -> Result<(), BenchError> {
    let organisations = options.deployment.organisations();
    let mut rates = vec![UNLIMITED_RATE; organisations.len()];
    rates[0] = LIMITED_RATE;
    let fleet = super::small_fleet(options).relayed().rates(rates).start().await?;
    let mut streams = super::light_load(options, 20.0);
    streams[0].requests_per_s *= 2.0;
    let caller = Caller::default();
    let target = AllGateways { caller: caller.clone(), addresses: fleet.addresses() };
    let length = options.load.max(MIN_CUT_TIME);
    let versions = watch_versions(&fleet);
    let load = send_load_to(&target, &streams, LOAD_BEFORE + length + LOAD_AFTER, options.seed);
    let (records, events) =
        tokio::join!(load, cut_and_restore(&fleet, kind, length, &caller, report));
    let events = events?;
    let reverted = versions.stop().await;
    let revoked = organisations[organisations.len() - 1];
    report.progress(&describe_endings(&count_endings(&records)));
    report_configuration(&records, &events, revoked, reverted, report);
    let within_rate = |record: &&CallRecord| {
        record.organisation != organisations[0] && record.organisation != revoked
    };
    let within_rate: Vec<&CallRecord> = records.iter().filter(within_rate).collect();
    report_service(&within_rate, &fleet, &events, kind, report);
    let limited: Vec<&CallRecord> =
        records.iter().filter(|record| record.organisation == organisations[0]).collect();
    let excess = largest_excess(&limited, LIMITED_RATE.0, LIMITED_RATE.1);
    report.bounded("tokens above burst + rate x interval", excess, "tokens", Bound::AtMost(0.0));
    check_invariants(&fleet, &records, report).await
}

async fn cut_and_restore(
    fleet: &Fleet,
    kind: PartitionKind,
    length: Duration,
    caller: &Caller,
    report: &Report,
) -> Result<Events, BenchError> {
    tokio::time::sleep(LOAD_BEFORE).await;
    let minority = choose_minority(fleet, kind).await;
    let majority: Vec<usize> =
        (0..fleet.gateways.len()).filter(|index| !minority.contains(index)).collect();
    let nodes = |side: &[usize]| side.iter().copied().map(Node::Gateway).collect::<Vec<_>>();
    if kind != PartitionKind::Platform {
        fleet.blocked_paths.block_between(&nodes(&minority), &nodes(&majority));
    }
    if kind != PartitionKind::Peers {
        fleet.blocked_paths.block_between(&nodes(&minority), &[Node::Platform]);
    }
    let started_at_ms = caller.elapsed_ms();
    let end = Instant::now() + length;
    report.progress(&format!("{started_at_ms} ms: cut off gateways {minority:?}"));
    tokio::time::sleep(REVOCATION_DELAY).await;
    let addresses = fleet.addresses();
    let organisation = *fleet.document.deployment.organisations().last().unwrap_or(&"");
    let path = format!("organisations/{organisation}/keys/main");
    fleet.admin(&addresses[majority[0]], Method::DELETE, &path, Default::default()).await?;
    let revoked_at_ms = caller.elapsed_ms();
    let status = fleet.status(&addresses[majority[0]]).await?;
    tokio::time::sleep_until(end).await;
    fleet.blocked_paths.unblock_all();
    let ended_at_ms = caller.elapsed_ms();
    report.progress(&format!("{ended_at_ms} ms: restored"));
    let in_force_ms = wait_for_version(fleet, status["version"].as_u64()).await;
    Ok(Events { minority, started_at_ms, ended_at_ms, revoked_at_ms, in_force_ms })
}

/// Returns the holder of the limited organisation's budget and the gateways that follow it.
async fn choose_minority(fleet: &Fleet, kind: PartitionKind) -> Vec<usize> {
    let organisation = fleet.document.deployment.organisations()[0];
    let first = find_budget_holder(fleet, organisation).await;
    let count = fleet.gateways.len();
    (first..first + kind.minority()).map(|index| index % count).collect()
}

/// Returns the milliseconds until every gateway has the version in force.
async fn wait_for_version(fleet: &Fleet, version: Option<u64>) -> f64 {
    let started_at = Instant::now();
    if !fleet.wait_for_version(&fleet.addresses(), version, started_at + LOAD_AFTER).await {
        return f64::INFINITY;
    }
    started_at.elapsed().as_millis() as f64
}

/// Polls the version in force on every gateway and counts how often one went back.
struct VersionWatch {
    pollers: JoinSet<usize>,
    stop: tokio::sync::watch::Sender<bool>,
}

fn watch_versions(fleet: &Fleet) -> VersionWatch {
    let stop = tokio::sync::watch::Sender::new(false);
    let mut pollers = JoinSet::new();
    for address in fleet.addresses() {
        let stopped = stop.subscribe();
        pollers.spawn_local(async move {
            let (mut highest, mut reverted) = (0, 0);
            while !*stopped.borrow() {
                if let Ok(status) = Fleet::status_of(&address).await {
                    let version = status["version"].as_u64().unwrap_or_default();
                    reverted += usize::from(version < highest);
                    highest = highest.max(version);
                }
                tokio::time::sleep(POLL).await;
            }
            reverted
        });
    }
    VersionWatch { pollers, stop }
}

impl VersionWatch {
    async fn stop(mut self) -> usize {
        self.stop.send_replace(true);
        let mut reverted = 0;
        while let Some(poller) = self.pollers.join_next().await {
            reverted += poller.unwrap_or_default();
        }
        reverted
    }
}

fn report_configuration(
    records: &[CallRecord],
    events: &Events,
    revoked: &str,
    reverted: usize,
    report: &mut Report,
) {
    let late_ms = events.revoked_at_ms + REVOCATION_LIMIT_MS;
    let of_revoked = records.iter().filter(|record| record.organisation == revoked);
    let late: Vec<&CallRecord> = of_revoked.filter(|record| record.sent_at_ms > late_ms).collect();
    let accepted = late.iter().filter(|record| !record.is_refused()).count();
    let none = Bound::AtMost(0.0);
    let some = Bound::AtLeast(1.0);
    report.bounded("requests sent over 3 s after", late.len() as f64, "requests", some);
    report.bounded("of them accepted", accepted as f64, "requests", none);
    report.bounded("versions that went back", reverted as f64, "versions", none);
    let limit = Bound::AtMost(IN_FORCE_LIMIT_MS);
    report.bounded("edit in force after the cut", events.in_force_ms, "ms", limit);
}

/// Reports the share of answered requests of each group.
fn report_service(
    records: &[&CallRecord],
    fleet: &Fleet,
    events: &Events,
    kind: PartitionKind,
    report: &mut Report,
) {
    let cut_off: Vec<&SmolStr> =
        events.minority.iter().map(|index| fleet.gateways[*index].address()).collect();
    for (name, phase, side) in REQUEST_GROUPS {
        let is_on_side = |record: &CallRecord| {
            side.is_none_or(|wanted| wanted == cut_off.contains(&&record.address))
        };
        let counted: Vec<&&CallRecord> = records
            .iter()
            .filter(|record| Phase::of(record, events) == Some(phase) && is_on_side(record))
            .collect();
        for record in counted.iter().filter(|record| !record.is_complete()).take(SHOWN_FAILURES) {
            report.progress(&format!("{name}: {record}"));
        }
        let complete = counted.iter().filter(|record| record.is_complete()).count();
        let share = complete as f64 / counted.len().max(1) as f64;
        // Gateways that reach neither peers nor the platform must refuse requests. If only peers
        // are unreachable, neither side reaches the shard owners of the other side.
        let is_bounded = match (kind, phase) {
            (PartitionKind::Platform, _) | (_, Phase::Restored) => true,
            (PartitionKind::Minority, Phase::TakenOver) => side == Some(false),
            _ => false,
        };
        if is_bounded {
            report.bounded(name, share, "share", Bound::AtLeast(MIN_SERVED_SHARE));
        } else {
            report.value(PRODUCT, name, share, "share");
        }
    }
}
