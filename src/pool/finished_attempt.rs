use crate::pool::AttemptEnd;
use crate::units::{AttemptId, EndpointId, Tokens};

/// Tells the owner that an attempt has ended, and what it showed of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    pub attempt: AttemptId,
    pub end: AttemptEnd,
    /// The endpoint that failed.
    pub endpoint: Option<EndpointId>,
    /// The endpoint refused the connection. The attempt did not run there and cannot have caused
    /// its death.
    pub is_unreached: bool,
    pub output_tokens: Tokens,
    pub first_token_ms: u64,
    pub decode_ms: u64,
}
