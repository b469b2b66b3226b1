use serde::{Deserialize, Serialize};

use crate::catalog::Endpoint;
use crate::hash::stable_hash;

/// Identifies one run of an endpoint's process in messages between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationKey {
    /// `EndpointState::key` of the endpoint.
    pub endpoint_key: u32,
    /// Start of the process on its own wall clock; 0 if unknown.
    pub started_unix_ms: u64,
}

impl IncarnationKey {
    pub fn new(endpoint: &Endpoint) -> IncarnationKey {
        IncarnationKey {
            endpoint_key: stable_hash(endpoint.id.as_str()) as u32,
            started_unix_ms: endpoint.started_unix_ms.unwrap_or(0),
        }
    }
}
