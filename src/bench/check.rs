//! Checks from outside: what callers got and what the stand-ins saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};

use crate::bench::report::Bound;
use crate::bench::{BenchError, CallRecord, Ending, Fleet, Report};
use crate::hash::stable_hash;
use crate::standin::{EngineStats, PlainStats, expected_length, expected_token};

/// Memory must be free this long after the last request's end.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(200);

/// Latency targets for 95 in 100 requests.
pub const FIRST_TOKEN_TARGET_MS: u64 = 340;
pub const BETWEEN_TOKENS_TARGET_MS: f64 = 64.0;

/// The answer that a whole and correct one must equal.
pub fn expected_answer(prompt: &str, max_tokens: u64) -> (u64, String) {
    let length = expected_length(prompt, max_tokens);
    (length, (0..length).map(|index| expected_token(prompt, index)).collect())
}

/// Whether a request's answer met both latency targets.
pub fn is_in_time(record: &CallRecord) -> bool {
    record.is_complete()
        && record.first_token_ms.is_some_and(|ms| ms <= FIRST_TOKEN_TARGET_MS)
        && record.mean_gap_ms() <= BETWEEN_TOKENS_TARGET_MS
}

/// Adds the bounds that hold for every experiment: whole answers, true refusals, no leaked key,
/// no repeated answer, no memory held.
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
        // A stand-in that an experiment killed has no statistics.
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

/// Prompts that an engine saw although each of their requests was refused as not run.
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

/// Request ids under which callers got more than one whole answer.
fn count_duplicate_answers(records: &[CallRecord]) -> usize {
    let mut answers: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for record in records.iter().filter(|record| record.is_complete()) {
        if let Some(request) = &record.request_id {
            *answers.entry((&record.organisation, request)).or_default() += 1;
        }
    }
    answers.values().filter(|count| **count > 1).count()
}

/// Waits up to the limit for the engines to hold nothing.
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

/// Requests that were cut after their answer had begun.
pub fn count_cut_answers(records: &[CallRecord]) -> usize {
    records.iter().filter(|record| matches!(record.ending, Ending::Cut { .. })).count()
}

/// Largest excess of one organisation's tokens over burst + rate × interval, over all intervals.
/// A request counts in an interval that contains its sending and its first token, since it was
/// certainly admitted between the two.
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

/// How often requests ended in each way.
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

/// The value below which `share` of the values lie.
pub fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
    values.get(index).copied().unwrap_or(0.0)
}
