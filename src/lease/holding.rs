use crate::units::{FencingToken, Incarnation, InstanceId, ShardId};

/// Says which instance holds a shard's lease, as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub shard: ShardId,
    pub holder: InstanceId,
    pub incarnation: Incarnation,
    pub fencing: FencingToken,
}
