use crate::units::{Fingerprint, Tokens};

/// A request that was running on an endpoint when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    pub fingerprint: Fingerprint,
    pub output_tokens: Tokens,
    /// Whether the request was admitted as a suspect.
    pub is_suspect: bool,
    /// Whether the request had run on the endpoint for long enough to be ruled out as the cause.
    pub is_proven_safe: bool,
}
