use crate::units::{OrganisationId, Tokens, TokensPerSecond};

/// Request settings of an organisation: its priority and its token rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    pub organisation: OrganisationId,
    /// 0 is the highest priority. Overrides the priority of the route.
    pub priority: Option<u8>,
    /// `None` if the organisation has no limit.
    pub rate: Option<TokensPerSecond>,
    pub burst: Tokens,
    /// Tokens charged for a request without a token count.
    pub plain_tokens: Tokens,
}
