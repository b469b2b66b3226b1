use crate::pool::PriorityClass;

/// Queue of an admission in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    Interactive,
    Waiting,
    /// Suspects wait for an endpoint of their own, so others of their organisation must not wait
    /// behind them.
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
