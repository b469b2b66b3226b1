//! Accounting of sends to endpoints: retry limits, acceptance and health.

use crate::balance::{RetryWindow, SendKind, SendOutcome, StartedSend};
use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::Clock;
use crate::forward::crash_check::part_keys;
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, CrashCounts, EndpointError, Forwarder};
use crate::units::{EndpointId, ServiceId};

/// Pause before sending to an endpoint again that rejected a request because it was full.
const FULL_BACKOFF_MS: u64 = 60;
/// Pause before sending to an endpoint again whose address is used by a different endpoint. The
/// endpoint's entry in the store is removed within this time.
const STALE_ENTRY_MS: u64 = 3_000;

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    pub(super) fn with_retry_window<T>(
        &self,
        service: &ServiceId,
        apply: impl FnOnce(&mut RetryWindow) -> T,
    ) -> T {
        let mut windows = self.retry_windows.borrow_mut();
        let extra_from = self.parts.extra_retries_from;
        apply(windows.entry(service.clone()).or_insert_with(|| RetryWindow::new(extra_from)))
    }

    /// Counts a send to an endpoint; `None` if it would exceed the service's retry limit.
    pub(super) fn begin_send(
        &self,
        context: &mut RequestContext<C>,
        endpoint: &Endpoint,
        kind: SendKind,
    ) -> Option<StartedSend> {
        if context.sends.is_next_retry() {
            let now = self.parts.clock.now();
            let balancer = self.parts.balancer.borrow();
            let instances = balancer.instances();
            let acceptance = balancer
                .endpoint(&endpoint.id)
                .map_or(1.0, |state| state.acceptance.probability(now));
            let limits = &self.parts.retry_limits;
            let is_allowed = self.with_retry_window(&context.service.id, |window| {
                window.try_acquire(now, limits, instances, acceptance)
            });
            if !is_allowed {
                return None;
            }
        }
        Some(context.sends.begin(kind))
    }

    /// Records the outcome of a send at its endpoint and in the service's retry limit.
    pub(super) fn finish_send<T>(
        &self,
        context: &mut RequestContext<C>,
        endpoint: &Endpoint,
        send: StartedSend,
        result: &Result<T, EndpointError>,
    ) {
        let outcome = match result {
            Ok(_) => SendOutcome::Accepted,
            Err(EndpointError::NotSent { .. }) => SendOutcome::NotArrived,
            Err(_) => SendOutcome::NotAccepted,
        };
        if context.sends.finish(send, outcome) {
            self.with_retry_window(&context.service.id, RetryWindow::refund);
        }
        if let Err(error) = result {
            self.record_version_failure(context, endpoint, error);
        }
        let is_accepted = match result {
            Ok(_) => true,
            Err(EndpointError::NotRun) => false,
            Err(_) => return,
        };
        let now = self.parts.clock.now();
        if let Some(state) = self.parts.balancer.borrow_mut().endpoint_mut(&endpoint.id) {
            state.acceptance.record(is_accepted, now);
        }
    }

    /// Updates the state of the endpoint and the crash counts of the request after a failed
    /// attempt, and excludes the endpoint from further attempts.
    pub(super) fn record_endpoint_failure(
        &self,
        context: &mut RequestContext<C>,
        failed_endpoint: &Endpoint,
        error: &EndpointError,
    ) {
        let now = self.parts.clock.now();
        let mut balancer = self.parts.balancer.borrow_mut();
        if let Some(state) = balancer.endpoint_mut(&failed_endpoint.id) {
            match error {
                EndpointError::NotRun => state.backoff_until = now.plus_ms(FULL_BACKOFF_MS),
                EndpointError::WrongEndpoint => state.backoff_until = now.plus_ms(STALE_ENTRY_MS),
                _ => state.health.record_failure(now),
            }
        }
        if !matches!(error, EndpointError::NotRun) {
            self.parts.endpoints.close_idle(failed_endpoint.address);
        }
        if matches!(error, EndpointError::Broken { .. }) {
            let fingerprint = CrashCounts::fingerprint(&context.request);
            let parts = part_keys(&context.service.id, &context.request);
            self.end_detector.check(failed_endpoint, fingerprint, parts);
            if let Some(generation) = &context.request.generation {
                context.log.record_broken(generation);
            }
        }
        context.excluded.push(failed_endpoint.id.clone());
    }

    /// Records that an endpoint rejected a request because it was full.
    pub(super) fn record_endpoint_full(&self, endpoint: &EndpointId) {
        let now = self.parts.clock.now();
        if let Some(state) = self.parts.balancer.borrow_mut().endpoint_mut(endpoint) {
            state.record_full(now);
        }
    }
}
