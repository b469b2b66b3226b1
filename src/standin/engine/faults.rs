use serde::{Deserialize, Serialize};

/// Faults of an engine. Each set of faults replaces the lasting faults of the one before; `{}`
/// ends all of them. `cold_ms`, `freeze_ms`, `silent` and `crash` take effect once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    pub cold_ms: u64,
    /// Does no work and answers nothing for this time.
    pub freeze_ms: u64,
    /// Makes the connections that were used so far silent; new ones work.
    pub silent: bool,
    pub crash: bool,
    /// Sent KV caches never arrive.
    pub stall_transfers: bool,
    /// Breaks each stream after this many tokens; the attempt goes on.
    pub cut_after_tokens: Option<u64>,
    /// Sends an event of another attempt before each n-th token; zero for never.
    pub cross_every: u64,
    /// Sends each n-th token twice; zero for never.
    pub duplicate_every: u64,
    /// Answers late by this time.
    pub delay_ms: u64,
}
