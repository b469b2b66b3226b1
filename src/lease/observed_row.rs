use crate::clock::Instant;
use crate::lease::LeaseRow;
use crate::units::AttemptId;

/// A row that this instance reads as a candidate.
#[derive(Clone, Debug)]
pub(super) struct ObservedRow {
    /// `None` if the row does not exist.
    pub revision: Option<u64>,
    pub row: Option<LeaseRow>,
    /// When an answer first showed this revision. The write was sent before.
    pub first_seen: Instant,
    /// Own writes without an answer; any of them may take effect while the revision stays.
    pub attempts: Vec<UnansweredAcquisition>,
}

#[derive(Clone, Debug)]
pub(super) struct UnansweredAcquisition {
    pub attempt: AttemptId,
    pub sent: Instant,
    pub previous_end: Instant,
}
