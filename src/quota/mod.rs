//! Token rates of organisations, shared by all instances without an owner: every instance spends
//! from its own copy of a window and adds what its peers report to have spent.

mod quotas;
mod sliding_window;

pub use quotas::{OverQuota, Quotas, TokenUsage};
pub use sliding_window::SlidingWindow;
