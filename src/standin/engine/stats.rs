use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::settings::EngineRole;
use crate::engine::{Order, OrderRequest};
use crate::standin::SecretStats;
use crate::units::{AttemptId, FencingToken};

/// Maximum number of attempts, and of prompts, for which counts are kept.
const MAX_STATS_ENTRIES: usize = 200_000;

/// Operations of an engine for one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    pub prefills: u64,
    pub decodes: u64,
    pub resumes: u64,
    pub cancels: u64,
    pub tokens: u64,
    pub completed: u64,
}

/// Operations of an engine for all attempts with the same prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptCounts {
    pub prefills: u64,
    pub decodes: u64,
    pub completed: u64,
}

/// A started load of a model or an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRecord {
    pub order: Order,
    pub started_unix_ms: u64,
}

/// Statistics of an engine stand-in since its start, and its current state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    pub secrets: SecretStats,
    pub attempts: BTreeMap<AttemptId, AttemptCounts>,
    /// Counts by `stable_hash` of the prompt.
    pub prompts: BTreeMap<u64, PromptCounts>,
    pub prefills: u64,
    pub prefills_expired: u64,
    pub cached_tokens: u64,
    pub imports: u64,
    pub output_tokens: u64,
    pub completed: u64,
    pub refused_full: u64,
    /// Prefills whose generated tokens differ from the expected output.
    pub wrong_generated: u64,
    /// Decodes whose KV cache belongs to a different prompt or starts at a different token.
    pub wrong_kv: u64,
    pub orders: Vec<OrderRequest>,
    pub orders_fenced: u64,
    pub newest_fencing: FencingToken,
    pub role: EngineRole,
    pub models: Vec<SmolStr>,
    /// Revisions of the models that were loaded by an order.
    pub revisions: BTreeMap<SmolStr, SmolStr>,
    pub adapters: BTreeMap<SmolStr, SmolStr>,
    pub loading: Option<Order>,
    pub loads: Vec<LoadRecord>,
    /// Prefills and decodes rejected because of the engine's role, its models or a running load.
    pub work_refused: u64,
    pub used_pieces: u64,
    pub running: u32,
    pub queued: u32,
}

impl EngineStats {
    /// Whether the model or adapter of an order is loaded in the ordered revision.
    pub(super) fn is_loaded(&self, order: &Order) -> bool {
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
        if self.attempts.len() >= MAX_STATS_ENTRIES && !self.attempts.contains_key(attempt) {
            self.attempts.pop_first();
        }
        self.attempts.entry(attempt.clone()).or_default()
    }
    pub(super) fn prompt(&mut self, prompt_hash: u64) -> &mut PromptCounts {
        if self.prompts.len() >= MAX_STATS_ENTRIES && !self.prompts.contains_key(&prompt_hash) {
            self.prompts.pop_first();
        }
        self.prompts.entry(prompt_hash).or_default()
    }
}
