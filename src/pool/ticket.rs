use crate::pool::Class;
use crate::units::{AttemptId, OrganisationId};

/// A place in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub class: Class,
    pub organisation: OrganisationId,
    pub attempt: AttemptId,
    pub id: u64,
    pub is_long: bool,
}
