//! Decides when refused callers come back. Answers the second wave after a burst: callers that are
//! refused together and return together are refused again.

use crate::admission::{Rank, ServiceDemand};

/// Time over which refused requests are counted as coming back; that of the average of their rate.
const REFUSED_S: f64 = 2.0;
/// Lowest drain rate that is assumed. Without any admission the drain is not known.
const MIN_DRAIN_TOKENS_PER_S: f64 = 1.0;

/// Returns after how many ms a refused caller should return. Callers are spread over the time in
/// which the engines serve those that were refused, the more urgent first: `sample` in `0..1` is the
/// position among callers of the same rank. `min_ms` and `spread_ms` apply if few were refused. The
/// result is at most `max_ms`, beyond which callers do not follow.
pub fn return_delay_ms(
    rank: Rank,
    demand: &ServiceDemand,
    (min_ms, spread_ms): (u64, u64),
    max_ms: u64,
    sample: f64,
) -> u64 {
    let drain = demand.all().admitted_tokens_per_s.max(MIN_DRAIN_TOKENS_PER_S);
    let drain_ms = |tokens: f64| tokens / drain * 1_000.0;
    let before = demand.more_urgent(rank);
    let until = demand.up_to(rank);
    let before_ms = drain_ms(before.refused_tokens_per_s * REFUSED_S + before.waiting_tokens);
    let until_ms = drain_ms(until.refused_tokens_per_s * REFUSED_S + until.waiting_tokens);
    let first_ms = min_ms as f64 + before_ms;
    let last_ms = (min_ms as f64 + until_ms).max(first_ms + spread_ms as f64).min(max_ms as f64);
    // If the bound cuts the range short, callers still return over its second half instead of all
    // at the bound.
    let lowest_ms = (min_ms as f64).min(last_ms / 2.0);
    let first_ms = first_ms.min((last_ms + lowest_ms) / 2.0);
    (first_ms + sample * (last_ms - first_ms)) as u64
}
