use std::collections::BTreeMap;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::config::Adapter;
use crate::units::{Pieces, Tokens};

/// Limits, memory sizes and compute cost of a model.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub max_prompt_tokens: Tokens,
    pub max_output_tokens: Tokens,
    /// Tokens whose KV cache fits one piece of engine memory.
    pub tokens_per_piece: Tokens,
    /// Size of one token's KV cache, used to schedule transfers on the links.
    pub kv_bytes_per_token: u64,
    /// Time to compute the KV cache of one token, on a warm engine.
    pub prefill_us_per_token: u64,
    /// Minimum number of bytes of prompt text per token. Gives an upper bound on a prompt's tokens
    /// before an engine has counted them.
    pub min_bytes_per_token: u64,
    /// Revision that engines must have loaded; if empty, any loaded revision is accepted.
    #[serde(default)]
    pub revision: SmolStr,
    /// Bytes that an engine reads from the weight store to load the model.
    #[serde(default)]
    pub weights_bytes: u64,
    /// Adapters that engines must have loaded.
    #[serde(default)]
    pub adapters: BTreeMap<SmolStr, Adapter>,
}

impl Model {
    /// Size in tokens of the largest request that the model accepts.
    pub fn max_request_tokens(&self) -> Tokens {
        self.max_prompt_tokens + self.max_output_tokens
    }

    /// Number of memory pieces needed for the KV cache of this many tokens.
    pub fn pieces_for(&self, tokens: Tokens) -> Pieces {
        Pieces(tokens.0.div_ceil(self.tokens_per_piece.0.max(1)))
    }
}
