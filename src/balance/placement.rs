use std::rc::Rc;

use crate::catalog::Endpoint;
use crate::clock::Instant;

/// An endpoint that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    pub endpoint: Rc<Endpoint>,
    /// Time until the endpoint would answer, as far as can be told.
    pub expected_ms: u64,
}

/// Why no endpoint can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No endpoint of the service and role is in service.
    NoEndpoint,
    /// All endpoints failed recently; the first is tried again at this moment.
    AllAvoided { until: Instant },
    /// All endpoints have as much work as they bear.
    AllFull,
}
