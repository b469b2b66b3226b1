use crate::pool::Plan;
use crate::units::{ShardId, Tokens};

/// An admission that a pool's owner has granted.
#[derive(Clone, Debug)]
pub struct Admitted {
    pub shard: ShardId,
    pub plan: Plan,
    /// Values that were sent to the owner with the request.
    pub is_suspect: bool,
    pub proof_tokens: Tokens,
}
