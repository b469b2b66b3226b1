use crate::clock::Instant;

/// First time for which an endpoint is avoided after a failure; doubles with each further one.
const FIRST_AVOID_MS: u64 = 400;
const MAX_AVOID_MS: u64 = 3_000;
/// Longest time for which a peer's failure alone keeps an endpoint out of use.
const MAX_PEER_AVOID_MS: u64 = 1_000;
/// A peer's report is ignored for this long after a success of one's own.
const OWN_SUCCESS_COUNTS_MS: u64 = 400;
/// Weight of the newest answer in the share of errors.
const ERROR_WEIGHT: f64 = 0.08;

/// What the answers of an endpoint say about it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    avoid_until: Instant,
    last_success: Instant,
    /// Only one request at a time until the endpoint has answered one.
    is_half_open: bool,
    error_rate: f64,
}

impl Health {
    pub fn record_success(&mut self, now: Instant) {
        self.failures_in_row = 0;
        self.is_half_open = false;
        self.avoid_until = Instant::default();
        self.last_success = now;
        self.error_rate *= 1.0 - ERROR_WEIGHT;
    }

    /// The endpoint answered, with an error of its own.
    pub fn record_error(&mut self, now: Instant) {
        self.record_success(now);
        self.error_rate += ERROR_WEIGHT;
    }

    /// The endpoint did not answer, or broke its answer off.
    pub fn record_failure(&mut self, now: Instant) {
        let avoid_ms = (FIRST_AVOID_MS << self.failures_in_row.min(4)).min(MAX_AVOID_MS);
        self.failures_in_row += 1;
        self.avoid_until = self.avoid_until.max(now.plus_ms(avoid_ms));
        self.is_half_open = true;
        self.error_rate += ERROR_WEIGHT * (1.0 - self.error_rate);
    }

    /// A peer avoids the endpoint for `avoid_ms` more.
    pub fn record_peer_failure(&mut self, avoid_ms: u64, now: Instant) {
        if now.ms_since(self.last_success) < OWN_SUCCESS_COUNTS_MS {
            return;
        }
        let until = now.plus_ms(avoid_ms.min(MAX_PEER_AVOID_MS));
        if until > self.avoid_until {
            self.avoid_until = until;
            self.is_half_open = true;
        }
    }

    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoid_until
    }

    pub fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Time for which the endpoint is avoided because of one's own failures.
    pub fn local_avoid_ms(&self, now: Instant) -> u64 {
        if self.failures_in_row == 0 { 0 } else { self.avoid_until.ms_since(now) }
    }

    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }
}
