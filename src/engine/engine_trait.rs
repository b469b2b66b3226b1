use crate::engine::{
    CacheEvents, DecodeEvent, DecodeRequest, EngineError, EngineState, HeldAttempt, LoadReport,
    OrderRequest, PrefillRequest, PrefillResult,
};
use crate::units::AttemptId;

/// A model engine.
#[allow(async_fn_in_trait)]
pub trait Engine: Clone + 'static {
    type Stream: TokenStream;

    async fn prefill(&self, request: &PrefillRequest) -> Result<PrefillResult, EngineError>;

    /// Starts decoding; the stream yields events in order.
    async fn decode(&self, request: &DecodeRequest) -> Result<Self::Stream, EngineError>;

    /// Frees everything that the engine holds for the attempt. Idempotent.
    async fn cancel(&self, attempt: &AttemptId) -> Result<(), EngineError>;

    async fn held_attempts(&self) -> Result<Vec<HeldAttempt>, EngineError>;

    async fn load(&self) -> Result<LoadReport, EngineError>;

    /// Role, models and adapters that the engine has now.
    async fn state(&self) -> Result<EngineState, EngineError>;

    async fn order(&self, request: &OrderRequest) -> Result<(), EngineError>;

    async fn cache_events(&self, after_sequence: u64) -> Result<CacheEvents, EngineError>;

    /// Gives up pooled connections that may have gone silent.
    fn reset_connections(&self);
}

/// Events of a running decode. Dropping the stream closes its connection.
#[allow(async_fn_in_trait)]
pub trait TokenStream: 'static {
    /// The next event, or `None` after the last.
    async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError>;
}
