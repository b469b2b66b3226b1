//! Load and measurements that several experiments share.

use std::time::Duration;

use crate::bench::check::is_in_time;
use crate::bench::{CallRecord, Options, Stream};
use crate::standin::expected_length;

/// Experiments with steady load measure after this time: a pool of cold endpoints reaches its full
/// limits 5 to 6 s after the start of the load.
pub const WARM_UP: Duration = Duration::from_secs(8);
/// Shares of the organisations in the load; a few organisations are large.
const SHARES: [f64; 5] = [0.4, 0.3, 0.15, 0.1, 0.05];

/// Returns a load of all organisations of the deployment.
pub fn streams_of(options: &Options, total_per_s: f64) -> Vec<Stream> {
    let organisations = options.deployment.organisations();
    let streams = organisations.iter().zip(SHARES);
    streams.map(|(name, share)| Stream::new(*name, total_per_s * share)).collect()
}

/// Returns the records of the requests sent at least `after` later than the first one.
pub fn since(records: &[CallRecord], after: Duration) -> Vec<CallRecord> {
    let start = records.iter().map(|record| record.sent_at_ms).min().unwrap_or(0);
    let from = start + after.as_millis() as u64;
    records.iter().filter(|record| record.sent_at_ms >= from).cloned().collect()
}

/// Returns the share of requests within both latency targets.
pub fn in_time_share(records: &[CallRecord]) -> f64 {
    let in_time = records.iter().filter(|record| is_in_time(record)).count();
    in_time as f64 / records.len().max(1) as f64
}

/// Returns the output tokens of the answers within both targets as a share of the offered tokens.
/// The offered load is below the engines' capacity.
pub fn goodput_share(records: &[CallRecord]) -> f64 {
    let in_time = records.iter().filter(|record| is_in_time(record));
    let tokens: u64 = in_time.map(|record| record.output_tokens).sum();
    tokens as f64 / offered_tokens(records).max(1) as f64
}

/// Returns the output tokens of the complete answers as a share of the offered tokens.
pub fn served_share(records: &[CallRecord]) -> f64 {
    let complete = records.iter().filter(|record| record.is_complete());
    let tokens: u64 = complete.map(|record| record.output_tokens).sum();
    tokens as f64 / offered_tokens(records).max(1) as f64
}

fn offered_tokens(records: &[CallRecord]) -> u64 {
    records.iter().map(|record| expected_length(&record.prompt, record.max_tokens)).sum()
}
