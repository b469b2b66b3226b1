//! Messages between the router and an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Role;
use crate::units::{AttemptId, FencingToken, ModelId, Pieces, Tokens};

/// Computes a prompt's KV cache and keeps it for under a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillRequest {
    pub attempt: AttemptId,
    pub model: ModelId,
    pub prompt: String,
    /// Tokens that were already generated and count as part of the prompt on a resume.
    pub generated: Vec<SmolStr>,
    /// Only requests of the same scope share cached prefixes.
    pub cache_scope: SmolStr,
    /// Higher runs first.
    pub priority: u8,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillResult {
    /// Names the KV cache for the decode engine's import.
    pub handle: SmolStr,
    pub prompt_tokens: Tokens,
    pub cached_tokens: Tokens,
}

/// Imports a KV cache and generates tokens, from `first_index` on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecodeRequest {
    pub attempt: AttemptId,
    pub model: ModelId,
    pub prompt: String,
    /// Where to import the KV cache from. `None` resumes an attempt whose KV cache this engine
    /// still holds.
    pub source: Option<PrefillSource>,
    pub first_index: u64,
    pub max_output_tokens: Tokens,
    pub priority: u8,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillSource {
    pub address: SmolStr,
    pub handle: SmolStr,
}

/// One line of a decode answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeEvent {
    /// The KV cache was imported; the prefill engine's copy is free.
    Imported {
        attempt: AttemptId,
    },
    Token {
        attempt: AttemptId,
        index: u64,
        text: SmolStr,
    },
    Done {
        attempt: AttemptId,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
        finish_reason: SmolStr,
    },
}

impl DecodeEvent {
    pub fn attempt(&self) -> &AttemptId {
        match self {
            DecodeEvent::Imported { attempt }
            | DecodeEvent::Token { attempt, .. }
            | DecodeEvent::Done { attempt, .. } => attempt,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    pub attempt: AttemptId,
}

/// Memory that an engine holds for an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldAttempt {
    pub attempt: AttemptId,
    pub pieces: Pieces,
}

/// Load as the engine published it, `age_ms` ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub age_ms: u64,
    pub used_pieces: Pieces,
    pub running: u32,
    pub queued: u32,
}

/// A prefix entered or left the engine's cache. Events come late and with gaps in `sequence`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub sequence: u64,
    pub scope: SmolStr,
    pub prefix_hash: u64,
    pub stored: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    pub events: Vec<CacheEvent>,
    pub last_sequence: u64,
}

/// A change that an endpoint's owner orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    #[display("role {role}")]
    SetRole { role: SmolStr },
    #[display("model {model} {revision}")]
    LoadModel { model: ModelId, revision: SmolStr },
    #[display("adapter {adapter} {revision}")]
    LoadAdapter { adapter: SmolStr, revision: SmolStr },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    pub fencing: FencingToken,
    pub order: Order,
}

/// What an engine has now. Orders are idempotent: one for what it has or loads changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Roles that it takes work for.
    pub roles: Vec<Role>,
    /// Revision of each model that is loaded; `None` if it takes work for any model.
    pub models: Option<BTreeMap<ModelId, SmolStr>>,
    /// Revision of each adapter that is loaded.
    pub adapters: BTreeMap<SmolStr, SmolStr>,
    /// Load that is in progress; the engine takes no work meanwhile.
    pub loading: Option<Order>,
}
