//! Communication between instances: protocol, connections, membership.

mod heartbeat;
mod member;

pub use heartbeat::Heartbeat;
pub use member::Member;
