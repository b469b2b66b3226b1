//! In-memory replicas of the store's tables. Every instance keeps them up to date by long polls of
//! the store, or with snapshots from peers that have newer versions.

mod follower;
mod peer_pull;
mod peer_source;
mod row_change;
mod snapshot;
mod source;
mod table_copy;
mod topic;

pub use follower::Follower;
pub use peer_pull::PeerPull;
pub use peer_source::{PeerSource, PeerTransfer};
pub use row_change::RowChange;
pub use snapshot::{Snapshot, SnapshotEncoding};
pub use source::{Changes, RowSource, SourceError};
pub use table_copy::Replica;
pub use topic::Topic;
