//! A request router for model inference with separate prefill and decode pools. See
//! `docs/design.md` for the design.

pub mod admission;
pub mod balance;
pub mod bench;
pub mod budget;
pub mod catalog;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod crashes;
pub mod engine;
pub mod error;
pub mod fleet;
pub mod forward;
pub mod gateway;
pub mod hash;
pub mod http;
pub mod jsonc;
pub mod lease;
pub mod logging;
pub mod node;
pub mod once;
pub mod peer;
pub mod pool;
pub mod quota;
pub mod replica;
pub mod roles;
pub mod rollout;
pub mod route;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod store;
pub mod suspect;
pub mod units;
pub mod usage_error;

#[rustfmt::skip]
#[allow(clippy::all, missing_docs)]
pub mod peer_capnp;
