//! Token rate limits of organisations, enforced without a coordinator: every instance keeps its own
//! copy of each sliding window and adds the usage that its peers report.

mod peer_totals;
mod quotas;
mod sliding_window;

pub use peer_totals::{PeerTotals, UsageChange};
pub use quotas::{OverQuota, Quotas, TokenUsage};
pub use sliding_window::SlidingWindow;
