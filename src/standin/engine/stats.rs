use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::settings::EngineRole;
use crate::engine::{Order, OrderRequest};
use crate::standin::SecretStats;
use crate::units::{AttemptId, FencingToken};

const KEPT_ATTEMPTS: usize = 200_000;

/// What the engine did for one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    pub prefills: u64,
    pub decodes: u64,
    pub resumes: u64,
    pub cancels: u64,
    pub tokens: u64,
    pub completed: u64,
}

/// What the engine did for all attempts with one prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptCounts {
    pub prefills: u64,
    pub decodes: u64,
    pub completed: u64,
}

/// A load that an engine began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    pub order: Order,
    pub started_unix_ms: u64,
}

/// What an engine's stand-in did since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    pub secrets: SecretStats,
    pub attempts: BTreeMap<AttemptId, AttemptCounts>,
    /// By `stable_hash` of the prompt.
    pub prompts: BTreeMap<u64, PromptCounts>,
    pub prefills: u64,
    pub prefills_expired: u64,
    pub cached_tokens: u64,
    pub imports: u64,
    pub output_tokens: u64,
    pub completed: u64,
    pub refused_full: u64,
    /// Prefills whose generated tokens are not those of the expected answer.
    pub wrong_generated: u64,
    /// Decodes whose KV cache belongs to another prompt or offset.
    pub wrong_kv: u64,
    pub orders: Vec<OrderRequest>,
    pub orders_fenced: u64,
    pub newest_fencing: FencingToken,
    pub role: EngineRole,
    pub models: Vec<SmolStr>,
    /// Revisions of models that an order loaded.
    pub revisions: BTreeMap<SmolStr, SmolStr>,
    pub adapters: BTreeMap<SmolStr, SmolStr>,
    pub loading: Option<Order>,
    pub loads: Vec<LoadRecord>,
    /// Prefills and decodes that did not fit the engine's role or models, or came during a load.
    pub work_refused: u64,
    pub used_pieces: u64,
    pub running: u32,
    pub queued: u32,
}

impl EngineStats {
    /// Whether what an order is to load is there.
    pub(super) fn has(&self, order: &Order) -> bool {
        match order {
            Order::SetRole { .. } => false,
            Order::LoadModel { model, revision } => {
                let loaded = self.revisions.get(model.as_str()).map_or("", |r| r.as_str());
                self.models.iter().any(|name| name == model.as_str()) && loaded == revision
            }
            Order::LoadAdapter { adapter, revision } => {
                self.adapters.get(adapter) == Some(revision)
            }
        }
    }

    pub(super) fn attempt(&mut self, attempt: &AttemptId) -> &mut AttemptCounts {
        if self.attempts.len() >= KEPT_ATTEMPTS && !self.attempts.contains_key(attempt) {
            self.attempts.pop_first();
        }
        self.attempts.entry(attempt.clone()).or_default()
    }
    pub(super) fn prompt(&mut self, prompt_hash: u64) -> &mut PromptCounts {
        if self.prompts.len() >= KEPT_ATTEMPTS && !self.prompts.contains_key(&prompt_hash) {
            self.prompts.pop_first();
        }
        self.prompts.entry(prompt_hash).or_default()
    }
}
