use crate::units::{AttemptId, EndpointId, Fingerprint, OrganisationId, Pieces, Tokens};

/// Progress of a live attempt, reported by its gateway once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub attempt: AttemptId,
    pub output_tokens: Tokens,
    pub organisation: OrganisationId,
    pub prefill: EndpointId,
    pub decode: EndpointId,
    pub pieces: Pieces,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
    pub fingerprint: Fingerprint,
    pub is_suspect: bool,
    /// Number of output tokens from which on the request is ruled out as the cause of a crash of
    /// its decode endpoint.
    pub proof_tokens: Tokens,
}
