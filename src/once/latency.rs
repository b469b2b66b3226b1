use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::http::HttpClient;

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Calls after which the measured percentile is used.
const MIN_CALLS: u64 = 20;
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// An endpoint that failed is tried after the others for this time. Otherwise each call that
/// comes to a dead endpoint first would cost a retry.
const FAILURE_TIME: Duration = Duration::from_millis(2_000);
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Latency of each plain service, which decides when an idempotent call is hedged, and the last
/// failure of each of their endpoints.
#[derive(Debug, Default)]
pub struct ServiceLatency {
    by_service: RefCell<HashMap<SmolStr, Histogram<u64>>>,
    failed_at: RefCell<HashMap<SmolStr, Instant>>,
}

impl ServiceLatency {
    pub fn note(&self, service: &SmolStr, latency: Duration) {
        let mut by_service = self.by_service.borrow_mut();
        if !by_service.contains_key(service)
            && let Ok(histogram) = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        {
            by_service.insert(service.clone(), histogram);
        }
        if let Some(histogram) = by_service.get_mut(service) {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    pub fn note_failure(&self, address: &SmolStr) {
        let mut failed_at = self.failed_at.borrow_mut();
        failed_at.retain(|_, at| at.elapsed() < FAILURE_TIME);
        failed_at.insert(address.clone(), Instant::now());
    }

    /// Moves endpoints that failed lately behind the others.
    pub fn healthy_first(&self, mut clients: Vec<HttpClient>) -> Vec<HttpClient> {
        let failed_at = self.failed_at.borrow();
        clients.sort_by_key(|client| {
            failed_at.get(client.address()).is_some_and(|at| at.elapsed() < FAILURE_TIME)
        });
        clients
    }

    /// The 95th percentile of the service's latency.
    pub fn hedge_delay(&self, service: &SmolStr) -> Duration {
        match self.by_service.borrow().get(service) {
            Some(histogram) if histogram.len() >= MIN_CALLS => {
                Duration::from_micros(histogram.value_at_quantile(0.95)).max(MIN_HEDGE_DELAY)
            }
            _ => DEFAULT_HEDGE_DELAY,
        }
    }
}
