use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Role;

/// Settings of an engine stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    pub role: EngineRole,
    /// Models that the engine serves; empty for any.
    pub models: Vec<String>,
    /// KV cache memory in pieces of `tokens_per_piece` tokens.
    pub pieces: u64,
    pub tokens_per_piece: u64,
    /// Maximum number of decodes that run or import a KV cache at the same time.
    pub slots: u32,
    /// Time per output token: a fixed part, and a part per running request.
    pub token_base_ms: f64,
    pub token_per_running_ms: f64,
    pub prefill_base_ms: f64,
    /// Time per prompt token that is not in the prefix cache.
    pub prefill_per_token_ms: f64,
    /// Maximum number of queued prefills; more are rejected.
    pub prefill_queue: usize,
    /// Time after which a KV cache that was not transferred expires.
    pub prefill_ttl_ms: u64,
    pub cache_block_tokens: u64,
    /// Capacity of the prefix cache of a scope, in blocks.
    pub cache_blocks_per_scope: usize,
    pub cache_scopes: usize,
    pub kv_bytes_per_token: u64,
    /// Rate at which the engine sends KV caches; zero means unlimited.
    pub link_bytes_per_s: u64,
    /// Timeout of a KV cache import.
    pub transfer_timeout_ms: u64,
    pub cancel_on_disconnect: bool,
    pub checks_fencing: bool,
    pub load_lag_ms: u64,
    pub event_delay_ms: u64,
    /// Omits every n-th cache event; zero disables.
    pub event_gap_every: u64,
    /// Duration of the cold period, in which work takes `cold_factor` times as long. It begins with
    /// the first work after the start, a load or a role change.
    pub cold_ms: u64,
    pub cold_factor: f64,
    pub load_model_ms: u64,
    /// Words in a prompt that make the process crash during its prefill or decode.
    pub crash_prefill_word: String,
    pub crash_decode_word: String,
    /// Output tokens after which `crash_decode_word` takes effect.
    pub crash_after_tokens: u64,
    /// Text that occurs only in callers' keys; requests that contain it are counted.
    pub key_marker: Option<String>,
}

/// Stages that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    #[default]
    Both,
    Prefill,
    Decode,
}

impl EngineRole {
    pub(super) fn roles(self) -> Vec<Role> {
        match self {
            EngineRole::Both => vec![Role::Prefill, Role::Decode],
            EngineRole::Prefill => vec![Role::Prefill],
            EngineRole::Decode => vec![Role::Decode],
        }
    }

    pub(super) fn from_name(name: &str) -> Option<EngineRole> {
        match name {
            "both" => Some(EngineRole::Both),
            "prefill" => Some(EngineRole::Prefill),
            "decode" => Some(EngineRole::Decode),
            _ => None,
        }
    }
}

impl EngineSettings {
    pub fn pieces_for(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.tokens_per_piece.max(1)).max(1)
    }

    /// Duration of a prefill on a warm engine.
    pub fn prefill_time(&self, prompt_tokens: u64, cached_tokens: u64) -> Duration {
        let computed = prompt_tokens.saturating_sub(cached_tokens) as f64;
        duration_from_ms(self.prefill_base_ms + self.prefill_per_token_ms * computed)
    }

    /// Time between two tokens on a warm engine.
    pub fn token_time(&self, running: u32) -> Duration {
        duration_from_ms(self.token_base_ms + self.token_per_running_ms * f64::from(running))
    }

    pub(super) fn serves(&self, loaded: &[SmolStr], model: &str) -> bool {
        self.models.is_empty() || loaded.iter().any(|name| name == model)
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            role: EngineRole::Both,
            models: Vec::new(),
            pieces: 1000,
            tokens_per_piece: 16,
            slots: 24,
            token_base_ms: 15.0,
            token_per_running_ms: 0.5,
            prefill_base_ms: 5.0,
            prefill_per_token_ms: 0.5,
            prefill_queue: 64,
            prefill_ttl_ms: 800,
            cache_block_tokens: 16,
            cache_blocks_per_scope: 512,
            cache_scopes: 64,
            kv_bytes_per_token: 100_000,
            link_bytes_per_s: 2_000_000_000,
            transfer_timeout_ms: 500,
            cancel_on_disconnect: false,
            checks_fencing: true,
            load_lag_ms: 500,
            event_delay_ms: 500,
            event_gap_every: 10,
            cold_ms: 0,
            cold_factor: 4.0,
            load_model_ms: 1000,
            crash_prefill_word: "!crash-prefill".into(),
            crash_decode_word: "!crash-decode".into(),
            crash_after_tokens: 3,
            key_marker: None,
        }
    }
}
