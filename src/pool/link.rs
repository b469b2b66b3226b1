use crate::clock::Instant;
use crate::units::AttemptId;

/// Schedule of KV cache transfers on an endpoint's network link.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    bytes_per_s: u64,
    transfers: Vec<Transfer>,
}

/// A scheduled KV cache transfer.
#[derive(Clone, Debug)]
struct Transfer {
    attempt: AttemptId,
    starts_at: Instant,
    ends_at: Instant,
    bytes_per_s: u64,
}

impl Link {
    pub fn new(bytes_per_s: u64) -> Link {
        Link { bytes_per_s: bytes_per_s.max(1), transfers: Vec::new() }
    }

    pub fn set_bytes_per_s(&mut self, bytes_per_s: u64) {
        self.bytes_per_s = bytes_per_s.max(1);
    }

    /// Returns the rate and the duration of a transfer between two links.
    pub fn transfer_between(a: &Link, b: &Link, bytes: u64) -> (u64, u64) {
        let rate = a.bytes_per_s.min(b.bytes_per_s);
        let ms = (u128::from(bytes) * 1000).div_ceil(u128::from(rate));
        (rate, ms.min(u128::from(u64::MAX)) as u64)
    }

    /// Returns the earliest time from `from` on at which both links have `rate` free for `ms`.
    pub fn earliest_start(a: &Link, b: &Link, from: Instant, rate: u64, ms: u64) -> Instant {
        let ends = a.transfers.iter().chain(&b.transfers).map(|t| t.ends_at);
        let mut starts: Vec<Instant> = ends.filter(|end| *end > from).collect();
        starts.push(from);
        starts.sort_unstable();
        let fits = |start: &Instant| a.fits(*start, ms, rate) && b.fits(*start, ms, rate);
        // No transfer is scheduled after the last end time, so there is always a start that fits.
        starts.into_iter().find(fits).unwrap_or(from)
    }

    fn fits(&self, start: Instant, ms: u64, rate: u64) -> bool {
        let end = start.plus_ms(ms);
        let overlapping = self.transfers.iter().filter(|t| t.starts_at < end && start < t.ends_at);
        let used: u64 = overlapping.map(|t| t.bytes_per_s).sum();
        used.saturating_add(rate) <= self.bytes_per_s
    }

    pub fn schedule(&mut self, attempt: &AttemptId, starts_at: Instant, ms: u64, rate: u64) {
        let ends_at = starts_at.plus_ms(ms);
        self.transfers.push(Transfer {
            attempt: attempt.clone(),
            starts_at,
            ends_at,
            bytes_per_s: rate,
        });
    }

    pub fn remove(&mut self, attempt: &AttemptId) {
        self.transfers.retain(|t| t.attempt != *attempt);
    }

    pub fn remove_finished(&mut self, now: Instant) {
        self.transfers.retain(|t| t.ends_at > now);
    }
}
