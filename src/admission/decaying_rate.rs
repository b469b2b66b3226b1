//! Measures demand during bursts of some seconds: follows a change within `DECAY_MS` and is not
//! biased by requests that arrive in clumps.

use crate::clock::Instant;

/// Time constant of the average. Bursts last some seconds, and a shorter average of a class that
/// sends one request in ten seconds to an instance is noise even over the whole fleet.
const DECAY_MS: f64 = 2_000.0;

/// Exponentially decaying average of an amount per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    per_s: f64,
    updated_at: Instant,
}

impl DecayingRate {
    pub fn record(&mut self, amount: u64, now: Instant) {
        self.per_s = self.per_s(now) + amount as f64 * 1_000.0 / DECAY_MS;
        self.updated_at = now;
    }

    pub fn per_s(&self, now: Instant) -> f64 {
        self.per_s * (-(now.ms_since(self.updated_at) as f64) / DECAY_MS).exp()
    }
}
