//! Experiment `cancel`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::bench::check::check_invariants;
use crate::bench::report::{Bound, PRODUCT};
use crate::bench::{
    AddressResolver, BenchError, CallRecord, Caller, Ending, Fleet, FleetBuilder, Options, Prompt,
    Report, Stream, generate_prompt,
};

const REQUESTS_PER_S: f64 = 8.0;
/// Every third request is cancelled by its caller.
const CANCEL_EVERY: u64 = 3;
const MAX_CANCEL_DELAY_MS: u64 = 400;
/// Rate and burst of the organisation that checks the refunds: each of its requests is charged over
/// 500 tokens and uses about 50, so that the rate suffices only if the rest is refunded.
const SMALL_RATE: (u64, u64) = (400, 3_000);
const SMALL_REQUESTS_PER_S: u32 = 4;
const SMALL_REQUESTS: u32 = 24;
const SMALL_MAX_TOKENS: u64 = 512;
/// After this time the grants of killed gateways are written off and the bucket is full again.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Cancels a third of the requests at random times and kills gateways, then checks that the unused
/// tokens were refunded.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let organisations = options.deployment.organisations();
    let mut rates = vec![(1_000_000, 4_000_000); organisations.len()];
    rates[4] = SMALL_RATE;
    let mut fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(3)
        .engines(2, 4)
        .plain_services(1)
        .slices(2)
        .rates(rates)
        .start()
        .await?;
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let load = send_with_cancellations(&caller, &resolver, organisations[0], options);
    let (mut records, replaced) = tokio::join!(load, kill_gateways(&mut fleet, options.load));
    replaced?;
    let cancelled = records.iter().filter(|record| record.ending == Ending::Cancelled).count();
    report.value(PRODUCT, "requests", records.len() as f64, "requests");
    report.value(PRODUCT, "callers that left", cancelled as f64, "requests");
    check_invariants(&fleet, &records, report).await?;
    sleep(SETTLE_TIME).await;
    let resolver = AddressResolver::new(fleet.addresses());
    records = send_within_small_rate(&caller, &resolver, organisations[4], options.seed).await;
    for record in records.iter().filter(|r| r.ending != Ending::Cancelled).take(5) {
        report.progress(&format!("within rate: {:?}", record.ending));
    }
    let refused = records.iter().filter(|record| record.is_refused()).count();
    report.value(PRODUCT, "requests within rate", records.len() as f64, "requests");
    report.bounded("refused within rate", refused as f64, "requests", Bound::AtMost(0.0));
    Ok(())
}

async fn kill_gateways(fleet: &mut Fleet, load: Duration) -> Result<(), BenchError> {
    for index in [0, 1] {
        sleep(load / 3).await;
        fleet.gateways[index].kill();
        fleet.gateways[index].wait().await;
        fleet.replace_gateway(index).await?;
    }
    Ok(())
}

async fn send_with_cancellations(
    caller: &Caller,
    resolver: &AddressResolver,
    organisation: &str,
    options: &Options,
) -> Vec<CallRecord> {
    let stream = Stream::new(organisation, REQUESTS_PER_S);
    let mut random = StdRng::seed_from_u64(options.seed);
    let records = Rc::new(RefCell::new(Vec::new()));
    let mut requests = JoinSet::new();
    let count = (options.load.as_secs_f64() * REQUESTS_PER_S) as u64;
    for number in 0..count {
        sleep(Duration::from_secs_f64(1.0 / REQUESTS_PER_S)).await;
        let mut prompt = generate_prompt(&stream, number, &mut random);
        let mut cancel_delay = None;
        if number.is_multiple_of(CANCEL_EVERY) {
            if random.random() {
                cancel_delay =
                    Some(Duration::from_millis(random.random_range(0..MAX_CANCEL_DELAY_MS)));
            } else {
                prompt.cancel_after_tokens = Some(random.random_range(1..30));
            }
        }
        let choice = random.random();
        let (caller, resolver, records) = (caller.clone(), resolver.clone(), Rc::clone(&records));
        requests.spawn_local(async move {
            let address = resolver.choose(choice).await;
            let call = caller.complete(&address, &prompt);
            // A call that is cancelled by its timeout leaves no record.
            let record = match cancel_delay {
                Some(cancel_delay) => timeout(cancel_delay, call).await.ok(),
                None => Some(call.await),
            };
            records.borrow_mut().extend(record);
        });
    }
    while requests.join_next().await.is_some() {}
    records.take()
}

/// Sends requests that are cancelled after two tokens. They use half of the organisation's rate.
async fn send_within_small_rate(
    caller: &Caller,
    resolver: &AddressResolver,
    organisation: &str,
    seed: u64,
) -> Vec<CallRecord> {
    let stream = Stream {
        prompt_words: (48, 50),
        max_tokens: (SMALL_MAX_TOKENS, SMALL_MAX_TOKENS),
        ..Stream::new(organisation, f64::from(SMALL_REQUESTS_PER_S))
    };
    let mut random = StdRng::seed_from_u64(seed ^ 0x5ca1e);
    let mut records = Vec::new();
    for number in 0..SMALL_REQUESTS {
        sleep(Duration::from_secs(1) / SMALL_REQUESTS_PER_S).await;
        let address = resolver.choose(random.random()).await;
        let drawn = generate_prompt(&stream, u64::from(number), &mut random);
        let text = format_smolstr!("small {}", drawn.text);
        let prompt = Prompt { cancel_after_tokens: Some(2), text: text.into(), ..drawn };
        records.push(caller.complete(&address, &prompt).await);
    }
    records
}
