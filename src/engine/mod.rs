//! Model engines: the trait, its HTTP client and the message types.

mod engine_error;
mod engine_trait;
mod http_engine;
mod messages;
mod prefix_hashes;

pub use engine_error::EngineError;
pub use engine_trait::{Engine, TokenStream};
pub use http_engine::{HttpEngine, HttpTokenStream};
pub use messages::{
    CacheEvent, CacheEvents, CancelRequest, DecodeEvent, DecodeRequest, EngineState, HeldAttempt,
    LoadReport, Order, OrderRequest, PrefillRequest, PrefillResult, PrefillSource,
};
pub use prefix_hashes::prefix_hashes;
