//! Retry budget of a service over a sliding window.

use std::collections::VecDeque;

use crate::balance::recent_max::RecentMax;
use crate::clock::Instant;

/// Fraction of the limit that is used, as a margin for differences between the windows of
/// instances.
const USED_FRACTION: f64 = 0.8;
/// Lowest probability of acceptance for which a request is retried. Below it, most retries would
/// only use up the limit, and callers are refused at once.
const MIN_ACCEPTANCE: f64 = 0.2;

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
    instances: RecentMax,
    /// Time from which on this instance has its part of the extra retries.
    extra_from: Instant,
}

impl RetryWindow {
    /// Creates a window without extra retries before `extra_from`. A process that was started again
    /// does not know how many retries its predecessor has used.
    pub fn new(extra_from: Instant) -> RetryWindow {
        RetryWindow { extra_from, ..RetryWindow::default() }
    }

    pub fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        self.prune(now, limits);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if the limit allows one. The `instances` share the extra
    /// retries evenly. An endpoint that accepts only a fraction of the requests gets only this
    /// fraction of the limit, so that futile retries leave room for others.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        limits: &RetryLimits,
        instances: usize,
        acceptance: f64,
    ) -> bool {
        self.prune(now, limits);
        let instances = self.instances.record(instances.max(1), limits.window_ms, now);
        if acceptance < MIN_ACCEPTANCE {
            return false;
        }
        let extra = if now < self.extra_from { 0.0 } else { limits.extra / instances as f64 };
        let limit = limits.share * self.requests.len() as f64 + extra;
        if self.retries.len() as f64 + 1.0 > USED_FRACTION * limit * acceptance {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Takes back the last retry, which did not reach an endpoint or does not count.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    fn prune(&mut self, now: Instant, limits: &RetryLimits) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.ms_since(*at) > limits.window_ms) {
                times.pop_front();
            }
        }
    }
}
