//! Stand-ins for the outside systems: engine, platform, plain service and weight store. They
//! speak the same HTTP protocols, record what they receive and bring faults about on demand.

mod answer;
mod command;
mod engine;
mod expected;
mod launch;
mod link;
mod network;
mod plain;
mod platform;
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
    Effects, FaultPoint, PlainAnswer, PlainFaults, PlainSettings, PlainStats, start_plain,
};
pub use platform::{PlatformFaults, PlatformSettings, PlatformStats, RowCounts, start_platform};
pub use secrets::SecretStats;
pub use standin_error::StandinError;
pub use weights::{WeightSettings, WeightStats, start_weights};
