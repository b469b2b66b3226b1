use crate::engine::{
    CacheEvents, DecodeEvent, DecodeRequest, EngineError, EngineState, HeldAttempt, LoadReport,
    OrderRequest, PrefillRequest, PrefillResult,
};
use crate::units::AttemptId;

/// The interface of a model engine.
#[allow(async_fn_in_trait)]
pub trait Engine: Clone + 'static {
    type Stream: TokenStream;

    async fn prefill(&self, request: &PrefillRequest) -> Result<PrefillResult, EngineError>;

    /// Starts decoding. The stream yields events in order.
    async fn decode(&self, request: &DecodeRequest) -> Result<Self::Stream, EngineError>;

    /// Frees all memory that the engine holds for the attempt. Idempotent.
    async fn cancel(&self, attempt: &AttemptId) -> Result<(), EngineError>;

    async fn held_attempts(&self) -> Result<Vec<HeldAttempt>, EngineError>;

    async fn load(&self) -> Result<LoadReport, EngineError>;

    /// The roles, models and adapters that the engine currently has.
    async fn state(&self) -> Result<EngineState, EngineError>;

    async fn order(&self, request: &OrderRequest) -> Result<(), EngineError>;

    async fn cache_events(&self, after_sequence: u64) -> Result<CacheEvents, EngineError>;

    /// Closes pooled connections, which may no longer respond.
    fn reset_connections(&self);
}

/// The events of a running decode. Dropping the stream closes its connection.
#[allow(async_fn_in_trait)]
pub trait TokenStream: 'static {
    /// Returns the next event, or `None` after the last one.
    async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError>;
}
