//! Selects the engines of a generation.

use crate::balance::{DecodeQuery, Load, Placement, PlacementError, PrefillQuery};
use crate::catalog::RowDecoder;
use crate::clock::{Clock, Instant};
use crate::forward::memory_reservation::MemoryReservation;
use crate::forward::request_context::{LoadGuard, RequestContext};
use crate::forward::{Codec, Forwarder};
use crate::units::ZoneId;

/// Expected overhead of a separate prefill and the transfer of its KV cache.
const KV_TRANSFER_MS: u64 = 15;

/// Engines selected for a generation.
pub(super) struct Plan<K: Codec, C: Clock> {
    /// Engine for the prefill; `None` if it is done already or the decode engine does it.
    pub prefill: Option<Placement>,
    pub decode: Placement,
    /// Load accounted at the decode engine.
    pub load: LoadGuard,
    /// Memory reservation at the decode engine.
    pub memory_reservation: Option<MemoryReservation<K, C>>,
}

impl<K: Codec, D: RowDecoder, C: Clock> Forwarder<K, D, C> {
    /// Chooses between a separate prefill engine and a decode engine that also does the prefill,
    /// whichever is expected to be faster. `source_zone` is the zone of a prefill that is done.
    pub(super) fn plan(
        &self,
        context: &RequestContext<C>,
        source_zone: Option<&ZoneId>,
        fill_fraction: f64,
        now: Instant,
    ) -> Result<Plan<K, C>, PlacementError> {
        let engine = context.service.engine.ok_or(PlacementError::NoEndpoint)?;
        let prompt_tokens = context.prompt_tokens();
        let mut balancer = self.parts.balancer.borrow_mut();
        let mut query = DecodeQuery {
            service: &context.service.id,
            memory_tokens: context.memory_estimate().expected_tokens,
            prompt_tokens: 0,
            fill_fraction,
            preferred_zone: source_zone,
            engine,
            excluded: &context.excluded,
            versions: context.version_filter(),
        };
        if source_zone.is_some() {
            let decode = balancer.choose_decode(&query, now)?;
            drop(balancer);
            return Ok(self.build_plan(context, None, decode, false, now));
        }
        let prefill_query = PrefillQuery {
            service: &context.service.id,
            prompt_tokens,
            excluded: &context.excluded,
            versions: context.version_filter(),
        };
        let split = balancer.choose_prefill(&prefill_query, now).ok();
        query.prompt_tokens = prompt_tokens;
        let combined = balancer.choose_decode(&query, now)?;
        let split =
            split.filter(|split| split.expected_ms + KV_TRANSFER_MS <= combined.expected_ms);
        let Some(split) = split else {
            drop(balancer);
            return Ok(self.build_plan(context, None, combined, true, now));
        };
        query.prompt_tokens = 0;
        query.preferred_zone = Some(&split.endpoint.zone);
        let decode = balancer.choose_decode(&query, now)?;
        drop(balancer);
        Ok(self.build_plan(context, Some(split), decode, false, now))
    }

    /// Accounts for the load at the decode engine and returns the plan.
    fn build_plan(
        &self,
        context: &RequestContext<C>,
        prefill: Option<Placement>,
        decode: Placement,
        includes_prefill: bool,
        now: Instant,
    ) -> Plan<K, C> {
        let load = Load {
            requests: 1,
            prompt_tokens: if includes_prefill { context.prompt_tokens() } else { 0 },
            memory_tokens: context.memory_estimate().expected_tokens,
        };
        let load = LoadGuard::begin(&self.parts.balancer, &decode.endpoint.id, load, now);
        Plan { prefill, decode, load, memory_reservation: None }
    }
}
