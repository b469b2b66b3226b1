//! Experiment `slopes-requests`.

use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::bench::check::quantile;
use crate::bench::experiments::slopes::sample::{Sample, measure};
use crate::bench::fleet_document::MODEL;
use crate::bench::{
    AddressResolver, BenchError, Caller, Fleet, FleetBuilder, Options, Prompt, Report, Stream,
    send_load,
};
use crate::engine::{
    DecodeEvent, DecodeRequest, Engine, EngineError, HttpEngine, PrefillRequest, PrefillSource,
    TokenStream,
};
use crate::units::{AttemptId, Incarnation, InstanceId, ModelId, Tokens};

const WARM_UP: Duration = Duration::from_secs(12);
const REQUESTS_PER_S: f64 = 20.0;
const PAIRS: u64 = 60;
/// Prompt words and output tokens of each load. The slopes are the differences between the loads.
const LOADS: [(usize, u64); 3] = [(50, 8), (50, 100), (600, 8)];

/// Measures the gateways' CPU time under light loads of different shapes, and their added latency.
pub async fn run(options: &Options, report: &mut Report) -> Result<(), BenchError> {
    let fleet = FleetBuilder::new(options.programs.clone(), options.deployment)
        .gateways(3)
        .engines(3, 6)
        .slices(1)
        .rates(vec![(10_000_000, 40_000_000); options.deployment.organisations().len()])
        .start()
        .await?;
    tokio::time::sleep(WARM_UP).await;
    let idle = measure(&fleet, options.load).await?;
    idle.add_to(report, "idle");
    // The first load warms the endpoints up; it is reported as `warm-up`.
    for (i, (words, tokens)) in [LOADS[0]].into_iter().chain(LOADS).enumerate() {
        let variant = if i == 0 { "warm-up".into() } else { format!("{words}w-{tokens}t") };
        // Each load has its own seed, since a repeated request id would be refused.
        let seed = options.seed + i as u64;
        measure_load(&fleet, options.load, (words, tokens), seed, &variant, report).await?;
    }
    compare_latency(&fleet, report).await
}

async fn measure_load(
    fleet: &Fleet,
    length: Duration,
    (words, tokens): (usize, u64),
    seed: u64,
    variant: &str,
    report: &mut Report,
) -> Result<(), BenchError> {
    let names = fleet.document.deployment.organisations();
    let streams: Vec<Stream> = names
        .iter()
        .map(|name| Stream {
            prompt_words: (words, words),
            max_tokens: (tokens, tokens),
            ..Stream::new(*name, REQUESTS_PER_S / names.len() as f64)
        })
        .collect();
    let caller = Caller::default();
    let resolver = AddressResolver::new(fleet.addresses());
    let before = Sample::of(fleet).await?;
    let records = send_load(&caller, &resolver, &streams, length, seed).await;
    let after = Sample::of(fleet).await?;
    let requests = records.len().max(1) as f64;
    let complete = records.iter().filter(|record| record.is_complete()).count() as f64;
    let output: u64 = records.iter().map(|record| record.output_tokens).sum();
    let cpu_us = (after.cpu_ns() - before.cpu_ns()) as f64 / 1e3;
    let mut add = |name: &str, value, unit| report.value(variant, name, value, unit);
    add("requests", requests, "requests");
    add("complete", complete, "requests");
    add("output tokens per request", output as f64 / requests, "tokens");
    add("CPU per request, idle included", cpu_us / requests, "us");
    add(
        "peer bytes per request, idle incl.",
        (after.peer_bytes() - before.peer_bytes()) / requests,
        "B",
    );
    for (method, count) in after.peer_calls_since(&before) {
        add(&format!("peer calls {method} per request"), count / requests, "calls");
    }
    after.cost_since(&before).add_to(report, variant);
    Ok(())
}

/// Sends one request at a time, alternately through a gateway and directly to a pair of engines.
async fn compare_latency(fleet: &Fleet, report: &mut Report) -> Result<(), BenchError> {
    let caller = Caller::default();
    let organisation = fleet.document.deployment.organisations()[0];
    let gateway = fleet.gateways[0].address();
    let (mut routed, mut direct) = (Vec::new(), Vec::new());
    let mut failed = 0;
    for i in 0..PAIRS {
        let prompt = Prompt::new(organisation, prompt_text("routed", i), 8);
        let record = caller.complete(gateway, &prompt).await;
        match record.first_token_ms {
            Some(first_ms) if record.is_complete() => routed.push(first_ms as f64),
            _ => failed += 1,
        }
        match call_engines(fleet, i).await {
            Ok(first_ms) => direct.push(first_ms),
            Err(_) => failed += 1,
        }
    }
    report.value("latency", "failed", f64::from(failed), "requests");
    for share in [0.5, 0.95] {
        let (a, b) = (quantile(routed.clone(), share), quantile(direct.clone(), share));
        let percent = share * 100.0;
        report.value("latency", &format!("first token routed p{percent}"), a, "ms");
        report.value("latency", &format!("first token direct p{percent}"), b, "ms");
        report.value("latency", &format!("first token added p{percent}"), a - b, "ms");
    }
    Ok(())
}

/// Sends one request directly to the engines and returns the time to the first token, truncated to
/// milliseconds as in `Caller`.
async fn call_engines(fleet: &Fleet, number: u64) -> Result<f64, EngineError> {
    let prefill_at: SmolStr = fleet.prefill[0].address().clone();
    let attempt = AttemptId {
        instance: InstanceId::new("bench"),
        incarnation: Incarnation(1),
        sequence: number,
    };
    let prompt = prompt_text("direct", number);
    let sent_at = Instant::now();
    let prefill = PrefillRequest {
        attempt: attempt.clone(),
        model: ModelId::new(MODEL),
        prompt: prompt.clone(),
        generated: Vec::new(),
        cache_scope: "bench".into(),
        priority: 0,
    };
    let prefilled = HttpEngine::new(prefill_at.clone()).prefill(&prefill).await?;
    let decode = DecodeRequest {
        attempt,
        model: ModelId::new(MODEL),
        prompt,
        source: Some(PrefillSource { address: prefill_at, handle: prefilled.handle }),
        first_index: 0,
        max_output_tokens: Tokens(8),
        priority: 0,
    };
    let mut stream = HttpEngine::new(fleet.decode[0].address().clone()).decode(&decode).await?;
    let mut first_ms = None;
    while let Some(event) = stream.next().await? {
        if matches!(event, DecodeEvent::Token { .. }) && first_ms.is_none() {
            first_ms = Some(sent_at.elapsed().as_millis() as f64);
        }
    }
    Ok(first_ms.unwrap_or_default())
}

/// Generates prompts of the same length without common prefixes.
fn prompt_text(kind: &str, number: u64) -> String {
    let mut text = format!("{number:04} {kind}");
    for i in 0..100 {
        text.push_str(&format_smolstr!(" word{:03}", (i * 7 + number) % 1000));
    }
    text
}
