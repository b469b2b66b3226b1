//! Stand-ins for the outside systems: engine, platform, plain service and weight store. They
//! speak the same HTTP protocols, record what they receive and bring faults about on demand.

mod answer;
mod engine;
mod expected;
mod launch;
mod link;
mod network;
mod platform;
mod secrets;

pub use engine::{
    AttemptCounts, EngineFaults, EngineRole, EngineSettings, EngineStats, start_engine,
};
pub use expected::{expected_length, expected_token, prefix_hashes, prompt_tokens};
pub use launch::Standin;
pub use platform::{PlatformFaults, PlatformSettings, PlatformStats, RowCounts, start_platform};
pub use secrets::SecretStats;
