//! Stand-ins for the external systems, for tests and benchmarks: engine, platform, plain service
//! and weight store. They implement the same HTTP protocols, record the requests that they receive
//! and inject faults on request.

mod command;
mod engine;
mod expected;
mod launch;
mod link;
mod network;
mod plain;
mod platform;
mod response;
mod secrets;
mod standin_error;
mod weights;

pub use command::run_standin;
pub use engine::{
    AttemptCounts, EngineFaults, EngineRole, EngineSettings, EngineStats, LoadRecord, PromptCounts,
    start_engine,
};
pub use expected::{expected_length, expected_token, prefix_hashes, prompt_tokens};
pub use launch::Standin;
pub use plain::{
    EffectCount, Effects, FaultPoint, PlainFaults, PlainSettings, PlainStats, start_plain,
};
pub use platform::{PlatformFaults, PlatformSettings, PlatformStats, RowCounts, start_platform};
pub use secrets::SecretStats;
pub use standin_error::StandinError;
pub use weights::{WeightSettings, WeightStats, start_weights};
