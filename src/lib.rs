//! A router for separate prefill and decode pools. `docs/design.md` describes the design.

pub mod budget;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod engine;
pub mod hash;
pub mod http;
pub mod jsonc;
pub mod lease;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod suspect;
pub mod units;

#[rustfmt::skip]
#[allow(clippy::all, missing_docs)]
pub mod peer_capnp;
