use crate::clock::Instant;
use crate::units::{FencingToken, ShardId};

/// A lease acquired or lost by this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    Gained {
        shard: ShardId,
        fencing: FencingToken,
        /// The latest time, on the local clock, at which the previous holder may still have held
        /// the lease; zero if the shard has never had a holder.
        previous_end: Instant,
    },
    Lost {
        shard: ShardId,
    },
}
