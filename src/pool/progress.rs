use crate::units::{AttemptId, EndpointId, Fingerprint, OrganisationId, Pieces, Tokens};

/// A live attempt, as its gateway reports it each second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub attempt: AttemptId,
    pub output_tokens: Tokens,
    pub organisation: OrganisationId,
    pub prefill: EndpointId,
    pub decode: EndpointId,
    pub pieces: Pieces,
    /// Remaining time of the caller's deadline.
    pub remaining_ms: u64,
    pub fingerprint: Fingerprint,
    pub is_suspect: bool,
    /// Output from which on the decode endpoint's death is not put down to the request.
    pub proof_tokens: Tokens,
}
