use std::cell::Cell;

use super::holder_time::HolderTime;
use crate::clock::Instant;
use crate::units::Tokens;

/// State of the draw that reports spent tokens to the holder. Shared by all tokens it reports.
#[derive(Debug, Default)]
pub(super) struct Report {
    state: Cell<ReportState>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReportState {
    /// Not sent yet; the tokens can still be put back.
    #[default]
    Open,
    Sent,
    /// The holder answered the draw at its time `at`, and here the answer came at `received_at`.
    Acknowledged {
        at: HolderTime,
        received_at: Instant,
    },
    /// The tokens came from a holder that is not asked any more.
    Void,
}

impl Report {
    pub fn state(&self) -> ReportState {
        self.state.get()
    }

    pub fn set(&self, state: ReportState) {
        self.state.set(state);
    }
}

/// Tokens of a charge that came from one grant.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub granted_at: HolderTime,
    pub deadline: Instant,
    pub tokens: Tokens,
    pub report: std::rc::Rc<Report>,
}

impl Part {
    /// Holder's time that a refund of this part names, `None` if it is worth nothing.
    ///
    /// The bucket must have had room for the refund since the holder stopped to count the tokens
    /// as outstanding. That is the acknowledged draw if the answer came before the grant's deadline.
    /// Otherwise the holder may have written the tokens off before, so the grant's time counts.
    pub fn refund_since(&self) -> Option<HolderTime> {
        match self.report.state() {
            ReportState::Acknowledged { at, received_at } if received_at < self.deadline => {
                Some(at)
            }
            ReportState::Acknowledged { .. } => Some(self.granted_at),
            _ => None,
        }
    }
}
