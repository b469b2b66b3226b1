use std::cell::RefCell;
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

/// Requests that have completed, and that still run, when the holder of their ids dies.
const COMPLETED: usize = 20;
const RUNNING: usize = 10;
const SHORT_TOKENS: u64 = 5;
/// Longer than a takeover, at some 25 ms a token.
const LONG_TOKENS: u64 = 300;
const RUNNING_FOR: Duration = Duration::from_secs(1);
/// Covers the takeover and some seconds after it.
const SHORTEST_REPEATS: Duration = Duration::from_secs(8);
const PAUSE_BETWEEN_REPEATS: Duration = Duration::from_millis(20);

/// Kills the holder of an organisation's request ids and sends its requests again through the
/// other gateways.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = super::small_fleet(options).start().await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let organisation = options.deployment.organisations()[1];
    let holder = find_budget_holder(&fleet, organisation).await;
    let survivors = fleet.addresses_without(holder);
    let caller = Caller::default();
    let short = prompts(organisation, "short", COMPLETED, SHORT_TOKENS, &mut random);
    let long = prompts(organisation, "long", RUNNING, LONG_TOKENS, &mut random);
    let mut records = send_all(&caller, &survivors, &short).await;
    let originals = async {
        tokio::join!(send_all(&caller, &survivors, &long), async {
            tokio::time::sleep(RUNNING_FOR).await;
            fleet.gateways[holder].kill();
            let prompts: Vec<Prompt> = short.iter().chain(&long).cloned().collect();
            repeat(&caller, &survivors, &prompts, options, &mut random).await
        })
    };
    let (running, repeats) = originals.await;
    records.extend(running);
    report.progress(&describe_endings(&count_endings(&records)));
    report.progress(&format!("repeats: {}", describe_endings(&count_endings(&repeats))));
    let complete = records.iter().filter(|record| record.is_complete()).count();
    let expected = Bound::AtLeast((COMPLETED + RUNNING) as f64);
    report.bounded("first tries answered", complete as f64, "requests", expected);
    let recognised =
        repeats.iter().filter(|r| r.is_refused_with("duplicate_request")).count() as f64;
    report.bounded("repeats recognised", recognised, "requests", Bound::AtLeast(1.0));
    records.extend(repeats);
    check_invariants(&fleet, &records, report).await
}

/// Prompts with the full number of tokens, each with a request id.
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

/// Sends each prompt once, spread over the gateways, and waits for all answers.
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
    let end = Instant::now() + options.load.max(SHORTEST_REPEATS);
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
