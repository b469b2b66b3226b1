use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::http::HttpClient;

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of calls from which the measured percentile is used.
const MIN_SAMPLES: u64 = 20;
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// After a failure, an endpoint is tried last for this time. Otherwise each call that picks a dead
/// endpoint first would cost a retry.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(2_000);
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Latency histogram of each plain service, which determines the hedge delay of idempotent calls,
/// and the time of the last failure of each endpoint.
#[derive(Debug, Default)]
pub struct ServiceLatency {
    by_service: RefCell<HashMap<SmolStr, Histogram<u64>>>,
    failed_at: RefCell<HashMap<SmolStr, Instant>>,
}

impl ServiceLatency {
    pub fn record(&self, service: &SmolStr, latency: Duration) {
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

    pub fn record_failure(&self, address: &SmolStr) {
        let mut failed_at = self.failed_at.borrow_mut();
        failed_at.retain(|_, at| at.elapsed() < FAILURE_COOLDOWN);
        failed_at.insert(address.clone(), Instant::now());
    }

    /// Moves recently failed endpoints behind the others.
    pub fn order_by_health(&self, mut clients: Vec<HttpClient>) -> Vec<HttpClient> {
        let failed_at = self.failed_at.borrow();
        clients.sort_by_key(|client| {
            failed_at.get(client.address()).is_some_and(|at| at.elapsed() < FAILURE_COOLDOWN)
        });
        clients
    }

    /// The 95th percentile of the service's latency, or a default while there are too few
    /// measurements.
    pub fn hedge_delay(&self, service: &SmolStr) -> Duration {
        match self.by_service.borrow().get(service) {
            Some(histogram) if histogram.len() >= MIN_SAMPLES => {
                Duration::from_micros(histogram.value_at_quantile(0.95)).max(MIN_HEDGE_DELAY)
            }
            _ => DEFAULT_HEDGE_DELAY,
        }
    }
}
