//! Load balancing: chooses the endpoint that serves a request. Every instance decides on its own,
//! from its own requests and the loads that its peers report. No module here uses the network.

mod acceptance;
mod avoid_report;
mod balancer;
mod choice;
mod cold_turns;
mod endpoint_notice;
mod endpoint_state;
mod health;
mod incarnation_key;
mod incarnation_marks;
mod load;
mod load_source;
mod memory_estimate;
mod pace;
mod placement;
mod pool_memory;
mod recent_max;
mod reported_loads;
mod retry_window;
mod send_count;
mod version_filter;
mod wait_queue;

pub use acceptance::Acceptance;
pub use avoid_report::AvoidReport;
pub use balancer::Balancer;
pub use choice::{DecodeQuery, PrefillQuery};
pub use cold_turns::{ColdAllowance, ColdTurns};
pub use endpoint_notice::{EndpointNotice, RetryAfter};
pub use endpoint_state::EndpointState;
pub use health::Health;
pub use incarnation_key::IncarnationKey;
pub use incarnation_marks::IncarnationMarks;
pub use load::{Load, PeerLoad, PeerRejection};
pub use load_source::LoadSource;
pub use memory_estimate::MemoryEstimate;
pub use pace::Pace;
pub use placement::{Placement, PlacementError};
pub use retry_window::{RetryLimits, RetryWindow};
pub use send_count::{SendCount, SendKind, SendOutcome, StartedSend};
pub use version_filter::{ANY_VERSION, VersionFilter};
pub use wait_queue::{Ticket, WaitQueue, WaitingRequest};
