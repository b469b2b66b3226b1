use crate::pool::queue_kind::QueueKind;
use crate::units::{AttemptId, OrganisationId};

/// Identifies a queued admission.
#[derive(Clone, Debug)]
pub(crate) struct QueueTicket {
    pub queue_kind: QueueKind,
    pub organisation: OrganisationId,
    pub attempt: AttemptId,
    pub id: u64,
    pub is_long: bool,
}
