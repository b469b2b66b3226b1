//! Copies of the store's tables that every instance follows: by a long poll of the store, or from
//! a peer that is ahead.

mod follow;
mod replica;
mod row_change;
mod source;
mod topic;

pub use follow::Follower;
pub use replica::Replica;
pub use row_change::RowChange;
pub use source::{Changes, RowSource, Snapshot, SourceError};
pub use topic::Topic;
