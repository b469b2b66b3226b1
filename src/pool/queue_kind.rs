use crate::pool::PriorityClass;

/// The pool's queue to which an admission belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    Interactive,
    Waiting,
    /// Suspects wait for an endpoint without other unproven attempts. They have their own queue, so
    /// that they do not block other requests of their organisation.
    Suspects,
}

impl QueueKind {
    pub const ALL: [QueueKind; 3] =
        [QueueKind::Interactive, QueueKind::Waiting, QueueKind::Suspects];

    pub fn of(class: PriorityClass, is_suspect: bool) -> QueueKind {
        match class {
            _ if is_suspect => QueueKind::Suspects,
            PriorityClass::Interactive => QueueKind::Interactive,
            PriorityClass::Waiting => QueueKind::Waiting,
        }
    }
}
