use std::rc::Rc;

use crate::catalog::Endpoint;
use crate::clock::Instant;

/// An endpoint that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    pub endpoint: Rc<Endpoint>,
    /// Estimated time until the endpoint answers.
    pub expected_ms: u64,
}

/// Why a request cannot be placed at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No endpoint of the service and role is in service.
    NoEndpoint,
    /// All endpoints failed recently; the first one is retried at `until`.
    AllAvoided { until: Instant },
    /// All endpoints are at capacity.
    AllFull,
}
