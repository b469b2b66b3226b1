//! Black-box checks on the callers' records and on the statistics of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

use crate::bench::report::Bound;
use crate::bench::{BenchError, CallRecord, Ending, Fleet, Report};
use crate::hash::stable_hash;
use crate::standin::{EngineStats, PlainStats, expected_length, expected_token};

/// Engines must have released their KV memory this long after the end of the last request.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(200);

/// Targets for the p95 latency.
pub const FIRST_TOKEN_TARGET_MS: u64 = 340;
pub const BETWEEN_TOKENS_TARGET_MS: f64 = 64.0;

/// Returns the length and the text of the complete, correct answer to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u64) -> (u64, String) {
    let length = expected_length(prompt, max_tokens);
    (length, (0..length).map(|index| expected_token(prompt, index)).collect())
}

/// Whether a request was answered completely and within both latency targets.
pub fn is_in_time(record: &CallRecord) -> bool {
    record.is_complete()
        && record.first_token_ms.is_some_and(|ms| ms <= FIRST_TOKEN_TARGET_MS)
        && record.mean_gap_ms() <= BETWEEN_TOKENS_TARGET_MS
}

/// Adds the bounds that hold for every experiment: no wrong or incomplete answer, no request that
/// ran although it was refused as not run, no duplicate answer, no leaked key and no memory left
/// allocated.
pub async fn check_invariants(
    fleet: &Fleet,
    records: &[CallRecord],
    report: &mut Report,
) -> Result<(), BenchError> {
    let is_wrong = |record: &&CallRecord| {
        let (length, text) = expected_answer(&record.prompt, record.max_tokens);
        record.is_complete() && (record.output_tokens != length || record.text != text)
    };
    let wrong: Vec<&CallRecord> = records.iter().filter(is_wrong).collect();
    for record in wrong.iter().take(3) {
        report.progress(&format!(
            "wrong answer of {} tokens for a limit of {}: {}",
            record.output_tokens, record.max_tokens, record.prompt
        ));
    }
    let none = Bound::AtMost(0.0);
    report.bounded("answers not whole or spliced", wrong.len() as f64, "requests", none);
    check_memory_released(fleet, report).await;
    let mut leaked = 0;
    let mut seen_prompts = BTreeSet::new();
    for engine in fleet.engines() {
        // Stand-ins that the experiment has killed return no statistics.
        if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
            leaked += stats.secrets.with_secret;
            seen_prompts.extend(stats.prompts.into_keys());
        }
    }
    let false_refusals = count_false_refusals(records, &seen_prompts);
    report.bounded("refused as not run but run", false_refusals as f64, "requests", none);
    report.bounded("answered twice", count_duplicate_answers(records) as f64, "requests", none);
    for service in &fleet.plain {
        if let Ok(stats) = fleet.stats::<PlainStats>(service).await {
            leaked += stats.secrets.with_secret;
        }
    }
    report.bounded("keys seen by endpoints", leaked as f64, "requests", none);
    Ok(())
}

/// Counts the prompts that an engine saw although each of their requests was refused as not run.
fn count_false_refusals(records: &[CallRecord], seen_prompts: &BTreeSet<u64>) -> usize {
    let mut never_run: BTreeMap<&str, bool> = BTreeMap::new();
    for record in records {
        let is_not_run =
            matches!(&record.ending, Ending::Refused { outcome, .. } if outcome == "not_run");
        *never_run.entry(&record.prompt).or_insert(true) &= is_not_run;
    }
    let is_false = |prompt: &str| seen_prompts.contains(&stable_hash(prompt));
    never_run.iter().filter(|(prompt, never_run)| **never_run && is_false(prompt)).count()
}

/// Counts the request ids with more than one complete answer.
fn count_duplicate_answers(records: &[CallRecord]) -> usize {
    let mut answers: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for record in records.iter().filter(|record| record.is_complete()) {
        if let Some(request) = &record.request_id {
            *answers.entry((&record.organisation, request)).or_default() += 1;
        }
    }
    answers.values().filter(|count| **count > 1).count()
}

/// Waits up to `RELEASE_LIMIT` for the engines to release all pieces of KV memory.
pub async fn check_memory_released(fleet: &Fleet, report: &mut Report) {
    let deadline = tokio::time::Instant::now() + RELEASE_LIMIT;
    loop {
        let mut held = 0;
        for engine in fleet.engines() {
            if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
                held += stats.used_pieces;
            }
        }
        if held == 0 || tokio::time::Instant::now() >= deadline {
            let none = Bound::AtMost(0.0);
            report.bounded("pieces held 5 s after the end", held as f64, "pieces", none);
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Counts the requests that were cut after their answer had begun.
pub fn count_cut_answers(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| matches!(record.ending, Ending::Cut { .. })).count()
}

/// Returns the largest excess of one organisation's tokens over burst + rate × interval, over all
/// intervals. A request counts in an interval that contains both its sending and its first token,
/// since it was admitted between the two.
pub fn largest_excess(records: &[&CallRecord], rate_tokens_per_s: u64, burst_tokens: u64) -> f64 {
    let admitted: Vec<(u64, u64, u64)> = records
        .iter()
        .filter(|record| record.is_complete())
        .filter_map(|record| {
            let first_token_at_ms = record.sent_at_ms + record.first_token_ms?;
            let tokens = record.prompt_tokens + record.output_tokens;
            Some((record.sent_at_ms, first_token_at_ms, tokens))
        })
        .collect();
    let mut largest = f64::NEG_INFINITY;
    for (from_ms, ..) in &admitted {
        let mut inside: Vec<(u64, u64)> = admitted
            .iter()
            .filter(|(sent, ..)| sent >= from_ms)
            .map(|(_, first, tokens)| (*first, *tokens))
            .collect();
        inside.sort_unstable();
        let mut sum = 0;
        for (until_ms, tokens) in inside {
            sum += tokens;
            let interval_s = (until_ms - from_ms) as f64 / 1000.0;
            let allowed = burst_tokens as f64 + rate_tokens_per_s as f64 * interval_s;
            largest = largest.max(sum as f64 - allowed);
        }
    }
    largest
}

/// Counts the requests by how they ended.
pub fn count_endings<'a>(
    records: impl IntoIterator<Item = &'a CallRecord>,
) -> BTreeMap<SmolStr, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let name = match &record.ending {
            Ending::Complete => "complete".into(),
            Ending::Refused { code, .. } => code.clone(),
            Ending::Cut { code } => format_smolstr!("cut {code}"),
            Ending::NoAnswer => "no answer".into(),
            Ending::Cancelled => "cancelled".into(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

pub fn describe_endings(counts: &BTreeMap<SmolStr, usize>) -> String {
    let parts: Vec<String> = counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    parts.join(", ")
}

/// Returns the smallest value that at least a fraction `share` of the values do not exceed.
pub fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
    values.get(index).copied().unwrap_or(0.0)
}
