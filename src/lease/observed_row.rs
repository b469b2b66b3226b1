use crate::clock::Instant;
use crate::lease::LeaseRow;
use crate::units::AttemptId;

/// A lease row that this instance polls as a candidate.
#[derive(Clone, Debug)]
pub(super) struct ObservedRow {
    /// `None` if the row does not exist.
    pub revision: Option<u64>,
    pub row: Option<LeaseRow>,
    /// When this revision was first read. It was written earlier.
    pub first_seen: Instant,
    /// Acquisitions by this instance without a response. Any of them may be applied while the
    /// revision is unchanged.
    pub attempts: Vec<UnansweredAcquisition>,
}

/// An acquisition whose outcome is unknown.
#[derive(Clone, Debug)]
pub(super) struct UnansweredAcquisition {
    pub attempt: AttemptId,
    pub sent: Instant,
    pub previous_end: Instant,
}
