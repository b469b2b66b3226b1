use crate::pool::AttemptEnd;
use crate::units::{AttemptId, EndpointId, Tokens};

/// Notifies the pool's owner that an attempt has ended, with what the attempt measured on its
/// endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    pub attempt: AttemptId,
    pub end: AttemptEnd,
    /// The endpoint that failed, if any.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint refused the connection. The attempt then did not run there and cannot
    /// have caused the crash.
    pub is_unreached: bool,
    pub output_tokens: Tokens,
    pub first_token_ms: u64,
    pub decode_ms: u64,
}
