use rand::Rng;

use crate::clock::Instant;

/// Longest pause that an endpoint can ask for. Longer ones are taken for a fault of the endpoint.
const MAX_PAUSE_MS: u64 = 600_000;
/// Instances return to an endpoint within this fraction of the pause, so that it does not get the
/// requests of all of them in one instant; at least `MIN_RETURN_SPREAD_MS`.
const RETURN_SPREAD_FRACTION: f64 = 0.25;
const MIN_RETURN_SPREAD_MS: u64 = 100;
const MAX_RETURN_SPREAD_MS: u64 = 1_000;

/// Time for which an endpoint that turned a request away wants no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    #[default]
    Absent,
    Ms(u64),
    /// The value is not a time.
    Malformed,
}

/// What a response says about its endpoint, besides answering the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// The endpoint is about to stop and must get no further requests.
    pub is_leaving: bool,
    pub retry_after: RetryAfter,
}

impl EndpointNotice {
    /// Returns until when the endpoint gets no requests; `None` if it asks for no pause, or for one
    /// that is not a valid time.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        let RetryAfter::Ms(pause_ms) = self.retry_after else { return None };
        let pause_ms = pause_ms.min(MAX_PAUSE_MS);
        let spread_ms = (pause_ms as f64 * RETURN_SPREAD_FRACTION) as u64;
        let spread_ms = spread_ms.clamp(MIN_RETURN_SPREAD_MS, MAX_RETURN_SPREAD_MS);
        Some(now.plus_ms(pause_ms + rand::rng().random_range(0..=spread_ms)))
    }

    /// Whether the requested pause is not a valid time or is longer than any sound endpoint asks for.
    pub fn is_implausible(&self) -> bool {
        match self.retry_after {
            RetryAfter::Absent => false,
            RetryAfter::Ms(pause_ms) => pause_ms > MAX_PAUSE_MS,
            RetryAfter::Malformed => true,
        }
    }
}
