//! Copies of the store's tables that every instance follows: by a long poll of the store, or from
//! a peer that is ahead.

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
