use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// An organisation as far as requests are concerned: its rank and its token rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    pub organisation: OrganisationId,
    /// 0 is served first. Goes before the route's priority.
    pub priority: Option<u8>,
    /// `None`: not limited.
    pub rate: Option<TokensPerSecond>,
    pub burst: Tokens,
    /// Charge of a request that does not tell its tokens.
    pub plain_tokens: Tokens,
}
