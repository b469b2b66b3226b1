use crate::units::{ServiceId, Tokens};

/// Endpoints of one kind and what they bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub id: ServiceId,
    /// Requests a second that a cold endpoint bears; `None` if it has no cold start.
    pub cold_requests_per_s: Option<f64>,
    /// `None` for a plain service.
    pub engine: Option<EngineProperties>,
}

/// Figures that the engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProperties {
    pub slots: u32,
    pub kv_capacity: Tokens,
    /// Output tokens in an event of a stream.
    pub tokens_per_event: u64,
    /// Time for which the KV cache of a prefill is kept until a decode engine takes it.
    pub handle_ttl_ms: u64,
    /// Time for which an engine that changes its role serves nothing.
    pub role_change_ms: u64,
}
