use crate::clock::Instant;

/// Smoothing factor of the fraction of rejected requests.
const SMOOTHING_FACTOR: f64 = 0.25;
/// Time in which the fraction halves without further requests, so that an endpoint that was
/// overloaded is tried again.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Weight of a peer's estimate: the peer may have met a short overload.
const PEER_WEIGHT: f64 = 0.5;
/// Fraction of rejected requests from which on peers are told.
const REPORT_THRESHOLD: f64 = 0.25;

/// Estimate of the fraction of requests that an endpoint rejects without running them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    rejected_fraction: f64,
    updated_at: Instant,
}

impl Acceptance {
    pub fn record(&mut self, is_accepted: bool, now: Instant) {
        let sample = if is_accepted { 0.0 } else { 1.0 };
        let before = self.rejected_fraction(now);
        self.rejected_fraction = before + SMOOTHING_FACTOR * (sample - before);
        self.updated_at = now;
    }

    /// Records the percentage of requests of a peer that the endpoint rejects.
    pub fn record_peer(&mut self, rejected_percent: u8, now: Instant) {
        let reported = f64::from(rejected_percent.min(100)) / 100.0 * PEER_WEIGHT;
        if reported > self.rejected_fraction(now) {
            *self = Acceptance { rejected_fraction: reported, updated_at: now };
        }
    }

    /// Probability that the endpoint accepts the next request.
    pub fn probability(&self, now: Instant) -> f64 {
        1.0 - self.rejected_fraction(now)
    }

    /// Percentage of rejected requests for peers; `None` while it is low.
    pub fn reported_percent(&self, now: Instant) -> Option<u8> {
        let rejected_fraction = self.rejected_fraction(now);
        (rejected_fraction >= REPORT_THRESHOLD).then_some((rejected_fraction * 100.0) as u8)
    }

    fn rejected_fraction(&self, now: Instant) -> f64 {
        let elapsed_ms = now.ms_since(self.updated_at) as f64;
        self.rejected_fraction * 0.5_f64.powf(elapsed_ms / HALF_LIFE_MS)
    }
}
