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
    /// All endpoints have asked for no requests; the first one accepts requests again at `until`.
    AllPaused { until: Instant },
}

impl PlacementError {
    /// Combines the error with that of an endpoint which wants no requests before `until`. An
    /// endpoint that may be free sooner takes precedence.
    pub(super) fn or_paused(self, until: Instant) -> PlacementError {
        match self {
            PlacementError::NoEndpoint => PlacementError::AllPaused { until },
            PlacementError::AllPaused { until: earliest } => {
                PlacementError::AllPaused { until: earliest.min(until) }
            }
            other => other,
        }
    }

    /// Whether an endpoint that failed recently may be available sooner than the ones so far.
    pub(super) fn is_replaced_by_avoided(self) -> bool {
        matches!(self, PlacementError::NoEndpoint | PlacementError::AllPaused { .. })
    }
}
