use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::clock::Instant;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Stage of a generation that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointRole {
    Prefill,
    Decode,
}

/// A back end as registered by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifies one process of the endpoint; a restart usually gets a new id.
    pub id: EndpointId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Version of the endpoint's software.
    pub version: SmolStr,
    pub slots: u32,
    pub is_leaving: bool,
    /// `None` for endpoints of plain services.
    pub role: Option<EndpointRole>,
    /// Until this time the endpoint is limited to the cold rate of its service.
    pub cold_until: Instant,
    /// Start of the process on its own wall clock. Distinguishes a restart under the same id.
    pub started_unix_ms: Option<u64>,
}
