use smol_str::SmolStr;

use crate::clock::Instant;

/// A role change or load in progress on an endpoint. The endpoint gets no new work until it ends.
#[derive(Clone, Debug)]
pub(crate) struct EndpointChange {
    pub begun_at: Instant,
    /// Attempts that are still running at this time are cancelled, and their gateways resume them
    /// on another endpoint.
    pub drain_deadline: Instant,
    /// Whether the endpoint accepted work before the change, so that the change reduces the pool's
    /// capacity.
    pub takes_capacity: bool,
    /// Time at which the last order was answered or timed out.
    pub ordered_at: Option<Instant>,
    pub next_order_at: Instant,
    /// Error of the last order.
    pub failure: Option<SmolStr>,
}

impl EndpointChange {
    /// Most responses finish within this time. The rest are resumed on another endpoint.
    const DRAIN_MS: u64 = 60_000;

    pub fn new(takes_capacity: bool, now: Instant) -> EndpointChange {
        EndpointChange {
            begun_at: now,
            drain_deadline: now.plus_ms(EndpointChange::DRAIN_MS),
            takes_capacity,
            ordered_at: None,
            next_order_at: now,
            failure: None,
        }
    }
}
