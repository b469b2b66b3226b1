use crate::clock::Instant;
use crate::units::{FencingToken, ShardId};

/// A change of what this instance holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    Gained {
        shard: ShardId,
        fencing: FencingToken,
        /// The latest instant on this clock at which the previous holder may still have held the
        /// lease; zero if the shard never had a holder.
        previous_end: Instant,
    },
    Lost {
        shard: ShardId,
    },
}
