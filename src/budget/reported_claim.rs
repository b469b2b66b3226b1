use crate::units::{AttemptId, OrganisationId, RequestId};

/// A claim on a request id that an instance reports to a new holder of the organisation's budget
/// shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedClaim {
    pub organisation: OrganisationId,
    pub request: RequestId,
    pub attempt: AttemptId,
    /// Remaining time for which the id of a completed request is kept; `None` while the request
    /// runs.
    pub kept_ms: Option<u64>,
}
