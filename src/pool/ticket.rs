use crate::pool::lane::Lane;
use crate::units::{AttemptId, OrganisationId};

/// A place in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub lane: Lane,
    pub organisation: OrganisationId,
    pub attempt: AttemptId,
    pub id: u64,
    pub is_long: bool,
}
