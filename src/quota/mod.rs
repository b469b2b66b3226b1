//! Token rates of organisations, shared by all instances without an owner: every instance spends
//! from its own copy of a bucket and subtracts what its peers report to have spent.

mod quotas;
mod shared_bucket;

pub use quotas::{OverQuota, Quotas, Spent};
pub use shared_bucket::SharedBucket;
