//! Circuit breaker and error rate of an endpoint.

use crate::balance::AvoidReport;
use crate::clock::Instant;

/// Time for which an endpoint is avoided after its first failure; doubles with each further one.
const INITIAL_AVOID_MS: u64 = 400;
const MAX_AVOID_MS: u64 = 3_000;
/// Upper bound of the time for which a peer's report alone makes this instance avoid an endpoint.
const MAX_PEER_AVOID_MS: u64 = 1_000;
/// Time after a success of this instance in which reports of peers are ignored.
const LOCAL_SUCCESS_VALID_MS: u64 = 400;
/// Consecutive failures of an endpoint that loses a part of its responses rather than all of them,
/// whatever part that is.
const MIN_CHANCE_FAILURES: u32 = 2;
/// Probability of a run of failures, at the loss rate before it, below which it is not due to chance.
const MIN_CHANCE: f64 = 0.005;
/// Loss rate above which peers are told that the endpoint answers at times.
const MIN_LOSS_RATE: f64 = 0.05;
/// Time after a success in which the endpoint is held to be alive in spite of
/// single failures.
const RECENT_SUCCESS_MS: u64 = 10_000;
/// Smoothing factor of the error rate.
const ERROR_SMOOTHING_FACTOR: f64 = 0.08;

/// Health of an endpoint, derived from its responses and from reports of peers.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    avoid_until: Instant,
    last_success: Instant,
    /// Arrival time of the last report that the endpoint answers a peer at times.
    last_peer_success: Instant,
    /// The endpoint gets one request at a time until it has answered one.
    is_half_open: bool,
    /// The endpoint was down for longer than a single failure tells.
    was_down: bool,
    /// It has answered again since.
    has_recovered: bool,
    error_rate: f64,
    /// Fraction of missing responses.
    loss_rate: f64,
    /// The same before the current run of failures.
    settled_loss_rate: f64,
}

impl Health {
    pub fn record_success(&mut self, now: Instant) {
        self.has_recovered |= std::mem::take(&mut self.was_down);
        self.consecutive_failures = 0;
        self.is_half_open = false;
        self.avoid_until = Instant::default();
        self.last_success = now;
        self.error_rate *= 1.0 - ERROR_SMOOTHING_FACTOR;
        self.loss_rate *= 1.0 - ERROR_SMOOTHING_FACTOR;
        self.settled_loss_rate = self.loss_rate;
    }

    /// Records a response that reports an error of the endpoint. The endpoint is still reachable.
    pub fn record_error(&mut self, now: Instant) {
        self.record_success(now);
        self.error_rate += ERROR_SMOOTHING_FACTOR;
    }

    /// Records a missing or truncated response.
    pub fn record_failure(&mut self, now: Instant) {
        let avoid_ms = (INITIAL_AVOID_MS << self.consecutive_failures.min(4)).min(MAX_AVOID_MS);
        self.was_down |= self.consecutive_failures > 0;
        self.consecutive_failures += 1;
        self.avoid_until = self.avoid_until.max(now.plus_ms(avoid_ms));
        self.is_half_open = true;
        self.error_rate += ERROR_SMOOTHING_FACTOR * (1.0 - self.error_rate);
        self.loss_rate += ERROR_SMOOTHING_FACTOR * (1.0 - self.loss_rate);
    }

    /// Sends one request at a time until the endpoint has answered one, whatever it did before.
    pub fn begin_probing(&mut self) {
        self.is_half_open = true;
        self.was_down = true;
        self.last_success = Instant::default();
        self.last_peer_success = Instant::default();
    }

    /// Records that a peer avoids the endpoint. If the endpoint answers the peer at times, the report
    /// does not postpone the next request of this instance: with many peers some would always
    /// report a failure.
    pub fn record_peer_failure(&mut self, avoidance: AvoidReport, now: Instant) {
        if avoidance.answers_at_times() {
            self.last_peer_success = now;
            if self.is_half_open {
                return;
            }
        }
        if now.ms_since(self.last_success) < LOCAL_SUCCESS_VALID_MS {
            return;
        }
        let until = now.plus_ms(avoidance.avoid_ms().min(MAX_PEER_AVOID_MS));
        if until > self.avoid_until {
            self.avoid_until = until;
            self.is_half_open = true;
            self.was_down |= avoidance.avoid_ms() > INITIAL_AVOID_MS;
        }
    }

    pub fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoid_until
    }

    /// Whether the endpoint has answered lately and may have lost single responses only.
    pub fn fails_at_times(&self, now: Instant) -> bool {
        let is_chance = self.consecutive_failures <= MIN_CHANCE_FAILURES
            || self.settled_loss_rate.powf(f64::from(self.consecutive_failures)) >= MIN_CHANCE;
        let last_success = self.last_success.max(self.last_peer_success);
        is_chance && now.ms_since(last_success) < RECENT_SUCCESS_MS
    }

    /// Whether the endpoint is known to lose single responses, so that a failure says little.
    pub fn is_lossy(&self, now: Instant) -> bool {
        self.settled_loss_rate >= MIN_LOSS_RATE && self.fails_at_times(now)
    }

    /// Returns whether the endpoint has recovered since the last call.
    pub fn take_recovered(&mut self) -> bool {
        std::mem::take(&mut self.has_recovered)
    }

    pub fn is_half_open(&self) -> bool {
        self.is_half_open
    }

    /// Remaining time for which the endpoint is avoided because of failures seen by this instance.
    pub fn local_avoid_ms(&self, now: Instant) -> u64 {
        if self.consecutive_failures == 0 { 0 } else { self.avoid_until.ms_since(now) }
    }

    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }
}
