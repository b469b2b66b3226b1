use serde::Deserialize;

use crate::units::{Tokens, TokensPerSecond};

/// Token-bucket rate limit of an organisation across the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    pub rate_tokens_per_s: TokensPerSecond,
    pub burst_tokens: Tokens,
}
