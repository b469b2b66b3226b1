use crate::pool::PriorityClass;

/// Queue of an admission in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    Interactive,
    Waiting,
    /// Suspects wait for an endpoint of their own, so others of their organisation must not wait
    /// behind them.
    Suspects,
}

impl Lane {
    pub const ALL: [Lane; 3] = [Lane::Interactive, Lane::Waiting, Lane::Suspects];

    pub fn of(class: PriorityClass, is_suspect: bool) -> Lane {
        match class {
            _ if is_suspect => Lane::Suspects,
            PriorityClass::Interactive => Lane::Interactive,
            PriorityClass::Waiting => Lane::Waiting,
        }
    }
}
