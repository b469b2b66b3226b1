use crate::pool::PriorityClass;
use crate::units::{AttemptId, EndpointId, Fingerprint, OrganisationId, ShardId, Tokens, ZoneId};

/// Asks the pool's owner for a prefill and decode pair.
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
    /// Remaining time of the caller's deadline.
    pub remaining_ms: u64,
    /// Longest time in the owner's queue.
    pub queue_ms: u64,
    pub fingerprint: Fingerprint,
    /// The request ran on an endpoint when that died.
    pub is_suspect: bool,
    /// Output from which on the decode endpoint's death is not put down to the request.
    pub proof_tokens: Tokens,
    /// Endpoints that failed this request already.
    pub avoid: Vec<EndpointId>,
    /// Zone of the asking gateway.
    pub zone: ZoneId,
}
