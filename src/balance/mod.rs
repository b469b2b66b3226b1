//! Load balancing: chooses the endpoint that serves a request. Every instance decides on its own,
//! from its own requests and the loads that its peers report. No module here uses the network.

mod balancer;
mod endpoint_state;
mod health;
mod load;
mod memory_estimate;
mod placement;
mod retry_window;
mod wait_queue;

pub use balancer::{Balancer, DecodeQuery, PrefillQuery};
pub use endpoint_state::EndpointState;
pub use health::Health;
pub use load::{Load, PeerLoad};
pub use memory_estimate::MemoryEstimate;
pub use placement::{Placement, PlacementError};
pub use retry_window::{RetryLimits, RetryWindow};
pub use wait_queue::{Ticket, WaitQueue};
