use std::cell::Cell;

use super::holder_time::HolderTime;
use crate::clock::Instant;
use crate::units::Tokens;

/// State of the draw that reports spent tokens to the holder, shared by all portions that it
/// reports.
#[derive(Debug, Default)]
pub(super) struct SpendReport {
    state: Cell<ReportState>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReportState {
    /// Not sent yet, so the spend can still be undone.
    #[default]
    Open,
    Sent,
    /// The holder answered the draw at holder time `at`; the answer arrived at local time
    /// `received_at`.
    Acknowledged {
        at: HolderTime,
        received_at: Instant,
    },
    /// The tokens came from a holder that is no longer in use, so they cannot be refunded.
    Void,
}

impl SpendReport {
    pub fn state(&self) -> ReportState {
        self.state.get()
    }

    pub fn set(&self, state: ReportState) {
        self.state.set(state);
    }
}

/// The tokens of a charge that came from one grant.
#[derive(Clone, Debug)]
pub(super) struct ChargePortion {
    pub granted_at: HolderTime,
    pub deadline: Instant,
    pub tokens: Tokens,
    pub report: std::rc::Rc<SpendReport>,
}

impl ChargePortion {
    /// Holder time to name in a refund of this portion, or `None` if it cannot be refunded.
    ///
    /// The bucket must have had headroom for the refund ever since the holder stopped counting the
    /// tokens as outstanding. That was at the acknowledged draw if the answer arrived before the
    /// grant's deadline. Otherwise the grant may have expired at the holder before, so the time of
    /// the grant is used.
    pub fn refund_time(&self) -> Option<HolderTime> {
        match self.report.state() {
            ReportState::Acknowledged { at, received_at } if received_at < self.deadline => {
                Some(at)
            }
            ReportState::Acknowledged { .. } => Some(self.granted_at),
            _ => None,
        }
    }
}
