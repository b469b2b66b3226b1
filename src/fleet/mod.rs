//! What instances tell each other: short datagrams with load, spent tokens and versions, sent to
//! every known instance. Losing some costs only accuracy.

mod exchange;
mod member;
mod members;
mod registry;
mod status;

pub use exchange::{Exchange, StatusHandler};
pub use member::Member;
pub use members::{Members, Received};
pub use registry::InstanceRegistry;
pub use status::{CrashCount, Status};
