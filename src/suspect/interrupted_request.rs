use crate::units::{Fingerprint, Tokens};

/// A request that was running on an endpoint when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    pub fingerprint: Fingerprint,
    pub output_tokens: Tokens,
    /// It was admitted as a suspect.
    pub is_suspect: bool,
    /// It had run on the endpoint for long enough not to be the cause.
    pub is_proven_safe: bool,
}
