use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::forward::CallerRequest;
use crate::units::OrganisationId;

/// Where a decode engine takes a KV cache from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    pub address: SocketAddr,
    pub handle: SmolStr,
}

/// What an endpoint does for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// All of it.
    Whole,
    /// Reads the prompt and keeps the KV cache.
    Prefill,
    /// Takes over a KV cache and generates.
    Decode(KvSource),
}

/// One send of a request to an endpoint.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    pub request: &'a CallerRequest,
    pub organisation: Option<&'a OrganisationId>,
    pub endpoint: &'a Endpoint,
    pub stage: Stage,
    /// Memory that was set aside for the request.
    pub memory_reservation: Option<&'a str>,
    /// Id of the last event that need not be sent again.
    pub last_event: Option<u64>,
    pub deadline: Instant,
}
