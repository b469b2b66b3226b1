//! Membership and state exchange between instances. Each instance periodically sends a short UDP
//! datagram with its load, spent tokens and replica versions to every known instance, and at once to
//! a few when something changes that all must learn soon. In a large fleet only a few collectors of
//! each availability zone get the loads of its instances, and report their sum to all others. Lost
//! instances are found by probes. Lost datagrams only reduce accuracy.

mod datagram_socket;
mod failure_detector;
mod heartbeat_exchange;
mod member;
mod members;
mod notices;
mod probe;
mod registry;
mod report_receivers;
mod rumour;
mod rumour_queue;
mod status;
mod status_extension;
mod status_timer;
mod zone_loads;

pub use datagram_socket::DatagramSocket;
pub use failure_detector::{FailureDetector, RumourEffects};
pub use heartbeat_exchange::{HeartbeatExchange, StatusHandler};
pub use member::Member;
pub use members::{Members, PeerUpdate};
pub use notices::Notices;
pub use probe::{Probe, ProbeKind};
pub use registry::InstanceRegistry;
pub use report_receivers::ReportReceivers;
pub use rumour::{Liveness, Rumour};
pub use status::{CrashCount, Status};
pub use status_extension::StatusExtension;
pub use status_timer::StatusTimer;
pub use zone_loads::ZoneLoads;
