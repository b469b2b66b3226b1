use serde::Deserialize;

/// Limits on the requests that a bad version gets, for all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// Part of a service's requests between the order and its deadline.
    pub exposure_share: f64,
    /// Requests in addition to `exposure_share`.
    pub exposure_slack: f64,
    /// Time after its 50th bad answer in which a version gets its last request.
    pub rollback_ms: u64,
}
