use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::admission::Rank;
use crate::catalog::Endpoint;
use crate::clock::Instant;
use crate::forward::CallerRequest;
use crate::units::OrganisationId;

/// Location from which a decode engine fetches a KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    pub address: SocketAddr,
    pub handle: SmolStr,
}

/// Part of a request that an endpoint runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The complete request.
    Whole,
    /// Prefill only; the engine keeps the KV cache.
    Prefill,
    /// Decode only, with the KV cache of an earlier prefill.
    Decode(KvSource),
}

/// One attempt to run a caller's request at an endpoint.
#[derive(Debug)]
pub struct EndpointRequest<'a> {
    pub request: &'a CallerRequest,
    pub organisation: Option<&'a OrganisationId>,
    /// `None` if all requests have the same priority, and for services without engines.
    pub rank: Option<Rank>,
    pub endpoint: &'a Endpoint,
    pub stage: Stage,
    /// Id of the memory reservation for the request.
    pub memory_reservation: Option<&'a str>,
    /// Id of the last event that the caller already has.
    pub last_event: Option<u64>,
    pub deadline: Instant,
}
