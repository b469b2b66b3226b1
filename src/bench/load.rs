use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::{AddressResolver, CallRecord, Caller, Prompt};

/// Open-loop load of one organisation: requests arrive as a Poisson process, regardless of how
/// earlier ones end.
#[derive(Clone, Debug)]
pub struct Stream {
    pub organisation: SmolStr,
    pub requests_per_s: f64,
    /// Range of prompt lengths in words.
    pub prompt_words: (usize, usize),
    /// Range of the limits on output tokens.
    pub max_tokens: (u64, u64),
    pub path: &'static str,
    /// Share of prompts that start with one of `COMMON_PREFIXES` prefixes.
    pub common_prefix_share: f64,
}

impl Stream {
    pub fn new(organisation: impl Into<SmolStr>, requests_per_s: f64) -> Stream {
        Stream {
            organisation: organisation.into(),
            requests_per_s,
            prompt_words: (50, 600),
            max_tokens: (40, 160),
            path: "/v1/completions",
            common_prefix_share: 0.3,
        }
    }
}

const COMMON_PREFIXES: u32 = 5;
const WORDS: [&str; 12] = [
    "linen",
    "waist",
    "hem",
    "window",
    "mannequin",
    "sleeve",
    "mill",
    "dye",
    "lot",
    "yarn",
    "loom",
    "audit",
];

/// A system under test that answers the requests of a load.
#[allow(async_fn_in_trait)]
pub trait Target: Clone + 'static {
    /// Sends one request; `random` selects the instance.
    async fn complete(&self, prompt: &Prompt, random: u32) -> CallRecord;
}

/// The gateways, selected by the weights that they return to callers.
#[derive(Clone)]
pub struct Gateways {
    pub caller: Caller,
    pub resolver: AddressResolver,
}

impl Target for Gateways {
    async fn complete(&self, prompt: &Prompt, random: u32) -> CallRecord {
        let address = self.resolver.choose(random).await;
        self.caller.complete(&address, prompt).await
    }
}

/// Sends the streams' requests for `length` and returns the records of all requests once they have
/// ended.
pub async fn send_load(
    caller: &Caller,
    resolver: &AddressResolver,
    streams: &[Stream],
    length: Duration,
    seed: u64,
) -> Vec<CallRecord> {
    let gateways = Gateways { caller: caller.clone(), resolver: resolver.clone() };
    send_load_to(&gateways, streams, length, seed).await
}

/// Sends the streams' requests to a target. The same seed generates the same requests.
pub async fn send_load_to<T: Target>(
    target: &T,
    streams: &[Stream],
    length: Duration,
    seed: u64,
) -> Vec<CallRecord> {
    let records = Rc::new(RefCell::new(Vec::new()));
    let mut senders = JoinSet::new();
    for (i, stream) in streams.iter().enumerate() {
        let random = StdRng::seed_from_u64(seed ^ ((i as u64 + 1) << 32));
        senders.spawn_local(send_stream(
            target.clone(),
            stream.clone(),
            length,
            random,
            Rc::clone(&records),
        ));
    }
    while senders.join_next().await.is_some() {}
    records.take()
}

async fn send_stream<T: Target>(
    target: T,
    stream: Stream,
    length: Duration,
    mut random: StdRng,
    records: Rc<RefCell<Vec<CallRecord>>>,
) {
    let mut requests = JoinSet::new();
    let mut at = Instant::now();
    let end = at + length;
    let mut number = 0;
    loop {
        let gap_s = -(1.0 - random.random::<f64>()).ln() / stream.requests_per_s;
        at += Duration::from_secs_f64(gap_s);
        if at >= end {
            break;
        }
        tokio::time::sleep_until(at).await;
        number += 1;
        let prompt = generate_prompt(&stream, number, &mut random);
        let choice = random.random();
        let (target, records) = (target.clone(), Rc::clone(&records));
        requests.spawn_local(async move {
            let record = target.complete(&prompt, choice).await;
            records.borrow_mut().push(record);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// Generates a prompt that is unique, so that the checks can tell requests apart.
pub fn generate_prompt(stream: &Stream, number: u64, random: &mut StdRng) -> Prompt {
    let words = random.random_range(stream.prompt_words.0..=stream.prompt_words.1);
    let mut text = String::new();
    if random.random_bool(stream.common_prefix_share) {
        let prefix = random.random_range(0..COMMON_PREFIXES);
        for i in 0..words / 2 {
            let word = WORDS[(prefix as usize * 5 + i * 7) % WORDS.len()];
            text.push_str(&format_smolstr!("{word}{prefix} "));
        }
    }
    text.push_str(&format_smolstr!("request {} {number} ", random.random::<u32>()));
    for _ in text.split(' ').count()..words {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    let max_tokens = random.random_range(stream.max_tokens.0..=stream.max_tokens.1);
    let mut prompt = Prompt::new(stream.organisation.clone(), text.trim_end(), max_tokens);
    prompt.path = stream.path;
    prompt.request_id = Some(format_smolstr!("{:016x}", random.random::<u64>()));
    prompt
}
