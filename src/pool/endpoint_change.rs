use smol_str::SmolStr;

use crate::clock::Instant;

/// A role change or a load that is under way at an endpoint. The endpoint gets no work meanwhile.
#[derive(Clone, Debug)]
pub(crate) struct EndpointChange {
    pub begun_at: Instant,
    /// What still runs then is cancelled; its gateways resume it elsewhere.
    pub drain_deadline: Instant,
    /// Whether the endpoint took work before, so that the pool has less capacity meanwhile.
    pub takes_capacity: bool,
    /// When the last order was answered or given up.
    pub ordered_at: Option<Instant>,
    pub next_order_at: Instant,
    /// Why the last order failed.
    pub failure: Option<SmolStr>,
}

impl EndpointChange {
    /// Longer than most answers take; the rest is resumed elsewhere.
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
