//! Experiment `withdraw`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::check::{check_invariants, count_endings, describe_endings};
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::retry::StopFlag;
use crate::bench::{BenchError, CallRecord, Caller, Options, Report, Stream, generate_prompt};

/// A revoked key must be refused by all gateways within this time.
const REVOCATION_LIMIT_MS: u64 = 3_000;
/// The load continues for this time after the last key is revoked.
const LOAD_AFTER_REVOCATION: Duration = Duration::from_secs(5);
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(20);
/// Delay between the starts of the callers. Starting all at once would exceed the limits of engines
/// that have just started, and the pool owner would rightly refuse some requests.
const PAUSE_BETWEEN_CALLERS: Duration = Duration::from_millis(60);
/// Number of organisations whose keys are revoked; the others must not be affected.
const REVOKED_KEYS: usize = 3;

/// Revokes keys while their callers send requests without pause over connections to all gateways.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).start().await?;
    let organisations = options.deployment.organisations();
    let caller = Caller::default();
    let records = Rc::new(RefCell::new(Vec::new()));
    let stop_flag = StopFlag::default();
    let mut callers = JoinSet::new();
    let started_at = Instant::now();
    for (i, organisation) in organisations.iter().enumerate() {
        for (j, address) in fleet.addresses().into_iter().enumerate() {
            let mut stream = Stream::new(*organisation, 1.0);
            stream.prompt_words = (20, 60);
            stream.max_tokens = (5, 30);
            let seed = options.seed ^ (((i * 100 + j) as u64 + 1) << 32);
            let (records, stop_flag) = (Rc::clone(&records), stop_flag.clone());
            let sent =
                send_without_pause(caller.clone(), address, stream, seed, stop_flag, records);
            let begin = started_at + PAUSE_BETWEEN_CALLERS * callers.len() as u32;
            callers.spawn_local(async move {
                tokio::time::sleep_until(begin).await;
                sent.await;
            });
        }
    }
    let mut revocations: Vec<(SmolStr, u64)> = Vec::new();
    let addresses = fleet.addresses();
    for (i, organisation) in organisations.iter().take(REVOKED_KEYS).enumerate() {
        let at = options.load / (REVOKED_KEYS as u32 + 1) * (i as u32 + 1);
        tokio::time::sleep_until(started_at + at).await;
        let path = format!("organisations/{organisation}/keys/main");
        fleet.admin(&addresses[i], Method::DELETE, &path, Default::default()).await?;
        revocations.push(((*organisation).into(), caller.elapsed_ms()));
    }
    tokio::time::sleep_until(
        (started_at + options.load).max(Instant::now() + LOAD_AFTER_REVOCATION),
    )
    .await;
    stop_flag.stop();
    while callers.join_next().await.is_some() {}
    let records = records.take();
    report.progress(&describe_endings(&count_endings(&records)));
    report_revocations(&records, &revocations, report);
    check_invariants(&fleet, &records, report).await
}

async fn send_without_pause(
    caller: Caller,
    address: SmolStr,
    stream: Stream,
    seed: u64,
    stop_flag: StopFlag,
    records: Rc<RefCell<Vec<CallRecord>>>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    for number in 1.. {
        if stop_flag.is_stopped() {
            return;
        }
        let prompt = generate_prompt(&stream, number, &mut random);
        let record = caller.complete(&address, &prompt).await;
        records.borrow_mut().push(record);
        tokio::time::sleep(PAUSE_BETWEEN_REQUESTS).await;
    }
}

fn report_revocations(records: &[CallRecord], revocations: &[(SmolStr, u64)], report: &mut Report) {
    let none = Bound::AtMost(0.0);
    let is_unknown = |record: &CallRecord| record.is_refused_with("unknown_key");
    let (mut late, mut longest_ms, mut tested) = (0, 0, 0);
    for (organisation, at_ms) in revocations {
        let of_organisation = records.iter().filter(|r| r.organisation == *organisation);
        for record in of_organisation.filter(|record| record.sent_at_ms > *at_ms) {
            let after_ms = record.sent_at_ms - at_ms;
            tested += usize::from(after_ms > REVOCATION_LIMIT_MS);
            if is_unknown(record) {
                continue;
            }
            longest_ms = longest_ms.max(after_ms);
            late += usize::from(after_ms > REVOCATION_LIMIT_MS);
        }
    }
    let revoked_at =
        |name: &SmolStr| revocations.iter().find(|(other, _)| other == name).map(|(_, at)| *at);
    let failed = records.iter().filter(|record| match revoked_at(&record.organisation) {
        // The key may be refused everywhere shortly before the operator gets the response.
        Some(_) => !record.is_complete() && !is_unknown(record),
        None => !record.is_complete(),
    });
    let failed: Vec<&CallRecord> = failed.collect();
    for record in failed.iter().take(5) {
        report.progress(&record.to_string());
    }
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.bounded("withdrawn keys", revocations.len() as f64, "keys", Bound::AtLeast(1.0));
    let some = Bound::AtLeast(1.0);
    report.bounded("requests sent over 3 s after", tested as f64, "requests", some);
    report.bounded("of them not refused for their key", late as f64, "requests", none);
    report.value(PRODUCT, "last request accepted after", longest_ms as f64, "ms");
    report.bounded("other requests cut or refused", failed.len() as f64, "requests", none);
}
