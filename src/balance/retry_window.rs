//! Retry budget of a service over a sliding window.

use std::collections::VecDeque;

use crate::clock::Instant;

/// Fraction of the limit that is used, as a margin for differences between the windows of
/// instances.
const USED_FRACTION: f64 = 0.8;

/// Limit on retries to one service, for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    pub window_ms: u64,
    /// Retries allowed per request in the window.
    pub share: f64,
    /// Retries allowed per window in addition to the share.
    pub extra: f64,
}

/// Requests and retries that an instance sent to one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    pub fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        self.prune(now, limits);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if the limit allows one. The `instances` share the extra
    /// retries evenly.
    pub fn try_acquire(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        self.prune(now, limits);
        let extra = limits.extra / instances.max(1) as f64;
        let allowed = USED_FRACTION * (limits.share * self.requests.len() as f64 + extra);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn prune(&mut self, now: Instant, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.ms_since(*at) > limits.window_ms) {
                times.pop_front();
            }
        }
    }
}
