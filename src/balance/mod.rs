//! Which endpoint serves a request. Every instance decides by itself, from its own requests and
//! from the loads that its peers report. No module here uses the network.

mod balancer;
mod choice;
mod endpoint_state;
mod health;
mod load;
mod memory_need;
mod retry_window;
mod waiting_line;

pub use balancer::{Balancer, DecodeQuery, PrefillQuery};
pub use choice::{Placement, Shortage};
pub use endpoint_state::EndpointState;
pub use health::Health;
pub use load::{Load, PeerLoad};
pub use memory_need::MemoryNeed;
pub use retry_window::{RetryLimits, RetryWindow};
pub use waiting_line::{Ticket, WaitingLine};
