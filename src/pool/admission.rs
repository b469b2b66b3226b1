use crate::pool::PriorityClass;
use crate::units::{AttemptId, EndpointId, Fingerprint, OrganisationId, ShardId, Tokens, ZoneId};

/// Request to a pool's owner to reserve a prefill and a decode endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    pub attempt: AttemptId,
    pub organisation: OrganisationId,
    pub shard: ShardId,
    pub prompt_tokens: Tokens,
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's prefixes, shortest first, salted with the organisation.
    pub prefix_hashes: Vec<u64>,
    pub class: PriorityClass,
    /// Time left until the caller's deadline.
    pub remaining_ms: u64,
    /// Maximum time in the owner's queue.
    pub queue_ms: u64,
    pub fingerprint: Fingerprint,
    /// Whether the request was running on an endpoint when that endpoint crashed.
    pub is_suspect: bool,
    /// Number of output tokens from which on the request is ruled out as the cause of a crash of
    /// its decode endpoint.
    pub proof_tokens: Tokens,
    /// Endpoints on which this request has already failed.
    pub avoid: Vec<EndpointId>,
    /// Zone of the requesting gateway.
    pub zone: ZoneId,
}
