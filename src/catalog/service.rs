use crate::units::{ServiceId, Tokens};

/// A group of equivalent endpoints and their capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub id: ServiceId,
    /// Requests per second that a cold endpoint can serve; `None` if it has no cold start.
    pub cold_requests_per_s: Option<f64>,
    /// `None` for a plain service.
    pub engine: Option<EngineProperties>,
}

/// Properties shared by all engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProperties {
    pub slots: u32,
    /// Capacity of an engine's KV cache memory.
    pub kv_capacity: Tokens,
    /// Output tokens per event of a stream.
    pub tokens_per_event: u64,
    /// Time for which a prefill engine keeps a KV cache for transfer to a decode engine.
    pub handle_ttl_ms: u64,
    /// Time for which an engine is unavailable while it changes its role.
    pub role_change_ms: u64,
}
