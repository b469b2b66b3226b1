use std::net::SocketAddr;

use crate::clock::Instant;
use crate::units::{EndpointId, ServiceId, ZoneId};

/// Stage of a generation that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointRole {
    Prefill,
    Decode,
}

/// A back end as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Names one run of the endpoint; a restart mostly has another.
    pub id: EndpointId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub slots: u32,
    pub is_leaving: bool,
    /// `None` for endpoints of plain services.
    pub role: Option<EndpointRole>,
    /// Until then the endpoint bears only its service's cold rate.
    pub cold_until: Instant,
    /// Start of the endpoint on its own wall clock. Tells a restart under the same id.
    pub started_unix_ms: Option<u64>,
}
