use std::time::Duration;

use tokio::time::Instant;

/// A network link with limited bandwidth that runs transfers one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    bytes_per_s: u64,
    free_at: Instant,
}

impl Link {
    /// `bytes_per_s` of zero means unlimited.
    pub fn new(bytes_per_s: u64) -> Link {
        Link { bytes_per_s, free_at: Instant::now() }
    }

    /// Schedules a transfer and returns the time at which it ends.
    pub fn reserve(&mut self, bytes: u64) -> Instant {
        let start = self.free_at.max(Instant::now());
        if self.bytes_per_s > 0 {
            let seconds = bytes as f64 / self.bytes_per_s as f64;
            self.free_at = start + Duration::from_secs_f64(seconds);
            return self.free_at;
        }
        start
    }
}
