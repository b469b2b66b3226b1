//! Limits how full a less urgent request may make an engine. Answers a burst of the least urgent
//! that arrives just before the urgent: memory that is given away is held for seconds, so the room
//! has to be left before the urgent request arrives.

use crate::admission::{Rank, ServiceDemand};

/// Time for which the expected demand of more urgent requests is kept free: a good half of the time
/// that a generation holds its memory. With 1 s, what was left was too small at each engine for one
/// request, and 8 in 100 urgent requests found no room after a burst.
const HORIZON_S: f64 = 2.0;
/// Fraction of the limit up to which a request is placed whatever the demand of others, so that no
/// rank is starved by demand that was expected and did not come.
const GUARANTEED_FRACTION: f64 = 0.5;

/// Input for the fill limit of a request.
#[derive(Clone, Copy, Debug)]
pub struct FillQuery {
    pub rank: Rank,
    /// Whether the request can no longer meet its target latency. It then yields to all requests
    /// that still can.
    pub is_late: bool,
    /// Limit without more urgent demand, as a fraction of an engine's memory.
    pub max_fill: f64,
    /// Memory of all engines that can be chosen.
    pub pool_tokens: u64,
}

/// Returns the fraction of an engine's memory up to which a request may be placed: the limit less
/// the memory that more urgent requests are expected to need. Without such demand the memory is lent
/// in full.
pub fn fill_limit(query: &FillQuery, demand: &ServiceDemand) -> f64 {
    let urgent = if query.is_late { demand.all() } else { demand.more_urgent(query.rank) };
    let reserved_tokens = urgent.offered_tokens_per_s * HORIZON_S + urgent.waiting_tokens;
    let reserved = reserved_tokens / query.pool_tokens.max(1) as f64;
    (query.max_fill - reserved).max(query.max_fill * GUARANTEED_FRACTION)
}
