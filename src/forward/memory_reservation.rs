//! Memory reservations at decode engines.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use smol_str::SmolStr;

use crate::catalog::{Endpoint, RowDecoder};
use crate::clock::Clock;
use crate::forward::release_guard::ReleaseGuard;
use crate::forward::request_context::RequestContext;
use crate::forward::{Codec, EndpointError, Forwarder};

/// Lifetime of a memory reservation. It is longer than a prefill takes under high load.
const RESERVATION_TTL_MS: u64 = 1_500;
/// Timeout of a memory reservation request.
const RESERVATION_TIMEOUT_MS: u64 = 250;

/// A memory reservation at an engine, cancelled when dropped.
pub(super) struct MemoryReservation<K: Codec, C: Clock> {
    pub name: SmolStr,
    pub guard: ReleaseGuard<K, C>,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Reserves memory at the decode engine before the prefill. Only the engine knows how much
    /// memory is free: several instances may plan to use the same memory, and an engine continues
    /// requests whose responses were lost. Returns `None` if the engine is full.
    pub(super) async fn reserve_memory(
        &self,
        context: &mut RequestContext<C>,
        endpoint: &Rc<Endpoint>,
    ) -> Result<Option<MemoryReservation<K, C>>, EndpointError> {
        let reserved =
            self.exchange_reservation(endpoint, context.memory_estimate().reserved_tokens).await;
        let code = match &reserved {
            Ok(Some(_)) => "held",
            Ok(None) => "full",
            Err(error) => error.code(),
        };
        context.log.record_send("hold", endpoint.id.as_str(), code);
        let Some(name) = reserved? else { return Ok(None) };
        let release = self.codec().cancel_reservation_request(endpoint, &name);
        let guard = ReleaseGuard::new(&self.parts.endpoints, endpoint, release);
        Ok(Some(MemoryReservation { name, guard }))
    }

    /// Records that a memory reservation failed because of `error`, or because the engine is full.
    pub(super) fn record_reservation_failure(
        &self,
        endpoint: &Endpoint,
        error: Option<&EndpointError>,
    ) {
        let Some(error) = error else { return self.record_endpoint_full(&endpoint.id) };
        let now = self.parts.clock.now();
        let mut balancer = self.parts.balancer.borrow_mut();
        if let Some(state) = balancer.endpoint_mut(&endpoint.id) {
            log::info!(target: "forward", endpoint = endpoint.id.as_str(),
                error = error.to_string().as_str(); "memory reservation failed");
            state.health.record_failure(now);
        }
    }

    /// Requests a memory reservation; `None` if the engine declines it.
    async fn exchange_reservation(
        &self,
        endpoint: &Endpoint,
        tokens: u64,
    ) -> Result<Option<SmolStr>, EndpointError> {
        let request = self.codec().reserve_memory_request(endpoint, tokens, RESERVATION_TTL_MS);
        let request = request
            .ok_or(EndpointError::NotSent { reason: "failed to encode the reservation".into() })?;
        let limit = Duration::from_millis(RESERVATION_TIMEOUT_MS);
        let (status, body) = self.parts.endpoints.call(endpoint, request, limit).await?;
        if status != StatusCode::OK {
            return Ok(None);
        }
        let id = self.codec().read_memory_reservation(&body);
        if let Some(id) = &id {
            let mut balancer = self.parts.balancer.borrow_mut();
            let state = balancer.endpoint_mut(&endpoint.id);
            if state.is_some_and(|state| !state.record_reservation(id)) {
                drop(balancer);
                self.parts.endpoints.close_idle(endpoint.address);
                return Err(EndpointError::Mismatched);
            }
        }
        Ok(id)
    }
}
