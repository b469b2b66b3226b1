use serde::{Deserialize, Serialize};

/// Faults to inject into an engine. Setting faults replaces the current persistent ones, and `{}`
/// clears them. `cold_ms`, `freeze_ms`, `silent` and `crash` are one-time faults.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Makes the engine cold for this time.
    pub cold_ms: u64,
    /// Stops all work and responses for this time.
    pub freeze_ms: u64,
    /// Stops responding on connections used so far; new connections work.
    pub silent: bool,
    pub crash: bool,
    /// KV cache transfers from this engine never finish.
    pub stall_transfers: bool,
    /// Breaks each stream after this many tokens; the attempt continues.
    pub cut_after_tokens: Option<u64>,
    /// Sends an event of another attempt before every n-th token; zero disables.
    pub cross_every: u64,
    /// Sends every n-th token twice; zero disables.
    pub duplicate_every: u64,
    /// Delays each response by this time.
    pub delay_ms: u64,
}
