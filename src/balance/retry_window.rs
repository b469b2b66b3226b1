use std::collections::VecDeque;

use crate::clock::Instant;

/// Part of the limit that instances use, so that differences between their windows stay below it.
const USED_PART: f64 = 0.8;

/// Limit on further sends of requests to one service, for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    pub window_ms: u64,
    /// Further sends for each request.
    pub share: f64,
    /// Further sends in a window beside the share.
    pub extra: f64,
}

/// Requests and further sends of an instance to one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    pub fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        self.forget(now, limits);
        self.requests.push_back(now);
    }

    /// Takes a retry if the window has one left. `instances` share the extra retries.
    pub fn try_acquire(&mut self, now: Instant, limits: &RetryLimits, instances: usize) -> bool {
        self.forget(now, limits);
        let extra = limits.extra / instances.max(1) as f64;
        let allowed = USED_PART * (limits.share * self.requests.len() as f64 + extra);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: Instant, limits: &RetryLimits) {
        for sent in [&mut self.requests, &mut self.retries] {
            while sent.front().is_some_and(|at| now.ms_since(*at) > limits.window_ms) {
                sent.pop_front();
            }
        }
    }
}
