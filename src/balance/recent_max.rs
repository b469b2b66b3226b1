use crate::clock::Instant;

/// Largest value of a number within a sliding window, or slightly longer.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentMax {
    largest: usize,
    expires_at: Instant,
}

impl RecentMax {
    /// Records the current value and returns the largest one of the last `window_ms`.
    pub fn record(&mut self, value: usize, window_ms: u64, now: Instant) -> usize {
        if value >= self.largest || now > self.expires_at {
            *self = RecentMax { largest: value, expires_at: now.plus_ms(window_ms) };
        }
        self.largest
    }
}
