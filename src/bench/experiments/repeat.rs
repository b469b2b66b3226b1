//! Experiment `repeat` and `repeat-both`.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::holders::find_budget_holder;
use crate::bench::check::{check_invariants, count_endings, describe_endings};
use crate::bench::report::Bound;
use crate::bench::{BenchError, CallRecord, Caller, Options, Prompt, Report};

/// Requests that have completed when the holder of their ids is killed.
const COMPLETED: usize = 20;
/// Requests that are still running then.
const RUNNING: usize = 10;
const SHORT_TOKENS: u64 = 5;
/// Takes longer than a takeover, at about 25 ms per token.
const LONG_TOKENS: u64 = 300;
const RUNNING_FOR: Duration = Duration::from_secs(1);
/// Includes the takeover and some seconds after it.
const MIN_REPEAT_TIME: Duration = Duration::from_secs(8);
const PAUSE_BETWEEN_REPEATS: Duration = Duration::from_millis(20);

/// Gateways that are killed at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KilledGateways {
    Holder,
    /// The holder and an instance that answers requests whose ids the holder holds.
    HolderAndAnswerer,
}

/// Kills the holder of an organisation's request ids and sends its requests again through the
/// surviving gateways. Ids that only the killed instances knew are lost: their requests run once
/// more.
pub async fn run(
    options: &Options,
    killed: KilledGateways,
    report: &mut Report,
) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).start().await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let organisation = options.deployment.organisations()[1];
    let holder = find_budget_holder(&fleet, organisation).await;
    let mut survivors = fleet.addresses_without(holder);
    let answerers = match killed {
        KilledGateways::Holder => Vec::new(),
        KilledGateways::HolderAndAnswerer => vec![survivors.remove(0)],
    };
    let lost_count = |count| if answerers.is_empty() { 0 } else { count };
    let caller = Caller::default();
    let short = prompts(organisation, "short", COMPLETED, SHORT_TOKENS, &mut random);
    let long = prompts(organisation, "long", RUNNING, LONG_TOKENS, &mut random);
    let lost_short = lost_count(COMPLETED);
    let lost_short = prompts(organisation, "lost-short", lost_short, SHORT_TOKENS, &mut random);
    let lost_long = lost_count(RUNNING);
    let lost_long = prompts(organisation, "lost-long", lost_long, LONG_TOKENS, &mut random);
    let mut records = send_all(&caller, &survivors, &short).await;
    let mut lost = send_all(&caller, &answerers, &lost_short).await;
    let repeats = async {
        tokio::time::sleep(RUNNING_FOR).await;
        let is_killed = |address| !survivors.contains(address);
        fleet.gateways.iter().filter(|g| is_killed(g.address())).for_each(|g| g.kill());
        let prompts = [&short, &long, &lost_short, &lost_long].into_iter().flatten();
        let prompts: Vec<Prompt> = prompts.cloned().collect();
        let mut repeats = repeat(&caller, &survivors, &prompts, options, &mut random).await;
        repeats.extend(send_all(&caller, &survivors, &prompts).await);
        repeats
    };
    let (running, lost_running, repeats) = tokio::join!(
        send_all(&caller, &survivors, &long),
        send_all(&caller, &answerers, &lost_long),
        repeats
    );
    records.extend(running);
    lost.extend(lost_running);
    report.progress(&describe_endings(&count_endings(&records)));
    report.progress(&format!("repeats: {}", describe_endings(&count_endings(&repeats))));
    let complete = records.iter().filter(|record| record.is_complete()).count();
    let expected = Bound::AtLeast((COMPLETED + RUNNING) as f64);
    report.bounded("first tries answered", complete as f64, "requests", expected);
    let recognised =
        repeats.iter().filter(|r| r.is_refused_with("duplicate_request")).count() as f64;
    report.bounded("repeats recognised", recognised, "requests", Bound::AtLeast(1.0));
    if killed == KilledGateways::HolderAndAnswerer {
        report.progress(&format!("lost: {}", describe_endings(&count_endings(&lost))));
        let lost_ids: BTreeSet<_> = lost.iter().map(|record| record.request_id.clone()).collect();
        let answered = repeats.iter().filter(|record| record.is_complete());
        let answered: BTreeSet<_> = answered.map(|record| record.request_id.clone()).collect();
        let answered = answered.intersection(&lost_ids).count() as f64;
        let all = Bound::AtLeast((COMPLETED + RUNNING) as f64);
        report.bounded("ids of dead instances answered again", answered, "requests", all);
    }
    // The tries at the killed instance don't count as answers with the same id.
    let without_id = |record| CallRecord { request_id: None, ..record };
    records.extend(lost.into_iter().map(without_id));
    records.extend(repeats);
    check_invariants(&fleet, &records, report).await
}

/// Generates prompts, each with a request id.
fn prompts(
    organisation: &str,
    name: &str,
    count: usize,
    max_tokens: u64,
    random: &mut StdRng,
) -> Vec<Prompt> {
    let prompt = |number: usize| {
        let text = format!("{name} request {number} {}", random.random::<u64>());
        let mut prompt = Prompt::new(organisation, text, max_tokens);
        prompt.request_id = Some(format!("{name}-{number}").into());
        prompt
    };
    (0..count).map(prompt).collect()
}

/// Sends each prompt once, spread evenly over the gateways, and waits for all answers.
async fn send_all(caller: &Caller, gateways: &[SmolStr], prompts: &[Prompt]) -> Vec<CallRecord> {
    let mut requests = JoinSet::new();
    for (i, prompt) in prompts.iter().cloned().enumerate() {
        let (caller, address) = (caller.clone(), gateways[i % gateways.len()].clone());
        requests.spawn_local(async move { caller.complete(&address, &prompt).await });
    }
    requests.join_all().await
}

async fn repeat(
    caller: &Caller,
    gateways: &[SmolStr],
    prompts: &[Prompt],
    options: &Options,
    random: &mut StdRng,
) -> Vec<CallRecord> {
    let records = Rc::new(RefCell::new(Vec::new()));
    let mut requests = JoinSet::new();
    let end = Instant::now() + options.load.max(MIN_REPEAT_TIME);
    while Instant::now() < end {
        let prompt = prompts[random.random_range(0..prompts.len())].clone();
        let address = gateways[random.random_range(0..gateways.len())].clone();
        let (caller, records) = (caller.clone(), Rc::clone(&records));
        requests.spawn_local(async move {
            let record = caller.complete(&address, &prompt).await;
            records.borrow_mut().push(record);
        });
        tokio::time::sleep(PAUSE_BETWEEN_REPEATS).await;
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    records.take()
}
