//! Separate prefills, whose KV cache a decode engine fetches.

use hyper::StatusCode;
use smol_str::SmolStr;

use crate::balance::{Load, Placement, SendKind};
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::release_guard::ReleaseGuard;
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::{Codec, EndpointError, EndpointRequest, Forwarder, KvSource, Refusal, Stage};
use crate::units::ZoneId;

/// Time added to twice the expected duration of a prefill before it times out and another engine is
/// tried.
const PREFILL_TIMEOUT_MARGIN_MS: u64 = 450;
/// Fraction of the lifetime of a KV cache handle during which it is used.
const HANDLE_REUSE_FRACTION: f64 = 0.7;

/// A completed prefill whose KV cache is held by its engine.
pub(super) struct Prefill<K: Codec, C: Clock> {
    pub source: KvSource,
    pub guard: ReleaseGuard<K, C>,
    pub zone: ZoneId,
    pub usable_until: Instant,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Runs the prefill at an engine. On failure the engine is excluded and `None` is returned.
    /// Refuses the request if the service's retry limit is reached.
    pub(super) async fn prefill(
        &self,
        context: &mut RequestContext<C>,
        placement: &Placement,
    ) -> Result<Option<Prefill<K, C>>, Refusal> {
        let now = self.parts.clock.now();
        let tokens = context.prompt_tokens();
        let load = Load { requests: 1, prompt_tokens: tokens, memory_tokens: tokens };
        let endpoint = &placement.endpoint;
        let _guard = LoadGuard::begin(&self.parts.balancer, &endpoint.id, load, now);
        let until = context
            .deadline
            .min(now.plus_ms(placement.expected_ms * 2 + PREFILL_TIMEOUT_MARGIN_MS));
        let queued_tokens = self.queued_prompt_tokens(placement);
        let Some(send) = self.begin_send(context, endpoint, SendKind::Prefill) else {
            return Err(self.capacity_refusal(context));
        };
        let result = self.exchange_prefill(context, placement, until).await;
        self.finish_send(context, endpoint, send, &result);
        let code = result.as_ref().map_or_else(|error| error.code(), |_| "read");
        context.log.record_send("prefill", endpoint.id.as_str(), code);
        let finished_at = self.parts.clock.now();
        match result {
            Ok(handle) => {
                let mut balancer = self.parts.balancer.borrow_mut();
                if let Some(state) = balancer.endpoint_mut(&endpoint.id) {
                    let prefill_ms = finished_at.ms_since(now) as f64;
                    state.record_unit_time(prefill_ms / queued_tokens.max(1) as f64);
                    state.health.record_success(finished_at);
                }
                let kv_ttl_ms = context.service.engine.map_or(0, |engine| engine.handle_ttl_ms);
                let usable_ms = kv_ttl_ms as f64 * HANDLE_REUSE_FRACTION;
                let source = KvSource { address: endpoint.address, handle };
                let release = self.codec().release_request(&source);
                let guard = ReleaseGuard::new(&self.parts.endpoints, endpoint, release);
                Ok(Some(Prefill {
                    source,
                    guard,
                    zone: endpoint.zone.clone(),
                    usable_until: finished_at.plus_ms(usable_ms as u64),
                }))
            }
            Err(error) => {
                self.record_endpoint_failure(context, endpoint, &error);
                Ok(None)
            }
        }
    }

    /// Returns the prompt tokens of all requests at an engine that await prefill.
    fn queued_prompt_tokens(&self, placement: &Placement) -> u64 {
        let balancer = self.parts.balancer.borrow();
        let state = balancer.endpoint(&placement.endpoint.id);
        state.map_or(0, |state| state.load().prompt_tokens)
    }

    async fn exchange_prefill(
        &self,
        context: &RequestContext<C>,
        placement: &Placement,
        until: Instant,
    ) -> Result<SmolStr, EndpointError> {
        let outgoing = EndpointRequest {
            request: &context.request,
            organisation: context.organisation(),
            rank: context.rank,
            endpoint: &placement.endpoint,
            stage: Stage::Prefill,
            last_event: None,
            memory_reservation: None,
            deadline: context.deadline,
        };
        let (connection, response) = self.parts.endpoints.send(&outgoing, until).await?;
        let endpoint = &placement.endpoint;
        let (head, body) = self.read_full_response(endpoint, connection, response, until).await?;
        if head.status != StatusCode::OK {
            return Err(EndpointError::NotRun);
        }
        let prefill_output = self.codec().read_prefill_output(&body);
        prefill_output.map(|prefill_output| prefill_output.handle).ok_or(EndpointError::Mismatched)
    }
}
