use crate::units::{FencingToken, Incarnation, InstanceId, ShardId};

/// The holder of a shard's lease as of a fencing token, as known to the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub shard: ShardId,
    pub holder: InstanceId,
    pub incarnation: Incarnation,
    pub fencing: FencingToken,
}
