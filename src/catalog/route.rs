use smol_str::SmolStr;

use crate::units::{RouteId, ServiceId};

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    AtMostOnce,
    /// Event stream of a generation. Only a resumable stream may be retried, from its last event.
    Stream {
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may already have run can be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { is_resumable: true })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub service: ServiceId,
    pub weight: u32,
}

/// Maps a path prefix of a host to one or more services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub id: RouteId,
    pub host: SmolStr,
    /// Starts and ends with a slash.
    pub path_prefix: SmolStr,
    pub kind: RouteKind,
    pub timeout_ms: u64,
    /// Target for the time to the first byte or event.
    pub target_latency_ms: u64,
    /// Target for the longest gap between events of a stream.
    pub max_event_gap_ms: Option<u64>,
    /// 0 is the highest priority.
    pub priority: u8,
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one request.
    pub max_endpoints: u32,
    /// Callers need no API key.
    pub is_public: bool,
}

impl Route {
    /// Selects the service for a request by the weights of the targets. `sample` is a uniform
    /// random number in `0..1`.
    pub fn select_service(&self, sample: f64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = sample * total as f64;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0).map(|target| &target.service)
    }
}
