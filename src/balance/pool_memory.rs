use crate::balance::Balancer;
use crate::catalog::{EndpointRole, EngineProperties};
use crate::clock::Instant;
use crate::units::ServiceId;

impl Balancer {
    /// KV cache memory of the decode engines of a service that are in service.
    pub fn decode_memory_tokens(
        &self,
        service: &ServiceId,
        engine: EngineProperties,
        now: Instant,
    ) -> u64 {
        let ids = self.by_service.get(service).into_iter().flatten();
        let usable = ids.filter_map(|id| self.endpoints.get(id)).filter(|state| {
            state.endpoint.role == Some(EndpointRole::Decode)
                && !state.is_leaving()
                && !state.health.is_avoided(now)
                && !self.zones_out_of_service.contains(&state.endpoint.zone)
        });
        usable.count() as u64 * engine.kv_capacity.get()
    }
}
