//! What instances tell each other: short datagrams with load, spent tokens and versions, sent to
//! every known instance. Losing some costs only accuracy.

mod heartbeat_exchange;
mod member;
mod members;
mod registry;
mod status;

pub use heartbeat_exchange::{HeartbeatExchange, StatusHandler};
pub use member::Member;
pub use members::{Members, PeerUpdate};
pub use registry::InstanceRegistry;
pub use status::{CrashCount, Status};
