//! Time series of an experiment's records.

use crate::bench::CallRecord;
use crate::bench::check::{is_in_time, quantile};

/// Throughput and latency of the requests that were sent in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondSummary {
    /// Output tokens of the answers within both latency targets.
    pub goodput_tokens: u64,
    pub sent: usize,
    pub refused: usize,
    pub first_token_p95_ms: f64,
}

/// Summarises the records by the second in which they were sent, starting with the first request.
pub fn by_second(records: &[CallRecord]) -> Vec<SecondSummary> {
    let Some(start) = records.iter().map(|record| record.sent_at_ms).min() else {
        return Vec::new();
    };
    let second = |record: &CallRecord| ((record.sent_at_ms - start) / 1000) as usize;
    let last = records.iter().map(second).max().unwrap_or(0);
    let mut groups: Vec<Vec<&CallRecord>> = vec![Vec::new(); last + 1];
    for record in records {
        groups[second(record)].push(record);
    }
    groups.iter().map(|group| summary(group)).collect()
}

fn summary(group: &[&CallRecord]) -> SecondSummary {
    let first = group.iter().filter_map(|record| record.first_token_ms);
    SecondSummary {
        goodput_tokens: group
            .iter()
            .filter(|record| is_in_time(record))
            .map(|record| record.output_tokens)
            .sum(),
        sent: group.len(),
        refused: group.iter().filter(|record| record.is_refused()).count(),
        first_token_p95_ms: quantile(first.map(|ms| ms as f64).collect(), 0.95),
    }
}
