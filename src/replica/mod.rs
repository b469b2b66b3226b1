//! In-memory replicas of the store's tables. Every instance keeps them up to date by long polls of
//! the store, or with snapshots from peers that have newer versions.

mod follower;
mod row_change;
mod source;
mod table_copy;
mod topic;

pub use follower::Follower;
pub use row_change::RowChange;
pub use source::{Changes, RowSource, Snapshot, SourceError};
pub use table_copy::Replica;
pub use topic::Topic;
