//! JSON messages between the gateway and an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::config::Role;
use crate::units::{AttemptId, FencingToken, ModelId, Pieces, Tokens};

/// Asks for a prompt's KV cache to be computed and kept for less than a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillRequest {
    pub attempt: AttemptId,
    pub model: ModelId,
    pub prompt: String,
    /// Tokens generated before a resume, which count as part of the prompt.
    pub generated: Vec<SmolStr>,
    /// Cached prefixes are shared only between requests of the same scope.
    pub cache_scope: SmolStr,
    /// Requests with a higher priority run first.
    pub priority: u8,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillResult {
    /// Identifies the KV cache to import on the decode engine.
    pub handle: SmolStr,
    pub prompt_tokens: Tokens,
    pub cached_tokens: Tokens,
}

/// Asks for a KV cache to be imported and for tokens to be generated from `first_index` on.
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

/// One line of a decode response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecodeEvent {
    /// The KV cache was imported, and the prefill engine's copy is freed.
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

/// Load that the engine published `age_ms` ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub age_ms: u64,
    pub used_pieces: Pieces,
    pub running: u32,
    pub queued: u32,
}

/// The addition of a prefix to the engine's cache or its removal. Events arrive late and with gaps
/// in `sequence`.
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

/// A change of an engine that the endpoint's owner orders.
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

/// The current state of an engine. Orders are idempotent: an order for what the engine has or is
/// loading changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Roles that the engine accepts work for.
    pub roles: Vec<Role>,
    /// Revision of each loaded model; `None` if the engine accepts work for any model.
    pub models: Option<BTreeMap<ModelId, SmolStr>>,
    /// Revision of each loaded adapter.
    pub adapters: BTreeMap<SmolStr, SmolStr>,
    /// The load in progress. The engine accepts no work meanwhile.
    pub loading: Option<Order>,
}
