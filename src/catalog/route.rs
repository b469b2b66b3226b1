use smol_str::SmolStr;

use crate::units::{RouteId, ServiceId};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    AtMostOnce,
    /// Events of a generation. Only a resumable stream may be run again, from its last event.
    Stream {
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }
}

/// Service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub service: ServiceId,
    pub weight: u32,
}

/// A path of a host that leads to one or more services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub id: RouteId,
    pub host: SmolStr,
    /// Begins and ends with a slash.
    pub path_prefix: SmolStr,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    /// Time within which the first byte or event is due.
    pub target_latency_ms: u64,
    /// Longest pause between events of a stream that is still on time.
    pub max_event_gap_ms: Option<u64>,
    /// 0 is served first.
    pub priority: u8,
    pub targets: Vec<Target>,
    /// Number of endpoints that may run one request.
    pub max_endpoints: u32,
    /// Callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for a request, by the weights of the targets. `draw` is uniform in 0 to 1.
    pub fn select_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0).map(|target| &target.service)
    }
}
